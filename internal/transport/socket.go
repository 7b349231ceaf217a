package transport

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// peekByte looks whether a byte waits on a connection without reading it. It returns 1 if one does, 0 at the end of
// the stream, and an error otherwise: unix.EAGAIN if nothing waits.
func peekByte(raw syscall.RawConn) (n int, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// retryInterrupted makes a system call until it is not interrupted by a signal.
func retryInterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); err != unix.EINTR {
			return n, err
		}
	}
}

// timeSinceLastData returns how long ago the last data came on a TCP connection, in whole milliseconds. It is 0 where the system
// does not tell.
func timeSinceLastData(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
