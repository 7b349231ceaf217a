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

// lastRequestID is the last id that NextRequestID returned.
var lastRequestID atomic.Int64

// NextRequestID returns a request id that is unique within this process.
func NextRequestID() int64 { return lastRequestID.Add(1) }

// ReadRequest returns the text of an idempotent request.
func ReadRequest(key string) string {
	return fmt.Sprintf("API.READ %s %d c=look,d=600", key, NextRequestID())
}

// WriteRequest returns the text of a request that is not idempotent.
func WriteRequest(key, body string) string {
	return fmt.Sprintf("API.WRITE %s %d c=book,d=600 %s", key, NextRequestID(), body)
}

// EncodeRequest encodes a request as a client writes it: an array of bulk strings, one for each word of the text.
func EncodeRequest(text string) []byte {
	words := strings.Split(text, " ")
	encoded := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		encoded = redcon.AppendBulkString(encoded, word)
	}
	return encoded
}

// BulkString returns a value encoded as the gateway writes it to a client.
func BulkString(text string) string { return string(redcon.AppendBulkString(nil, text)) }

// SendRequests sends requests to a gateway on one connection and returns everything received until the connection ends
// or the wait is over. If the connection cannot be opened, it returns a text that says so.
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
	responses, _ := io.ReadAll(conn)
	return string(responses)
}

// ReadLastWord reads a request from a gateway and returns its last word, which is the body of a write.
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

// Ping reports whether a gateway answers PING within the wait.
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
