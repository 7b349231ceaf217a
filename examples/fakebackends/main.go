// Command fakebackends stands in for everything that a gateway reaches, so that one can be tried alone: two endpoints,
// discovery and the rollout controller, at the addresses of examples/gateway.json. With "ask KEY" it is a client
// instead, which sends the gateway one read and prints the answer.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/redcon"
)

// Addresses, as in examples/gateway.json.
const (
	gatewayAddress           = "127.0.0.1:6379"
	discoveryAddress         = "127.0.0.1:8500"
	rolloutControllerAddress = "127.0.0.1:6400"
	firstEndpointAddress     = "127.0.0.1:6401"
	secondEndpointAddress    = "127.0.0.1:6402"
)

const (
	endpointList = `{"revision":1,"complete":true,"members":[
{"id":"s-1","host_port":"` + firstEndpointAddress + `","locality":"north","flavor":"std","cell":0,"phase":"up","size":4.0,"up_since_ms":0,"build":1},
{"id":"s-2","host_port":"` + secondEndpointAddress + `","locality":"north","flavor":"std","cell":0,"phase":"up","size":4.0,"up_since_ms":0,"build":1}]}`
	unchangedList  = `{"revision":1,"complete":false,"members":[]}`
	listRevision   = "1"
	listenResponse = `{"jsonrpc":"2.0","id":1,"result":true}`
	rolloutStatus  = `{"jsonrpc":"2.0","method":"news","params":{"release":1,"tranche":0,"mode":"live","exposure":1,"old_ms":0}}`
	heartbeat      = `{"jsonrpc":"2.0","method":"ping"}`
)

const heartbeatPeriod = time.Second

func main() {
	if len(os.Args) == 3 && os.Args[1] == "ask" {
		answer, err := ask(os.Args[2])
		if err != nil {
			log.Fatal(err)
		}
		fmt.Print(answer)
		return
	}
	log.Fatal(serve())
}

// serve runs all stand-ins until one of them fails.
func serve() error {
	failed := make(chan error, 4)
	for _, address := range []string{firstEndpointAddress, secondEndpointAddress} {
		go func() { failed <- redcon.ListenAndServe(address, endpointHandler(address), nil, nil) }()
	}
	go func() { failed <- http.ListenAndServe(discoveryAddress, http.HandlerFunc(serveDiscovery)) }()
	go func() { failed <- serveRolloutController() }()
	return <-failed
}

// endpointHandler answers every request with the endpoint's address and the request's key; a key "fail" fails.
func endpointHandler(address string) func(redcon.Conn, redcon.Command) {
	return func(conn redcon.Conn, request redcon.Command) {
		if len(request.Args) < 4 {
			conn.WriteError("SYNTAX")
			return
		}
		log.Printf("%s runs %s", address, bytes.Join(request.Args, []byte(" ")))
		key := string(request.Args[1])
		if key == "fail" {
			conn.WriteError("ERR failed utilization=0.10")
			return
		}
		conn.WriteArray(3)
		conn.WriteBulkString(key + " from " + address)
		conn.WriteNull()
		conn.WriteBulkString("utilization=0.10")
	}
}

// serveDiscovery answers with the endpoint list or, as nothing ever changes, with no change after the wait that was asked
// for.
func serveDiscovery(out http.ResponseWriter, in *http.Request) {
	query := in.URL.Query()
	if query.Get("after") != listRevision {
		io.WriteString(out, endpointList)
		return
	}
	milliseconds, _ := strconv.Atoi(query.Get("wait_ms")) // no number is no wait
	select {
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
		io.WriteString(out, unchangedList)
	case <-in.Context().Done():
	}
}

// serveRolloutController accepts gateways until that fails.
func serveRolloutController() error {
	listener, err := net.Listen("tcp", rolloutControllerAddress)
	if err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go sendRolloutStatus(conn)
	}
}

// sendRolloutStatus sends a gateway that listens the status of the only build, released, and then sends heartbeats until the
// gateway has gone.
func sendRolloutStatus(conn net.Conn) {
	defer conn.Close()
	if !bufio.NewScanner(conn).Scan() {
		return
	}
	fmt.Fprintf(conn, "%s\n%s\n", listenResponse, rolloutStatus)
	for {
		time.Sleep(heartbeatPeriod)
		if _, err := fmt.Fprintln(conn, heartbeat); err != nil {
			return
		}
	}
}

// ask sends the gateway one read and returns its answer: the value, or the line of an error.
func ask(key string) (string, error) {
	conn, err := net.Dial("tcp", gatewayAddress)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	request := redcon.AppendArray(nil, 4)
	for _, word := range []string{"API.READ", key, "request-1", "c=read,d=1000"} {
		request = redcon.AppendBulkString(request, word)
	}
	if _, err := conn.Write(request); err != nil {
		return "", err
	}
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err == nil && line[0] == '$' { // the value is the next line
		line, err = in.ReadString('\n')
	}
	return line, err
}
