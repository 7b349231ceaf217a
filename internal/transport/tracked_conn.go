package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// trackedConn is a TCP connection that tracks whether its peer has sent anything that the reader has not handled yet:
// bytes that wait to be read, or that were read since the reader last called markHandled.
type trackedConn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu        sync.Mutex // held during a read, so that bytes taken from the kernel are recorded in unhandled at once
	unhandled bool
}

// trackInput wraps a connection in a trackedConn. It closes the connection if it returns an error.
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

// Read implements net.Conn and records whether bytes were read.
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

// markHandled records that all bytes read so far have been handled. Only the reader may call it. It does nothing if
// there is no connection.
func (c *trackedConn) markHandled() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unhandled = false
}

// hasUnhandledInput reports whether bytes or the end of the stream have arrived and are not handled yet. It returns
// false for a closed connection whose bytes were all handled.
func (c *trackedConn) hasUnhandledInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unhandled {
		return true
	}
	_, err := peekByte(c.raw)
	return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, net.ErrClosed)
}
