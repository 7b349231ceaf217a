package protocol

import (
	"errors"
	"testing"
)

// Lengths with a sign are rejected. "*+1" and "$+4" used to be accepted as 1 and 4 in requests, although responses of
// endpoints with them are rejected. It is not known how other parsers treat such requests, including the parser that
// the scanner protects.
func TestRejectsLengthsWithSign(t *testing.T) {
	for _, text := range []string{"*+1\r\n$4\r\nPING\r\n", "*1\r\n$+4\r\nPING\r\n", "*1\r\n$-0\r\n\r\n"} {
		b := NewBuffer(MaxRequestSize)
		b.Commit(copy(b.Space(), text))
		var scanner RequestScanner
		if size, _, err := scanner.Next(b); !errors.Is(err, errFramingLost) {
			t.Errorf("%q: got a request of %d bytes and error %v, want errFramingLost", text, size, err)
		}
	}
}
