package tuftest

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a mirror does in the place of an answer; it tells whether it did.
type Fault func(out http.ResponseWriter, in *http.Request, name string, data []byte) bool

// Mirror serves a copy of a repository.
type Mirror struct {
	URL       string
	Requests  atomic.Int64
	BytesSent atomic.Int64

	server *httptest.Server
	ended  chan struct{}
	once   sync.Once
	mu     sync.Mutex
	files  map[string][]byte
	fault  Fault
}

// NewMirror starts a mirror of the files on loopback.
func NewMirror(files map[string][]byte) *Mirror {
	m := &Mirror{files: maps.Clone(files), ended: make(chan struct{})}
	m.server = httptest.NewServer(http.HandlerFunc(m.serve))
	m.URL = m.server.URL + "/"
	return m
}

// Close ends it.
func (m *Mirror) Close() {
	m.once.Do(func() { close(m.ended) })
	m.server.CloseClientConnections()
	m.server.Close()
}

// Sync has it serve these files from here on.
func (m *Mirror) SetFiles(files map[string][]byte) {
	m.mu.Lock()
	m.files = maps.Clone(files)
	m.mu.Unlock()
}

// Plant has it act by a fault from here on; nil mends it.
func (m *Mirror) SetFault(f Fault) {
	m.mu.Lock()
	m.fault = f
	m.mu.Unlock()
}

func (m *Mirror) serve(out http.ResponseWriter, in *http.Request) {
	m.Requests.Add(1)
	name := strings.TrimPrefix(in.URL.Path, "/")
	m.mu.Lock()
	data, ok := m.files[name]
	fault := m.fault
	m.mu.Unlock()
	ctx, stop := context.WithCancel(in.Context())
	defer stop()
	go func() {
		select {
		case <-m.ended: // faults go on until then
			stop()
		case <-ctx.Done():
		}
	}()
	in = in.WithContext(ctx)
	count := &counting{ResponseWriter: out, bytes: &m.BytesSent}
	if fault != nil && fault(count, in, name, data) {
		return
	}
	if !ok {
		http.NotFound(count, in)
		return
	}
	http.ServeContent(count, in, name, time.Time{}, bytes.NewReader(data))
}

type counting struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c *counting) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

func (c *counting) Flush() { c.ResponseWriter.(http.Flusher).Flush() }

// Only plants a fault for one file.
func OnlyFor(name string, f Fault) Fault {
	return func(out http.ResponseWriter, in *http.Request, at string, data []byte) bool {
		return strings.HasSuffix(at, name) && f(out, in, at, data)
	}
}

// from is where a request wants to begin.
func from(in *http.Request, size int) int {
	text := strings.TrimSuffix(strings.TrimPrefix(in.Header.Get("Range"), "bytes="), "-")
	at, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return min(at, size)
}

// begin writes a head that promises the rest of the file, and a part of it.
func begin(out http.ResponseWriter, in *http.Request, data []byte, part int) {
	at := from(in, len(data))
	out.Header().Set("Content-Length", strconv.Itoa(len(data)-at))
	if at > 0 {
		out.Header().Set("Content-Range", "bytes "+strconv.Itoa(at)+"-"+strconv.Itoa(len(data)-1)+"/"+strconv.Itoa(len(data)))
		out.WriteHeader(http.StatusPartialContent)
	}
	out.Write(data[at:min(len(data), at+part)])
	out.(http.Flusher).Flush()
}

// Stall stops after so many bytes and keeps the connection.
func StallAfter(after int) Fault {
	return func(out http.ResponseWriter, in *http.Request, _ string, data []byte) bool {
		if data == nil {
			return false
		}
		begin(out, in, data, after)
		<-in.Context().Done()
		return true
	}
}

// Drip goes on with a byte each so often.
func Drip(each time.Duration) Fault {
	return func(out http.ResponseWriter, in *http.Request, _ string, data []byte) bool {
		if data == nil {
			return false
		}
		begin(out, in, data, 0)
		for _, b := range data {
			select {
			case <-in.Context().Done():
				return true
			case <-time.After(each):
			}
			out.Write([]byte{b})
			out.(http.Flusher).Flush()
		}
		return true
	}
}

// Early ends the connection after so many bytes of more that it promised.
func CloseAfter(after int) Fault {
	return func(out http.ResponseWriter, in *http.Request, _ string, data []byte) bool {
		if data == nil {
			return false
		}
		begin(out, in, data, after)
		panic(http.ErrAbortHandler)
	}
}

// Endless brings bytes for ever, without saying how many.
func Endless(out http.ResponseWriter, in *http.Request, _ string, data []byte) bool {
	if data == nil {
		return false
	}
	out.Write(data)
	for chunk := bytes.Repeat([]byte(" "), 8<<10); in.Context().Err() == nil; {
		if _, err := out.Write(chunk); err != nil {
			break
		}
	}
	return true
}

// Redirect sends elsewhere.
func RedirectTo(to string) Fault {
	return func(out http.ResponseWriter, in *http.Request, name string, _ []byte) bool {
		http.Redirect(out, in, to+name, http.StatusFound)
		return true
	}
}

// Other answers with these bytes, whatever was asked for.
func RespondWith(data []byte) Fault {
	return func(out http.ResponseWriter, _ *http.Request, _ string, _ []byte) bool {
		out.Write(data)
		return true
	}
}

// Alter changes one byte in the middle.
func Corrupt(out http.ResponseWriter, _ *http.Request, _ string, data []byte) bool {
	if data == nil {
		return false
	}
	other := bytes.Clone(data)
	other[len(other)/2] ^= 1
	out.Write(other)
	return true
}

// Fail answers that the server has failed.
func FailRequest(out http.ResponseWriter, _ *http.Request, _ string, _ []byte) bool {
	out.WriteHeader(http.StatusInternalServerError)
	return true
}
