package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

func init() { cases["unread"] = playUnread }

const (
	stoppingClients = 200
	unreadSpan      = 8 * time.Second
	unreadRate      = 20.0 // requests a second
	lossAfter       = 500 * time.Millisecond
)

// playUnread plays clients that stop in the middle of a request and stay: each sends one whole request and half of the
// next. Requests of usual clients must get their answers meanwhile.
func playUnread(w *world) (held bool, err error) {
	for i := range 8 {
		w.newEndpoint(fmt.Sprintf("s-%d", i), 4, 70*time.Millisecond)
	}
	g := w.newGateway(func(config, _ object) {
		config["limits"] = object{"cores": 1.0, "memory_mb": 192, "sockets": 256}
	})
	if err := g.start(); err != nil {
		return false, err
	}
	usual := w.newClients(g)
	if troubled() {
		time.AfterFunc(2*time.Second, func() {
			w.note("%d clients connect, send one and a half requests and stay", stoppingClients)
			for range stoppingClients {
				go func() {
					conn, err := net.Dial("tcp", g.address)
					if err != nil {
						return
					}
					defer conn.Close()
					first := request{id: newID(), class: "roll-read", key: "court", deadline: time.Second}
					next := request{id: newID(), class: "roll-read", key: "court", deadline: time.Second}
					conn.Write(append(first.encode(), next.encode()[:40]...))
					io.Copy(io.Discard, conn) // until the gateway closes the connection
				}()
			}
		})
	}
	usual.sendMixed(unreadSpan, unreadRate)
	lost := 0
	for _, r := range usual.results {
		late := r.endedAt.Sub(r.sentAt) - r.deadline
		if r.kind == "lost" || r.kind == "gone" || late > lossAfter {
			lost++
			w.say("%s: %s %.0f ms after its time of %.0f ms was up", r.id, r.kind, ms(late), ms(r.deadline))
		}
	}
	w.say("%d requests on at most %d connections: %v, %d answered over 500 ms after their time, or never", len(usual.results),
		usual.most, usual.counts(), lost)
	if len(usual.results) < 50 || usual.most > 256/3 {
		return false, fmt.Errorf("too few requests, or usual clients hold more than a third of the descriptors")
	}
	return lost == 0, nil
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
