// Command fakebackends stands in for everything that a gateway reaches, so that one can be tried alone: two instances,
// discovery and the platform, at the addresses of examples/gateway.json. With "ask KEY" it is a client instead,
// which sends the gateway one read and prints the answer.
package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

const (
	gateway   = "127.0.0.1:6379"
	discovery = "127.0.0.1:8500"
	platform  = "127.0.0.1:6400"
	members   = `{"revision":1,"complete":true,"members":[
{"id":"s-1","host_port":"127.0.0.1:6401","locality":"north","flavor":"std","cell":0,"phase":"up","size":4.0,"up_since_ms":0,"build":1},
{"id":"s-2","host_port":"127.0.0.1:6402","locality":"north","flavor":"std","cell":0,"phase":"up","size":4.0,"up_since_ms":0,"build":1}]}`
	news = `{"jsonrpc":"2.0","method":"news","params":{"release":1,"tranche":0,"mode":"live","exposure":1,"old_ms":0}}`
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "ask" {
		ask(os.Args[2])
		return
	}
	for _, address := range []string{"127.0.0.1:6401", "127.0.0.1:6402"} {
		go func() { log.Fatal(redcon.ListenAndServe(address, instance(address), nil, nil)) }()
	}
	go func() { log.Fatal(http.ListenAndServe(discovery, http.HandlerFunc(list))) }()
	log.Fatal(desk())
}

// instance answers every command with its own address and the command's key; a key "fail" fails.
func instance(address string) func(redcon.Conn, redcon.Command) {
	return func(conn redcon.Conn, cmd redcon.Command) {
		if len(cmd.Args) < 4 {
			conn.WriteError("SYNTAX")
			return
		}
		log.Printf("%s runs %s", address, strings.Join(words(cmd.Args), " "))
		if string(cmd.Args[1]) == "fail" {
			conn.WriteError("ERR failed utilization=0.10")
			return
		}
		conn.WriteArray(3)
		conn.WriteBulkString(fmt.Sprintf("%s from %s", cmd.Args[1], address))
		conn.WriteNull()
		conn.WriteBulkString("utilization=0.10")
	}
}

func words(args [][]byte) []string {
	var all []string
	for _, one := range args {
		all = append(all, string(one))
	}
	return all
}

// list answers with the list, or, as nothing ever changes, with no change after the wait that was asked for.
func list(out http.ResponseWriter, in *http.Request) {
	if in.URL.Query().Get("after") != "1" {
		io.WriteString(out, members)
		return
	}
	wait, _ := strconv.Atoi(in.URL.Query().Get("wait_ms"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
		io.WriteString(out, `{"revision":1,"complete":false,"members":[]}`)
	case <-in.Context().Done():
	}
}

// desk tells whoever listens that the only build is released, and gives a sign of life every second.
func desk() error {
	ln, err := net.Listen("tcp", platform)
	if err != nil {
		return err
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer conn.Close()
			if !bufio.NewScanner(conn).Scan() {
				return
			}
			fmt.Fprintf(conn, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n%s\n", news)
			for {
				time.Sleep(time.Second)
				if _, err := fmt.Fprintln(conn, `{"jsonrpc":"2.0","method":"ping"}`); err != nil {
					return
				}
			}
		}()
	}
}

// ask sends one read and prints the gateway's answer.
func ask(key string) {
	conn, err := net.Dial("tcp", gateway)
	if err != nil {
		log.Fatal(err)
	}
	defer conn.Close()
	b := redcon.AppendArray(nil, 4)
	for _, word := range []string{"API.READ", key, "request-1", "c=read,d=1000"} {
		b = redcon.AppendBulkString(b, word)
	}
	conn.Write(b)
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err == nil && line[0] == '$' {
		line, err = in.ReadString('\n')
	}
	if err != nil {
		log.Fatal(err)
	}
	fmt.Print(line)
}
