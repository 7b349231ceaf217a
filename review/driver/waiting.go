package main

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["waiting"] = playWaiting }

const (
	crowdClients   = 150
	commandsAtOnce = 200
	crowdBody      = 60_000
	crowdEnds      = 12 * time.Second
	crowdRate      = 15.0 // requests a second
)

// playWaiting plays bad clients that send hundreds of commands at once, and the same again as soon as they are turned
// away. Requests of usual clients must get their answers meanwhile.
func playWaiting(w *world) (held bool, err error) {
	for i := range 8 {
		w.newEndpoint(fmt.Sprintf("s-%d", i), 4, 70*time.Millisecond)
	}
	g := w.newGateway(func(config, _ object) {
		config["limits"] = object{"cores": 1.0, "memory_mb": 64, "sockets": 256}
	})
	if err := g.start(); err != nil {
		return false, err
	}
	usual := w.newClients(g)
	var turnedAway atomic.Int64
	begin := time.Now()
	if troubled() {
		time.AfterFunc(2*time.Second, func() {
			w.note("%d clients send %d commands at once, again and again", crowdClients, commandsAtOnce)
			for range crowdClients {
				go func() {
					for time.Since(begin) < crowdEnds {
						sendAtOnce(g.address)
						turnedAway.Add(1)
					}
				}()
			}
		})
	}
	usual.sendMixed(crowdEnds, crowdRate)
	lost := 0
	for _, r := range usual.results {
		late := r.endedAt.Sub(r.sentAt) - r.deadline
		if r.kind == "lost" || r.kind == "gone" || late > lossAfter {
			lost++
			w.note("%s: %s %.0f ms after its time of %.0f ms was up", r.id, r.kind, ms(late), ms(r.deadline))
		}
	}
	w.say("%d requests on at most %d connections: %v, %d answered over 500 ms after their time, or never; bad clients turned away %d times",
		len(usual.results), usual.most, usual.counts(), lost, turnedAway.Load())
	if len(usual.results) < 100 || usual.most > 256/3 {
		return false, fmt.Errorf("too few requests, or usual clients hold more than a third of the descriptors")
	}
	return lost == 0, nil
}

// sendAtOnce sends commands at once on one connection and reads what comes until the gateway closes it.
func sendAtOnce(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reader := bufio.NewReader(conn)
		for {
			if _, _, err := readAnswer(reader); err != nil {
				return
			}
		}
	}()
	r := request{class: "diet-booking", key: "court", write: true, deadline: 1500 * time.Millisecond, body: crowdBody}
	for range commandsAtOnce {
		r.id = newID()
		if _, err := conn.Write(r.encode()); err != nil {
			break
		}
	}
	<-ended
}
