package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one event a line, with the seconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// seconds returns a time as seconds since the start of the record.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.started).Seconds() }

// at writes a line for an event at the given time.
func (r *record) at(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f ", r.seconds(at))
	fmt.Fprintf(r.out, format+"\n", args...)
}

// now writes a line for an event that happens now.
func (r *record) now(format string, args ...any) { r.at(time.Now(), format, args...) }

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.now(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
