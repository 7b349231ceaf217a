package gatewaytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

// lastRequestID makes the ids of requests: each has its own.
var lastRequestID atomic.Int64

// NextRequestID is an id that no other request of this process has.
func NextRequestID() int64 { return lastRequestID.Add(1) }

// ReadRequest is the text of a request that is idempotent.
func ReadRequest(key string) string {
	return fmt.Sprintf("API.READ %s %d c=look,d=600", key, NextRequestID())
}

// WriteRequest is the text of a request that is not idempotent.
func WriteRequest(key, body string) string {
	return fmt.Sprintf("API.WRITE %s %d c=book,d=600 %s", key, NextRequestID(), body)
}

// EncodeRequest is a request as a client writes it: an array of the text's words.
func EncodeRequest(text string) []byte {
	words := strings.Split(text, " ")
	encoded := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		encoded = redcon.AppendBulkString(encoded, word)
	}
	return encoded
}

// BulkString is a value as a client gets it.
func BulkString(text string) string { return string(redcon.AppendBulkString(nil, text)) }

// SendRequests sends requests to a gateway on one connection and returns all that comes back until the connection ends or
// the wait is over.
func SendRequests(address string, wait time.Duration, requests ...string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	for _, request := range requests {
		conn.Write(EncodeRequest(request))
	}
	conn.SetReadDeadline(time.Now().Add(wait))
	answers, _ := io.ReadAll(conn)
	return string(answers)
}

// ReadLastWord reads a request as an endpoint does and returns its last word, which is the body of a write.
func ReadLastWord(in *bufio.Reader) (word string, err error) {
	head, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	words, err := strconv.Atoi(strings.Trim(head, "*\r\n"))
	for range 2 * words {
		if word, err = in.ReadString('\n'); err != nil {
			return "", err
		}
	}
	return strings.TrimRight(word, "\r\n"), err
}

// Ping reports whether a gateway answers PING in time.
func Ping(address string, wait time.Duration) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(wait))
	conn.Write(EncodeRequest("PING"))
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}
