package transport

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

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
	c := &client{Conn: inner, front: f, buffer: protocol.NewBuffer(protocol.CommandMost), within: within,
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
		if !f.share.free() || !f.share.free() || f.share.free() || len(f.clients) > 0 {
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
