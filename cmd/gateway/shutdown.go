package main

import (
	"os"
	"time"
)

const (
	// acceptPeriod is how long a gateway serves as usual after SIGTERM. Clients may open connections for 0.4 s of it.
	acceptPeriod = 700 * time.Millisecond
	// killDelay is the time from the end of acceptPeriod after which the process may be killed, if a client's deadline
	// can be that long. Requests that are unanswered by then are lost.
	killDelay = 3 * time.Second
	// killMargin is how long before the kill all requests must be answered.
	killMargin = 300 * time.Millisecond
)

// beginShutdown starts the shutdown: all requests are answered before the process may be killed, and client connections
// are closed once they are idle. The channel receives the number of connections that are still open at the end.
func (g *gateway) beginShutdown(signal os.Signal) <-chan int {
	g.log.Info("shutting down", "signal", signal.String())
	finished := make(chan int, 1)
	answerTime := shutdownAnswerTimeout(g.configuration.settings.MaxClientTimeout)
	g.router.ShutdownWithin(acceptPeriod + answerTime)
	go func() {
		time.Sleep(acceptPeriod)
		g.clients.Drain()
		finished <- g.clients.AwaitDisconnects(answerTime + 2*killMargin)
	}()
	return finished
}

// shutdownAnswerTimeout returns how long after acceptPeriod requests may still be answered: until killMargin before the
// process may be killed, or before the longest client deadline if that is sooner.
func shutdownAnswerTimeout(maxClientTimeout time.Duration) time.Duration {
	return min(maxClientTimeout, killDelay) - killMargin
}
