package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// world holds all parties of a case and the record of what they have seen.
type world struct {
	started time.Time
	folder  string // temporary

	mu        sync.Mutex
	record    *os.File
	lines     *bufio.Writer
	arrivals  map[string][]arrival // by request id
	runs      map[string][]string  // by request id, the instances that have begun it
	endpoints []*endpoint
	gateways  []*gatewayProcess
	closers   []func()

	discovery *discovery
	platform  *platform
}

// arrival is one request as an instance got it.
type arrival struct {
	at       time.Time // of the last byte
	endpoint string
	told     int // the time that it states, in milliseconds
}

func newWorld(path string) (*world, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	w := &world{started: time.Now(), folder: folder, record: record, lines: bufio.NewWriter(record),
		arrivals: map[string][]arrival{}, runs: map[string][]string{}}
	w.discovery = newDiscovery(w)
	w.platform = newPlatform(w)
	return w, nil
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.noteAt(time.Now(), format, args...)
}

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.lines, "%9.1f ms  "+format+"\n", append([]any{float64(at.Sub(w.started).Microseconds()) / 1000}, args...)...)
}

// say adds a line to the record and prints it.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (w *world) arrived(id string, a arrival) {
	w.mu.Lock()
	w.arrivals[id] = append(w.arrivals[id], a)
	w.mu.Unlock()
}

// began records that an instance has begun a request.
func (w *world) began(id, endpoint string) {
	w.mu.Lock()
	w.runs[id] = append(w.runs[id], endpoint)
	w.mu.Unlock()
}

func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, c := range w.closers {
		c()
	}
	w.mu.Lock()
	w.lines.Flush()
	w.record.Close()
	w.mu.Unlock()
	os.RemoveAll(w.folder)
}

// listen opens a listener on a free loopback port.
func (w *world) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w.closers = append(w.closers, func() { listener.Close() })
	return listener
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// gatewayProcess is a gateway, started by the deploy file's run command.
type gatewayProcess struct {
	w       *world
	address string
	config  string // path
	logPath string
	command *exec.Cmd
	exited  chan struct{}
}

// object is a JSON object.
type object = map[string]any

// newGateway writes the configuration of a gateway. The settings are changed by edit.
func (w *world) newGateway(edit func(config, settings object)) *gatewayProcess {
	g := &gatewayProcess{w: w, address: freeAddress(),
		config:  filepath.Join(w.folder, fmt.Sprintf("gateway-%d.json", len(w.gateways))),
		logPath: filepath.Join(w.folder, fmt.Sprintf("gateway-%d.log", len(w.gateways)))}
	w.gateways = append(w.gateways, g)
	settings := object{
		"rank": 0, "balancers": 1, "locality": 0, "period_ms": 5,
		"areas": []string{"leith", "sighthill"}, "host_types": []string{"std-4"}, "orgs": []any{},
		"lanes": []object{
			{"name": "roll-read", "aim_ms": 500, "give_up_ms": 2000, "gain": 1, "late_worth": 0.2, "repeat": "repeatable"},
			{"name": "diet-booking", "aim_ms": 500, "give_up_ms": 1500, "gain": 3, "late_worth": 0, "repeat": "once"},
		},
		"limits": object{"max_attempts": 5, "may_cancel": true, "retry_after": true, "max_retry_after_ms": 500,
			"peer_messages": true, "probes": true, "second_copies": false, "connect_timeout_ms": 250, "idle_close_ms": 30000},
		"prices": object{"cross_zone": 0.04},
		"invariants": object{"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": 0.31, "cold_ms": 4400,
			"drain_grace_ms": 1000, "fall_ms": 3000, "fall_multiple": 2},
		"registry_mode": "ask",
		"family_info": object{"window_ms": 4000, "allowance": 3, "per": "all", "closed_stages": 0, "one_way": false,
			"exposure_caps": []float64{0.048, 0.12, 0.3, 0.66, 1}, "steps": []float64{0.04, 0.1, 0.25, 0.55, 1},
			"decided_by": "share", "ayes_needed": 2, "votes_to_revert": 1, "vote_ttl_ms": 6000, "api_timeout_ms": 2000,
			"least_stage_ms": 3000, "news_period_ms": 2000, "lag_fee": 0.3, "damage_price": 8},
		"feedback": object{"how": "inline", "fields": []string{"utilization"}},
	}
	config := object{
		"name": "n0", "listen": g.address, "discovery": w.discovery.address, "seed": "8c1f30d27a5be964",
		"limits":      object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": freeAddress(),
		"pipeline":    object{"address": w.platform.address, "news": w.platform.news()},
		"known":       w.discovery.whole(),
		"settings":    settings,
	}
	config["peers"] = []any{config["peer_listen"]}
	if edit != nil {
		edit(config, settings)
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(g.config, text, 0o600); err != nil {
		panic(err)
	}
	return g
}

var runCommand = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// start starts the process from the root of the repository and waits until it answers a PING.
func (g *gatewayProcess) start() error {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return err
	}
	match := runCommand.FindSubmatch(deploy)
	if match == nil {
		return fmt.Errorf("no run command in the deploy file")
	}
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.command = exec.Command("/bin/sh", "-c", string(match[1]))
	g.command.Env = append(os.Environ(), "RELAY_CONFIG="+g.config, "TMPDIR="+g.w.folder)
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	command := g.command
	go func() { command.Wait(); close(exited) }()
	g.w.note("gateway started at %s, process %d", g.address, g.command.Process.Pid)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ping(g.address) {
			g.w.note("gateway ready")
			return nil
		}
		select {
		case <-exited:
			text, _ := os.ReadFile(g.logPath)
			return fmt.Errorf("gateway ended: %s", text)
		default:
		}
	}
	return fmt.Errorf("gateway not ready within 10 s")
}

func ping(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("*1\r\n$4\r\nPING\r\n")); err != nil {
		return false
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == "+PONG\r\n"
}

// running reports whether the process has not ended.
func (g *gatewayProcess) running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// kill ends the process at once.
func (g *gatewayProcess) kill() {
	if g.exited == nil {
		return
	}
	g.command.Process.Kill()
	<-g.exited
}
