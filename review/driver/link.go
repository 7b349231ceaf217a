package main

import (
	"net"
	"time"
)

// link starts a proxy that stands for a path to an address: what passes in either direction takes the delay. It
// returns the proxy's address.
func (w *world) link(address string, delay time.Duration) string {
	listener := w.listen()
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", address)
				if err != nil {
					near.Close()
					return
				}
				go carry(near, far, delay)
				go carry(far, near, delay)
			}()
		}
	}()
	return listener.Addr().String()
}

// chunk is a piece of what passes over a link, and when it arrives.
type chunk struct {
	data    []byte
	arrives time.Time
}

// carry copies what comes from one connection to the other, each piece after the delay. At the end it closes both.
func carry(from, to net.Conn, delay time.Duration) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, 16<<10)
			n, err := from.Read(data)
			if err != nil {
				return
			}
			chunks <- chunk{data[:n], time.Now().Add(delay)}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.arrives))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	from.Close()
	to.Close()
	for range chunks { // until the reader has ended
	}
}
