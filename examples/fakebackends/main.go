// Command fakebackends runs fakes of all services that a gateway connects to, so that a single gateway can be tried out
// without them: two endpoints, discovery and the rollout controller, at the addresses of examples/gateway.json. With
// the arguments "ask KEY" it acts as a client instead: it sends the gateway one read request and prints the response.
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

// Addresses of the gateway and its backends, as in examples/gateway.json.
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
		response, err := sendRead(os.Args[2])
		if err != nil {
			log.Fatal(err)
		}
		fmt.Print(response)
		return
	}
	log.Fatal(serve())
}

// serve runs all fake backends until one of them fails.
func serve() error {
	errs := make(chan error, 4)
	for _, address := range []string{firstEndpointAddress, secondEndpointAddress} {
		go func() { errs <- redcon.ListenAndServe(address, endpointHandler(address), nil, nil) }()
	}
	go func() { errs <- http.ListenAndServe(discoveryAddress, http.HandlerFunc(serveDiscovery)) }()
	go func() { errs <- serveRolloutController() }()
	return <-errs
}

// endpointHandler returns a handler that answers each request with its key and the endpoint's address. Requests with
// the key "fail" fail.
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

// serveDiscovery answers with the endpoint list. To a caller that already has the list, it reports no change after the
// requested wait, because the list never changes.
func serveDiscovery(out http.ResponseWriter, in *http.Request) {
	query := in.URL.Query()
	if query.Get("after") != listRevision {
		io.WriteString(out, endpointList)
		return
	}
	milliseconds, _ := strconv.Atoi(query.Get("wait_ms")) // without a valid number there is no wait
	select {
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
		io.WriteString(out, unchangedList)
	case <-in.Context().Done():
	}
}

// serveRolloutController accepts connections of gateways until accepting fails.
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

// sendRolloutStatus waits for a gateway's listen request, sends the status of the only build, which is released, and
// then sends heartbeats until the connection ends.
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

// sendRead sends the gateway one read request and returns its response: the value, or the error line.
func sendRead(key string) (string, error) {
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
