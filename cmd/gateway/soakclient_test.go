package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"

	"laurelring/internal/gatewaytest"
)

// extraAnswerWait is how long a client waits beyond the bound of the protocol page, so that the audit can report by how
// much an answer is late.
const extraAnswerWait = 4 * time.Second

// crossingWindow is the longest time from a request to the end of its connection for which the two are taken to have
// crossed on the wire.
const crossingWindow = 20 * time.Millisecond

// runClient sends requests until the context ends. It keeps its connection for as long as that stays open.
func (run *soakRun) runClient(ctx context.Context, random *rand.Rand) {
	client := soakClient{run: run, random: random}
	defer client.close()
	for ctx.Err() == nil {
		client.doRequest()
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// soakClient is a client with its current connection.
type soakClient struct {
	run    *soakRun
	random *rand.Rand
	conn   net.Conn
	in     *bufio.Reader

	openedAt time.Time
}

func (c *soakClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// doRequest sends one request and records its result in the history. A request that was not sent is not recorded.
func (c *soakClient) doRequest() {
	request := clientRequest{id: fmt.Sprint(gatewaytest.NextRequestID()), write: c.random.IntN(3) == 0,
		timeout: time.Duration(100+c.random.IntN(500)) * time.Millisecond}
	text := fmt.Sprintf("API.READ key%d %s c=look,d=%d", c.random.IntN(50), request.id, request.timeout.Milliseconds())
	if request.write {
		text = fmt.Sprintf("API.WRITE key%d %s c=book,d=%d body", c.random.IntN(50), request.id, request.timeout.Milliseconds())
	}
	encoded := gatewaytest.EncodeRequest(text)
	for attempt := range 2 { // a request that crosses the end of its connection is sent again once, on a new one
		if c.conn == nil && attempt == 0 && !c.run.mayConnect() {
			time.Sleep(5 * time.Millisecond)
			return
		}
		if !c.send(&request, encoded) {
			if attempt == 0 {
				return // the gateway has not accepted it
			}
			request.excused = true // it crossed the end of its connection, and the gateway no longer listens
			break
		}
		err := c.receive(&request)
		if request.err = err; err == nil {
			break
		}
		c.close()
		crossed := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) && request.answerAt.Sub(request.sentAt) < crossingWindow
		if !crossed || attempt > 0 {
			break
		}
	}
	c.record(request)
}

// send writes the request, on a new connection if there is none, and reports whether all of it was written.
func (c *soakClient) send(request *clientRequest, encoded []byte) bool {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.run.fleet.Address(0))
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			return false
		}
		c.conn, c.in, c.openedAt = conn, bufio.NewReader(conn), time.Now()
	}
	request.sentAt, request.openedAt = time.Now(), c.openedAt
	if _, err := c.conn.Write(encoded); err != nil {
		c.close()
		return false
	}
	return true
}

// receive waits for the answer. It waits much longer than the gateway may take, stops of its process included.
func (c *soakClient) receive(request *clientRequest) error {
	c.conn.SetReadDeadline(request.sentAt.Add(request.timeout + answerSlack + extraAnswerWait))
	line, err := c.in.ReadString('\n')
	request.answerAt = time.Now()
	if err == nil && strings.HasPrefix(line, "$") {
		_, err = c.in.ReadString('\n')
	}
	if err == nil {
		request.answer = line
	}
	return err
}

// record adds a request to the history.
func (c *soakClient) record(request clientRequest) {
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.history.requests = append(c.run.history.requests, request)
}
