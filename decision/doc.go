// Package decision makes the decisions of one gateway: which requests it admits, which endpoint gets an attempt, what
// follows an attempt's outcome, and how the gateway votes on a canary build. It does no I/O, starts no goroutine and
// reads no clock. The current time is always an argument, and random numbers come from a seed.
//
// Balancer combines these decisions. A request passes through Admit and Route, FinishAttempt receives the outcome of
// each attempt, and Tick returns all other work that is due.
package decision
