package tuftest

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Mirror is an HTTP server on loopback that serves a copy of a repository's files. It is safe for concurrent use.
type Mirror struct {
	URL       string       // ends in a slash
	Requests  atomic.Int64 // number of requests received
	BytesSent atomic.Int64 // bytes of response bodies

	server *httptest.Server
	closed chan struct{}
	once   sync.Once
	mu     sync.Mutex
	files  map[string][]byte
	fault  Fault
}

// NewMirror starts a mirror that serves files, given by name.
func NewMirror(files map[string][]byte) *Mirror {
	m := &Mirror{files: maps.Clone(files), closed: make(chan struct{})}
	m.server = httptest.NewServer(http.HandlerFunc(m.serve))
	m.URL = m.server.URL + "/"
	return m
}

// Close stops the mirror and closes its connections.
func (m *Mirror) Close() {
	m.once.Do(func() { close(m.closed) })
	m.server.CloseClientConnections()
	m.server.Close()
}

// SetFiles replaces the files that the mirror serves.
func (m *Mirror) SetFiles(files map[string][]byte) {
	m.mu.Lock()
	m.files = maps.Clone(files)
	m.mu.Unlock()
}

// SetFault sets the fault that handles requests from the next one on; nil removes it.
func (m *Mirror) SetFault(fault Fault) {
	m.mu.Lock()
	m.fault = fault
	m.mu.Unlock()
}

func (m *Mirror) serve(response http.ResponseWriter, request *http.Request) {
	m.Requests.Add(1)
	name := strings.TrimPrefix(request.URL.Path, "/")
	m.mu.Lock()
	contents, ok := m.files[name]
	fault := m.fault
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	go func() {
		select {
		case <-m.closed: // ends faults that are still waiting
			cancel()
		case <-ctx.Done():
		}
	}()
	request = request.WithContext(ctx)
	counted := &countingWriter{ResponseWriter: response, bytes: &m.BytesSent}
	if fault != nil && fault(counted, request, name, contents) {
		return
	}
	if !ok {
		http.NotFound(counted, request)
		return
	}
	http.ServeContent(counted, request, name, time.Time{}, bytes.NewReader(contents))
}

// countingWriter counts the bytes written to a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes.Add(int64(len(data)))
	return w.ResponseWriter.Write(data)
}

func (w *countingWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }
