// Package decision makes the decisions of one gateway: which requests it admits, which endpoint gets an attempt, what
// follows an attempt's outcome, and how the gateway votes on a canary build. It does no I/O, starts no goroutine and reads no clock;
// every moment is an argument, and random draws come from a seed.
//
// Balancer composes the concerns. A request passes through Admit and Route; each attempt's outcome goes to FinishAttempt,
// and Tick names what is due besides.
package decision
