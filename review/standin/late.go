package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// soReusePort is SO_REUSEPORT, which package syscall does not name.
const soReusePort = 15

// usualBacklog is the backlog of a listener whose connections come up at once.
const usualBacklog = 128

// bindLoopback returns a TCP socket that is bound to a port of 127.0.0.1, or to a free one if port is 0. Several sockets
// of this program may be bound to one port.
func bindLoopback(port int) (*os.File, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "socket")
	for _, option := range []int{syscall.SO_REUSEADDR, soReusePort} {
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, option, 1); err != nil {
			file.Close()
			return nil, err
		}
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// lateListener listens at one address. While it is late, a connection to it comes up some time after it was asked for:
// the first packet of the client finds the accept queue full and is dropped, and the connection is then opened from this
// side. The kernel joins the two as a simultaneous open, so that the client's connect returns at that moment.
type lateListener struct {
	file     *os.File
	listener net.Listener
	port     int
	onConn   func(net.Conn)

	mu       sync.Mutex
	late     bool
	usual    chan struct{} // closed when connections come up at once again
	stuffing []net.Conn    // fill the accept queue
}

func newLateListener(onConn func(net.Conn)) (*lateListener, error) {
	file, err := bindLoopback(0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Listen(int(file.Fd()), usualBacklog); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	l := &lateListener{file: file, listener: listener, port: listener.Addr().(*net.TCPAddr).Port, onConn: onConn}
	go l.accept()
	return l, nil
}

func (l *lateListener) address() string { return l.listener.Addr().String() }

// accept accepts connections, except while they come up late.
func (l *lateListener) accept() {
	for {
		l.mu.Lock()
		usual := l.usual
		l.mu.Unlock()
		if usual != nil {
			<-usual
		}
		conn, err := l.listener.Accept()
		switch {
		case os.IsTimeout(err):
		case err != nil:
			return
		default:
			go l.onConn(conn)
		}
	}
}

// beLate makes the connections to the listener come up late. Nobody may know its address yet.
func (l *lateListener) beLate() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late, l.usual = true, make(chan struct{})
	l.listener.(*net.TCPListener).SetDeadline(time.Now()) // ends the present call of Accept
	time.Sleep(5 * time.Millisecond)
	if err := syscall.Listen(int(l.file.Fd()), 1); err != nil {
		return err
	}
	for range 2 {
		conn, err := net.DialTimeout("tcp", l.address(), time.Second)
		if err != nil {
			return err
		}
		l.stuffing = append(l.stuffing, conn)
	}
	return nil
}

// beUsual makes the connections come up at once again.
func (l *lateListener) beUsual() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.late {
		return
	}
	for _, conn := range l.stuffing {
		conn.Close()
	}
	l.listener.(*net.TCPListener).SetDeadline(time.Time{})
	syscall.Listen(int(l.file.Fd()), usualBacklog)
	close(l.usual)
	l.late, l.usual, l.stuffing = false, nil, nil
}

func (l *lateListener) isLate() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late
}

func (l *lateListener) close() {
	l.beUsual()
	l.listener.Close()
	l.file.Close()
}

// open opens the connection to a client that has asked for it from a port.
func (l *lateListener) open(clientPort int) {
	file, err := bindLoopback(l.port)
	if err != nil {
		return
	}
	defer file.Close()
	if err := syscall.Connect(int(file.Fd()), &syscall.SockaddrInet4{Port: clientPort, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return // the client has given up
	}
	conn, err := net.FileConn(file)
	if err != nil {
		return
	}
	l.onConn(conn)
}

// latecomer opens the connections to the listeners that are late.
type latecomer struct {
	record   *record
	min, max time.Duration // how late a connection comes up

	mu        sync.Mutex
	listeners map[int]*lateListener // by port
	opened    int
}

func newLatecomer(rec *record, min, max time.Duration) *latecomer {
	return &latecomer{record: rec, min: min, max: max, listeners: map[int]*lateListener{}}
}

func (c *latecomer) add(l *lateListener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners[l.port] = l
}

// run looks for clients that wait for a connection, in the kernel's table of TCP sockets.
func (c *latecomer) run(done <-chan struct{}) {
	waiting := map[[2]int]bool{}
	for {
		select {
		case <-done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return
		}
		now := map[[2]int]bool{}
		for _, line := range strings.Split(string(table), "\n")[1:] {
			words := strings.Fields(line)
			const synSent = "02"
			if len(words) < 4 || words[3] != synSent {
				continue
			}
			var client, server int
			fmt.Sscanf(words[1][len("0100007F:"):], "%X", &client)
			fmt.Sscanf(words[2][len("0100007F:"):], "%X", &server)
			pair := [2]int{client, server}
			now[pair] = true
			c.mu.Lock()
			listener := c.listeners[server]
			c.mu.Unlock()
			if listener == nil || waiting[pair] || !listener.isLate() {
				continue
			}
			late := c.min + time.Duration(rand.Int64N(int64(c.max-c.min)))
			time.AfterFunc(late, func() {
				c.mu.Lock()
				c.opened++
				c.mu.Unlock()
				listener.open(client)
			})
		}
		waiting = now
	}
}
