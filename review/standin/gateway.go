package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is one gateway process, started with the run command of the deploy file.
type gateway struct {
	number     int
	listen     string
	peerListen string
	folder     string
	record     *record
	process    *exec.Cmd
	ended      chan error
	startedAt  time.Time
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer conn.Close()
		return conn.LocalAddr().String(), nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func newGateway(number int, folder string, rec *record) (*gateway, error) {
	g := &gateway{number: number, folder: folder, record: rec}
	var err error
	if g.listen, err = freeAddress("tcp"); err != nil {
		return nil, err
	}
	g.peerListen, err = freeAddress("udp")
	return g, err
}

// configuration is what the gateways of a case are told, apart from what differs from one to the next.
type configuration struct {
	settings   map[string]any
	memoryMB   int
	sockets    int
	discovery  *discovery
	controller *controller
	gateways   []*gateway
}

// write writes a gateway's configuration file. known is the list as it last held it.
func (c *configuration) write(g *gateway, known string) error {
	var peers []string
	for _, other := range c.gateways {
		peers = append(peers, other.peerListen)
	}
	settings := map[string]any{}
	for name, value := range c.settings {
		settings[name] = value
	}
	settings["rank"], settings["balancers"] = g.number, len(c.gateways)
	c.controller.mu.Lock()
	news := c.controller.state()
	c.controller.mu.Unlock()
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", g.number), "listen": g.listen, "discovery": c.discovery.addresses[g.number],
		"seed":        fmt.Sprintf("%016x", uint64(time.Now().UnixNano())*0x9e3779b97f4a7c15),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"peer_listen": g.peerListen, "peers": peers,
		"pipeline": map[string]any{"address": c.controller.address, "news": news},
		"known":    json.RawMessage(known),
		"settings": settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(g.configFile(), text, 0o600)
}

func (g *gateway) configFile() string {
	return filepath.Join(g.folder, fmt.Sprintf("gateway-%d.json", g.number))
}

// start starts the process and waits until it answers PING.
func (g *gateway) start(discoveryAddress string) error {
	g.process = exec.Command("/bin/sh", "-c", os.Getenv("RUN"))
	g.process.Dir = os.Getenv("ROOT")
	g.process.Env = append(os.Environ(), "RELAY_CONFIG="+g.configFile(), "RELAY_NAME="+fmt.Sprintf("n%d", g.number),
		"RELAY_LISTEN="+g.listen, "RELAY_DISCOVERY="+discoveryAddress)
	log, err := os.OpenFile(filepath.Join(g.folder, fmt.Sprintf("gateway-%d.log", g.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.process.Stdout, g.process.Stderr = log, log
	g.startedAt = time.Now()
	if err := g.process.Start(); err != nil {
		return err
	}
	if pids, err := os.OpenFile(filepath.Join(g.folder, "pids"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
		fmt.Fprintln(pids, g.process.Process.Pid) // run.sh ends what this program may leave behind
		pids.Close()
	}
	g.ended = make(chan error, 1)
	process, ended := g.process, g.ended
	go func() { ended <- process.Wait() }()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if g.pong() {
			g.record.say("gateway %d is ready %d ms after its start", g.number, time.Since(g.startedAt).Milliseconds())
			return nil
		}
		select {
		case err := <-g.ended:
			return fmt.Errorf("gateway %d ended: %v", g.number, err)
		default:
		}
	}
	return fmt.Errorf("gateway %d is not ready", g.number)
}

func (g *gateway) pong() bool {
	conn, err := net.DialTimeout("tcp", g.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "PING\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.HasPrefix(line, "+PONG")
}

// signal sends a signal to the process.
func (g *gateway) signal(signal syscall.Signal) {
	g.record.now("gateway %d gets signal %v", g.number, signal)
	g.process.Process.Signal(signal)
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	if g.process == nil || g.process.Process == nil {
		return
	}
	g.process.Process.Signal(syscall.SIGCONT)
	g.process.Process.Kill()
	select {
	case <-g.ended:
	case <-time.After(2 * time.Second):
	}
	g.process = nil
}
