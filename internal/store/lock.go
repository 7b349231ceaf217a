package store

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	lockTimeout       = time.Second // how long Open waits while another process holds the lock
	lockRetryInterval = 20 * time.Millisecond
)

// acquireLock takes an exclusive advisory lock on a file and returns the open file, which holds the lock until it is
// closed. The kernel also releases the lock when the process ends for any reason. acquireLock returns ErrInUse if the
// lock is not released within lockTimeout.
func acquireLock(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		switch err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
		case err == nil:
			return file, nil
		case err != unix.EWOULDBLOCK && err != unix.EINTR:
			file.Close()
			return nil, err
		case time.Now().After(deadline):
			file.Close()
			return nil, ErrInUse
		}
	}
}
