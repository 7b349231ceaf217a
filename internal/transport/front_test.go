package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"laurelring/decision"
	"laurelring/internal/protocol"
)

// pair is a connection of a client as the front holds it, and the client's side of it.
func pair(t *testing.T, f *Front, within bool) (*client, *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	outer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	inner, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := &client{Conn: inner, front: f, buffer: protocol.NewBuffer(protocol.MaxRequestSize), within: within,
		brought: true, activeAt: time.Now().Add(-time.Minute), release: f.share.give}
	if !within {
		f.beyond <- struct{}{}
		c.release = func() { <-f.beyond }
	} else if !f.share.free() {
		t.Fatal("no descriptor")
	}
	f.clients = append(f.clients, c)
	t.Cleanup(func() { c.Close(); outer.Close() })
	return c, outer.(*net.TCPConn)
}

// Socket bench, 64 and 100 descriptors: a whole command that crossed an orderly end was lost, as the client could not
// know that nobody had read it. A reset tells it so; but none may overtake an answer.
func TestEndsInAReset(t *testing.T) {
	for _, answered := range []bool{false, true} {
		f := NewFront(NewBudget(reserve+4), nil, 1<<20, 0, nil, nil, nil)
		c, outer := pair(t, f, true)
		if answered {
			go c.Conn.Write(make([]byte, 1<<20)) // more than the other side holds
		}
		time.Sleep(10 * time.Millisecond)
		if !f.closeIdle() || f.closeIdle() {
			t.Fatal("a quiet connection is to end once")
		}
		free := 0
		for free < 4 && f.share.free() { // each takes a descriptor
			free++
		}
		if free != 2 || len(f.clients) > 0 {
			t.Error("its descriptor is to come back, once")
		}
		if _, err := io.ReadAll(outer); errors.Is(err, syscall.ECONNRESET) == answered {
			t.Errorf("answers are on their way: %t; the client saw %v", answered, err)
		}
		if _, _, err := c.next(); err == nil {
			t.Error("a command was taken after the end")
		}
	}
}

// Who is asked to make room: not a client with a command in hand, nor one that had one just now, and of those
// beyond the limit whoever is quiet once a further one comes.
func TestWhoMakesRoom(t *testing.T) {
	f := NewFront(NewBudget(reserve+6), nil, 1<<20, 0, nil, nil, nil)
	busy, _ := pair(t, f, true)
	recent, _ := pair(t, f, true)
	quiet, _ := pair(t, f, true)
	busy.inHand, recent.activeAt = 1, time.Now()
	if !f.share.take() || !quiet.shut || busy.shut || recent.shut {
		t.Errorf("shut: busy %v, recent %v, quiet %v", busy.shut, recent.shut, quiet.shut)
	}
	if f.share.take() {
		t.Error("a descriptor beyond the limit")
	}
	var others []*client
	for range beyondMost {
		c, _ := pair(t, f, false)
		others = append(others, c)
	}
	others[0].inHand = 1
	in, _ := net.Pipe()
	next := &client{Conn: in, front: f}
	f.goBeyond(next)
	if next.release(); others[0].shut || !others[1].shut || others[2].shut {
		t.Error("the first quiet one beyond the limit is to go, and no other")
	}
}

// Socket bench, a recorded day: clients that ask once and stay held all that clients may have, and eight in ten commands
// found no connection. Of many that have brought a command the longest quiet ones go, those at work never.
func TestManyQuietEnd(t *testing.T) {
	f := NewFront(NewBudget(reserve+40), nil, 1<<20, 0, nil, nil, nil)
	var all []*client
	for range 12 {
		c, _ := pair(t, f, true)
		all = append(all, c)
	}
	all[0].inHand, all[1].brought, all[11].activeAt = 1, false, time.Now()
	f.endMany()
	for i, c := range all {
		if ended := i == 2 || i == 3; c.shut != ended { // of eleven, eight may stay; the first is at work
			t.Errorf("connection %d has ended: %t", i, c.shut)
		}
	}
}

// serve has a front of one op type on loopback, whose commands nobody answers, and gives its address.
func serve(t *testing.T, take, gone func(to *Answer)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f := NewFront(NewBudget(reserve+40), &Complaints{}, 1<<20, time.Minute,
		map[string]*decision.OpType{"API.READ look": {}},
		func(_ protocol.Request, to *Answer) { take(to) }, gone)
	go f.Serve(ln)
	return ln.Addr().String()
}

// A client leaves while its command waits, in each way there is: an end, a half-close, a reset, an end behind further
// commands, one behind bytes that no framing fits. Its commands are told as gone at once, each once.
func TestLeavingIsSeenAtOnce(t *testing.T) {
	const ask = "*4\r\n$8\r\nAPI.READ\r\n$1\r\nk\r\n$2\r\n%02d\r\n$11\r\nc=look,d=99\r\n"
	type far = *net.TCPConn
	ways := map[string]func(c far){
		"end":        func(c far) { c.Close() },
		"half-close": func(c far) { c.CloseWrite() },
		"reset":      func(c far) { c.SetLinger(0); c.Close() },
		"behind":     func(c far) { io.WriteString(c, fmt.Sprintf(ask, 2)+fmt.Sprintf(ask, 3)); c.Close() },
		"noise":      func(c far) { io.WriteString(c, "*9999\r\n$$$\r\n"); time.Sleep(50 * time.Millisecond); c.Close() },
	}
	for name, leave := range ways {
		taken, gone := make(chan *Answer, 9), make(chan *Answer, 9)
		address := serve(t, func(to *Answer) { taken <- to }, func(to *Answer) { gone <- to })
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, ask, 1)
		all := map[*Answer]bool{<-taken: true}
		leave(conn.(far))
		time.Sleep(250 * time.Millisecond)
		for len(taken) > 0 {
			all[<-taken] = true
		}
		for len(gone) > 0 {
			if a := <-gone; !all[a] {
				t.Errorf("%s: told as gone again, or never taken", name)
			} else {
				delete(all, a)
			}
		}
		if len(all) > 0 {
			t.Errorf("%s: of %d commands nobody knows that the client has left", name, len(all))
		}
	}
}
