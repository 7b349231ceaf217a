// Package decision makes the decisions of one gateway: which requests it admits, which endpoint gets an attempt, what
// follows an attempt's outcome, and how the gateway votes on a canary build. It does no I/O, starts no goroutine and
// reads no clock. The current time is always an argument, and random numbers come from a seed.
//
// Balancer combines these decisions. A request passes through Admit and Route, FinishAttempt receives the outcome of
// each attempt, and Tick returns all other work that is due.
//
// Parts that do not handle individual endpoints have packages of their own: admission has the queue of requests and the
// limit of attempts in flight, discovery the lease on the endpoint list and the polls of discovery, exposure the limits
// of attempts at canary builds, and rollout the comparison of a canary build with the builds before it. Package gossip,
// which the caller of Balancer uses beside it, exchanges views of the endpoint list between gateways.
package decision
