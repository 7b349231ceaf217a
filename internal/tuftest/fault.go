package tuftest

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Fault responds to a request instead of a mirror, to simulate a failure or an attack. The contents are those of the
// requested file, or nil if the mirror does not have it. A Fault returns false to let the mirror respond.
type Fault func(response http.ResponseWriter, request *http.Request, name string, contents []byte) bool

// OnlyFor returns a fault that applies only to files whose names end in a suffix.
func OnlyFor(suffix string, fault Fault) Fault {
	return func(response http.ResponseWriter, request *http.Request, name string, contents []byte) bool {
		return strings.HasSuffix(name, suffix) && fault(response, request, name, contents)
	}
}

// rangeStart returns the offset at which the requested range starts, or 0 without a range. It is at most the size.
func rangeStart(request *http.Request, size int) int {
	text := strings.TrimSuffix(strings.TrimPrefix(request.Header.Get("Range"), "bytes="), "-")
	start, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return min(start, size)
}

// sendPart sends a header that announces the file from the requested offset to its end, but only the first part bytes
// of that.
func sendPart(response http.ResponseWriter, request *http.Request, contents []byte, part int) {
	start := rangeStart(request, len(contents))
	response.Header().Set("Content-Length", strconv.Itoa(len(contents)-start))
	if start > 0 {
		response.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", start, len(contents)-1, len(contents)))
		response.WriteHeader(http.StatusPartialContent)
	}
	response.Write(contents[start:min(len(contents), start+part)])
	response.(http.Flusher).Flush()
}

// StallAfter returns a fault that sends a number of bytes and then stalls: it keeps the connection open and sends
// nothing.
func StallAfter(bytes int) Fault {
	return func(response http.ResponseWriter, request *http.Request, _ string, contents []byte) bool {
		if contents == nil {
			return false
		}
		sendPart(response, request, contents, bytes)
		<-request.Context().Done()
		return true
	}
}

// SendByteEvery returns a fault that sends one byte per interval, as in a slow retrieval attack.
func SendByteEvery(interval time.Duration) Fault {
	return func(response http.ResponseWriter, request *http.Request, _ string, contents []byte) bool {
		if contents == nil {
			return false
		}
		sendPart(response, request, contents, 0)
		for _, b := range contents {
			select {
			case <-request.Context().Done():
				return true
			case <-time.After(interval):
			}
			response.Write([]byte{b})
			response.(http.Flusher).Flush()
		}
		return true
	}
}

// CloseAfter returns a fault that closes the connection after a number of the announced bytes.
func CloseAfter(bytes int) Fault {
	return func(response http.ResponseWriter, request *http.Request, _ string, contents []byte) bool {
		if contents == nil {
			return false
		}
		sendPart(response, request, contents, bytes)
		panic(http.ErrAbortHandler)
	}
}

// EndlessData is a fault that sends the file and then spaces until the client disconnects, without a Content-Length, as
// in an endless data attack.
func EndlessData(response http.ResponseWriter, request *http.Request, _ string, contents []byte) bool {
	if contents == nil {
		return false
	}
	response.Write(contents)
	for chunk := bytes.Repeat([]byte(" "), 8<<10); request.Context().Err() == nil; {
		if _, err := response.Write(chunk); err != nil {
			break
		}
	}
	return true
}

// RedirectTo returns a fault that redirects to the same file name below another URL.
func RedirectTo(url string) Fault {
	return func(response http.ResponseWriter, request *http.Request, name string, _ []byte) bool {
		http.Redirect(response, request, url+name, http.StatusFound)
		return true
	}
}

// RespondWith returns a fault that sends the given contents for every requested file.
func RespondWith(other []byte) Fault {
	return func(response http.ResponseWriter, _ *http.Request, _ string, _ []byte) bool {
		response.Write(other)
		return true
	}
}

// Corrupt is a fault that sends the file with one bit flipped in the middle.
func Corrupt(response http.ResponseWriter, _ *http.Request, _ string, contents []byte) bool {
	if contents == nil {
		return false
	}
	corrupted := bytes.Clone(contents)
	corrupted[len(corrupted)/2] ^= 1
	response.Write(corrupted)
	return true
}

// FailRequest is a fault that responds with status 500 (internal server error).
func FailRequest(response http.ResponseWriter, _ *http.Request, _ string, _ []byte) bool {
	response.WriteHeader(http.StatusInternalServerError)
	return true
}
