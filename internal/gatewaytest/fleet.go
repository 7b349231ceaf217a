package gatewaytest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/renameio/v2"
)

// gatewayProcessVariable is the environment variable that makes a test binary run as a gateway, because a fleet
// consists of real processes.
const gatewayProcessVariable = "LAURELRING_TEST_GATEWAY"

// IsGatewayProcess reports whether this test binary was started as a gateway of a Fleet. If so, TestMain must run the
// gateway's main function instead of the tests. The process exits when the test process that started it ends for
// whatever reason. An orphaned gateway would keep calling ports that other tests reserve later.
func IsGatewayProcess() bool {
	if os.Getenv(gatewayProcessVariable) == "" {
		return false
	}
	go func() {
		io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	return true
}

const (
	requestInterval = 40 * time.Millisecond   // between a response and the next request of a client
	responseTimeout = 1600 * time.Millisecond // of a client, longer than the deadline of its requests
	startTimeout    = 10 * time.Second        // for all gateways to serve requests
)

// Fleet is a set of gateways, each in its own process, with one client per gateway.
type Fleet struct {
	Rollout *RolloutController

	t              *testing.T
	addresses      []string // listen addresses for clients, by gateway
	configurations []string // paths of the configuration files, by gateway
	processes      []*gatewayProcess

	mu     sync.Mutex
	served map[int]bool // contains the gateways that have served a request
}

// NewFleet prepares gateways with the given initial endpoint list, with or without messages between them. Start starts
// their processes.
func NewFleet(t *testing.T, gateways int, discovery string, records []EndpointRecord, messages bool) *Fleet {
	t.Helper()
	f := &Fleet{t: t, served: map[int]bool{}}
	var rollout string
	f.Rollout, rollout = NewRolloutController(t)
	var peers []string
	for range gateways {
		address := ReserveAddress(t) // for both the TCP listener for clients and the UDP socket for peers
		f.addresses, peers = append(f.addresses, address), append(peers, address)
	}
	folder := t.TempDir()
	for rank := range gateways {
		configuration := Configuration{Name: fmt.Sprintf("n%d", rank), Listen: f.addresses[rank], Discovery: discovery,
			RolloutController: rollout, Seed: uint64(rank + 1), Descriptors: 256, Endpoints: records,
			Settings: FleetSettings(rank, gateways, messages)}
		if messages {
			configuration.PeerListen, configuration.Peers = peers[rank], peers
		}
		path := filepath.Join(folder, fmt.Sprintf("n%d.json", rank))
		if err := os.WriteFile(path, []byte(configuration.Text()), 0o600); err != nil {
			t.Fatal(err)
		}
		f.configurations = append(f.configurations, path)
	}
	return f
}

// gatewayProcess is the process of one gateway, from its start until it has ended.
type gatewayProcess struct {
	command      *exec.Cmd
	startedAt    time.Time
	stdin        io.Closer     // the gateway exits when this is closed, also by the end of the test process
	done         chan struct{} // closed when the process has ended
	endedAt      time.Time     // when Wait returned; set before done is closed
	err          error         // the result of Wait; set before done is closed
	exitExpected atomic.Bool   // SIGTERM or SIGKILL was sent
}

// Start starts the processes and one client per gateway. The processes are killed when the test ends.
func (f *Fleet) Start(ctx context.Context) {
	f.t.Helper()
	f.processes = make([]*gatewayProcess, len(f.configurations))
	for gateway := range f.configurations {
		f.startProcess(gateway)
		f.t.Cleanup(func() {
			f.Signal(gateway, syscall.SIGKILL)
			f.AwaitEnd(gateway)
		})
		go f.RunClient(ctx, gateway)
	}
}

// startProcess starts the process of one gateway, which appends to the gateway's log file.
func (f *Fleet) startProcess(gateway int) {
	f.t.Helper()
	path := f.configurations[gateway]
	log, err := os.OpenFile(logPath(path), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), gatewayProcessVariable+"=1", "RELAY_CONFIG="+path)
	command.Stderr = log
	stdin, err := command.StdinPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	process := &gatewayProcess{command: command, startedAt: time.Now(), stdin: stdin, done: make(chan struct{})}
	f.processes[gateway] = process
	go func() {
		process.err = command.Wait()
		process.endedAt = time.Now()
		log.Close()
		close(process.done)
	}()
}

// AwaitEnd waits until a gateway's process has ended. It fails the test if the process ended without SIGTERM or
// SIGKILL, or ended with an error other than being killed. It returns the time at which the end was observed. All
// connections of the process are closed by then.
func (f *Fleet) AwaitEnd(gateway int) time.Time {
	process := f.processes[gateway]
	<-process.done
	killed := process.err != nil && process.err.Error() == "signal: killed"
	if !process.exitExpected.Load() || process.err != nil && !killed {
		f.t.Errorf("gateway %d exited unexpectedly: %v", gateway, process.err)
	}
	return process.endedAt
}

// StartedAt returns when a gateway's process was last started.
func (f *Fleet) StartedAt(gateway int) time.Time { return f.processes[gateway].startedAt }

// AwaitReady waits until a gateway answers PING.
func (f *Fleet) AwaitReady(gateway int) {
	f.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if Ping(f.addresses[gateway], time.Until(end)) {
			return
		}
	}
	f.t.Fatalf("gateway %d did not become ready in time", gateway)
}

// Restart waits until a gateway's process has ended and starts a new one at the same addresses.
func (f *Fleet) Restart(gateway int) {
	f.t.Helper()
	f.AwaitEnd(gateway)
	f.startProcess(gateway)
}

// Signal sends a signal to the process of one gateway, unless the process has already ended.
func (f *Fleet) Signal(gateway int, signal syscall.Signal) {
	process := f.processes[gateway]
	select {
	case <-process.done:
		return
	default:
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		process.exitExpected.Store(true)
	}
	process.command.Process.Signal(signal)
}

// Address returns the address at which a gateway listens for clients.
func (f *Fleet) Address(gateway int) string { return f.addresses[gateway] }

// SetDiscoveryAddress writes another address of discovery to a gateway's configuration file. The gateway reads the file
// again on SIGHUP.
func (f *Fleet) SetDiscoveryAddress(gateway int, address string) {
	f.t.Helper()
	f.changeConfiguration(gateway, func(text string) string { return WithAddress(text, "discovery", address) })
}

// SetConfiguredStatus replaces ReleasedStatus, the initial rollout status in a gateway's configuration file, by another
// status.
func (f *Fleet) SetConfiguredStatus(gateway int, status string) {
	f.t.Helper()
	f.changeConfiguration(gateway, func(text string) string { return strings.Replace(text, ReleasedStatus, status, 1) })
}

func (f *Fleet) changeConfiguration(gateway int, change func(text string) string) {
	f.t.Helper()
	path := f.configurations[gateway]
	text, err := os.ReadFile(path)
	if err == nil {
		err = renameio.WriteFile(path, []byte(change(string(text))), 0o600)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

// RunClient sends read requests to a gateway, one after the other, until the context ends.
func (f *Fleet) RunClient(ctx context.Context, gateway int) {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", f.addresses[gateway])
		if err != nil {
			time.Sleep(requestInterval)
			continue
		}
		for in := bufio.NewReader(conn); ctx.Err() == nil; time.Sleep(requestInterval) {
			conn.SetReadDeadline(time.Now().Add(responseTimeout))
			conn.Write(EncodeRequest(ReadRequest("key")))
			line, err := in.ReadString('\n')
			served := err == nil && strings.HasPrefix(line, "$")
			if served {
				_, err = io.CopyN(io.Discard, in, int64(len("key\r\n")))
			}
			if err != nil {
				break
			}
			if served {
				f.mu.Lock()
				f.served[gateway] = true
				f.mu.Unlock()
			}
		}
		conn.Close()
	}
}

// AwaitServing waits until each gateway has served a request.
func (f *Fleet) AwaitServing() {
	f.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		count := len(f.served)
		f.mu.Unlock()
		if count == len(f.addresses) {
			return
		}
	}
	f.t.Fatal("not all gateways served a request in time")
}

// LogIfFailed adds the logs of the given number of gateways, from the first on, to the test's log if the test has
// failed.
func (f *Fleet) LogIfFailed(gateways int) {
	if !f.t.Failed() {
		return
	}
	for _, path := range f.configurations[:gateways] {
		text, _ := os.ReadFile(logPath(path))
		f.t.Logf("%s", strings.TrimSpace(string(text)))
	}
}

// logPath returns the path of a gateway's log file, given the path of its configuration file.
func logPath(configuration string) string { return configuration + ".log" }
