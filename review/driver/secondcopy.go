package main

import (
	"math/rand"
	"net"
	"sync/atomic"
	"time"
)

const (
	secondCopyDelay = 22 * time.Millisecond  // from an answer to its second copy
	zoneDelay       = 780 * time.Microsecond // one way to the other site
)

// sendsSecondCopies returns what an instance does after an answer: it follows a share of its answers with a second copy,
// some milliseconds later, if no further request has come on the connection by then. It counts them in copies.
func (e *endpoint) sendsSecondCopies(share float64, copies *atomic.Int64) func(command, net.Conn, []byte) {
	return func(c command, conn net.Conn, answer []byte) {
		if rand.Float64() >= share {
			return
		}
		requests := e.requestsOn(conn)
		time.AfterFunc(secondCopyDelay, func() {
			if e.requestsOn(conn) != requests {
				return // the next request has come: the second copy is no longer one of a resting connection
			}
			copies.Add(1)
			e.w.note("%s sends a second answer to %s", e.id, c.id())
			conn.Write(answer)
		})
	}
}
