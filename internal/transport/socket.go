package transport

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// peekByte checks whether a byte waits to be read on a connection, and leaves it unread. It returns 1 if a byte waits,
// 0 at the end of the stream, and an error otherwise: unix.EAGAIN if nothing waits.
func peekByte(raw syscall.RawConn) (n int, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// States of a TCP connection in TCP_INFO (linux/tcp.h) after its peer has closed or reset it.
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
)

// peerHasClosed reports whether the peer has closed or reset a TCP connection. Bytes that the peer sent before may still
// wait to be read. It does not see a close behind more bytes than the receive buffer holds.
func peerHasClosed(raw syscall.RawConn) (closed bool) {
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpStateClose || info.State == tcpStateCloseWait)
	})
	return closed
}

// unreadBytes returns how many bytes wait to be read on a connection, 0 if the system does not report it.
func unreadBytes(raw syscall.RawConn) (n int) {
	raw.Control(func(fd uintptr) {
		if waiting, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			n = waiting
		}
	})
	return n
}

// retryInterrupted repeats a system call for as long as it is interrupted by a signal.
func retryInterrupted(call func() (int, error)) (n int, err error) {
	for {
		if n, err = call(); err != unix.EINTR {
			return n, err
		}
	}
}

// timeSinceLastData returns how long ago data last arrived on a TCP connection, or how long ago the connection was
// established if none has arrived, in whole milliseconds. It returns 0 if the system does not report it.
func timeSinceLastData(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
