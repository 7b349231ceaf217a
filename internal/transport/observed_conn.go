package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// trackedConn is a connection that knows whether anything was sent on it that its reader has not handled yet: bytes that
// wait to be read, or that were read since the reader last called markHandled.
type trackedConn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu        sync.Mutex // held while bytes are read, so that none is on its way from the kernel to the reader unseen
	unhandled bool
}

// trackInput wraps a connection, which it closes where it cannot.
func trackInput(conn net.Conn) (*trackedConn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		conn.Close()
		return nil, errors.New("not a TCP connection")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &trackedConn{TCPConn: tcp, raw: raw}, nil
}

// Read reads as the connection itself does.
func (c *trackedConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waitErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = retryInterrupted(func() (int, error) { return unix.Read(int(fd), p) })
		c.unhandled = c.unhandled || n > 0
		return err != unix.EAGAIN
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// markHandled says that all that was read so far is handled. Only the reader may call it.
func (c *trackedConn) markHandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unhandled = false
}

// hasUnhandledInput reports whether something that was sent on the connection, its end included, is not handled yet. A closed
// connection has nothing.
func (c *trackedConn) hasUnhandledInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unhandled {
		return true
	}
	_, err := peekByte(c.raw)
	return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, net.ErrClosed)
}
