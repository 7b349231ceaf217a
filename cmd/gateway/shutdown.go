package main

import (
	"os"
	"time"
)

const (
	// acceptTime is how long a gateway serves as before after SIGTERM: clients may still connect for 0.4 s.
	acceptTime = 700 * time.Millisecond
	// killTime is when the process may be killed, counted from the end of acceptTime, where a client may wait that long:
	// what is unanswered by then is lost.
	killTime = 3 * time.Second
	// killMargin is how long before that all is answered.
	killMargin = 300 * time.Millisecond
)

// beginShutdown has all requests answered before the process may be killed, and client connections closed once they
// are idle. The channel receives the number of connections that are left open at the end.
func (g *gateway) beginShutdown(signal os.Signal) <-chan int {
	g.log.Info("shutting down", "signal", signal.String())
	finished := make(chan int, 1)
	answerTime := shutdownAnswerTime(g.configuration.settings.MaxClientTimeout)
	g.router.ShutdownWithin(acceptTime + answerTime)
	go func() {
		time.Sleep(acceptTime)
		g.clients.Drain()
		finished <- g.clients.AwaitDisconnects(answerTime + 2*killMargin)
	}()
	return finished
}

// shutdownAnswerTime is how long after acceptTime requests may still be answered: until a little before the process may
// be killed, or before the longest deadline of clients if that is sooner.
func shutdownAnswerTime(maxClientTimeout time.Duration) time.Duration {
	return min(maxClientTimeout, killTime) - killMargin
}
