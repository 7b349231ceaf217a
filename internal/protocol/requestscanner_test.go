package protocol

import (
	"errors"
	"testing"
)

// A length with a sign is no length: "*+1" and "$+4" were taken for 1 and 4, while an endpoint's responses with them are
// refused. What other parsers do with such a request, the one behind the scanner among them, is not known.
func TestLengthsHaveNoSign(t *testing.T) {
	for _, text := range []string{"*+1\r\n$4\r\nPING\r\n", "*1\r\n$+4\r\nPING\r\n", "*1\r\n$-0\r\n\r\n"} {
		b := NewBuffer(MaxRequestSize)
		b.Commit(copy(b.Space(), text))
		var scanner RequestScanner
		if size, _, err := scanner.Next(b); !errors.Is(err, errFramingLost) {
			t.Errorf("%q: a request of %d bytes, %v", text, size, err)
		}
	}
}
