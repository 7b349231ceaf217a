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

// processVariable in the environment has a test program be a gateway: a fleet is made of real processes.
const processVariable = "LAURELRING_TEST_GATEWAY"

// IsGatewayProcess reports whether this test program was started as a gateway of a Fleet. TestMain then has to run the
// gateway's main function in place of the tests. The process ends with the test program that started it, however that ends:
// one left behind would go on calling ports that other tests get.
func IsGatewayProcess() bool {
	if os.Getenv(processVariable) == "" {
		return false
	}
	go func() {
		io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	return true
}

const (
	requestPeriod = 40 * time.Millisecond   // between two requests of a client
	answerWait    = 1600 * time.Millisecond // a client's, longer than the deadline of its requests
	fleetStart    = 10 * time.Second        // until all gateways serve
)

// Fleet is some gateways, each a process of its own, with a client at each.
type Fleet struct {
	Rollout *RolloutController

	t              *testing.T
	addresses      []string // where the gateways listen to clients
	configurations []string // files
	processes      []*gatewayProcess

	mu     sync.Mutex
	served map[int]bool // gateways that have served a request
}

// NewFleet makes gateways that start from the given endpoint list, with messages between them or without. Start starts
// them.
func NewFleet(t *testing.T, gateways int, discovery string, records []EndpointRecord, messages bool) *Fleet {
	t.Helper()
	f := &Fleet{t: t, served: map[int]bool{}}
	var rollout string
	f.Rollout, rollout = NewRolloutController(t)
	var peers []string
	for range gateways {
		address := ReserveAddress(t) // of the listener for clients and the socket for peers
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

// gatewayProcess is the process of one gateway.
type gatewayProcess struct {
	command     *exec.Cmd
	startedAt   time.Time
	lifeline    io.Closer     // the process ends as this is closed, as by the end of this one
	done        chan struct{} // closed once it has ended
	endedAt     time.Time     // once done is closed: when Wait returned
	err         error         // how it ended, once done is closed
	endExpected atomic.Bool   // a signal that ends it was sent
}

// Start starts the processes and a client at each. They are killed when the test ends.
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

// startProcess starts the process of one gateway, whose log goes behind what there is.
func (f *Fleet) startProcess(gateway int) {
	f.t.Helper()
	path := f.configurations[gateway]
	log, err := os.OpenFile(logPath(path), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), processVariable+"=1", "RELAY_CONFIG="+path)
	command.Stderr = log
	lifeline, err := command.StdinPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		f.t.Fatal(err)
	}
	process := &gatewayProcess{command: command, startedAt: time.Now(), lifeline: lifeline, done: make(chan struct{})}
	f.processes[gateway] = process
	go func() {
		process.err = command.Wait()
		process.endedAt = time.Now()
		log.Close()
		close(process.done)
	}()
}

// AwaitEnd waits until a gateway's process has ended, and fails the test where nobody asked it to, or where it did not
// end well after SIGTERM. It returns when the end was seen: all of the process's connections have ended by then.
func (f *Fleet) AwaitEnd(gateway int) time.Time {
	process := f.processes[gateway]
	<-process.done
	killed := process.err != nil && process.err.Error() == "signal: killed"
	if !process.endExpected.Load() || process.err != nil && !killed {
		f.t.Errorf("gateway %d ended by itself: %v", gateway, process.err)
	}
	return process.endedAt
}

// StartedAt is when a gateway's process was started last.
func (f *Fleet) StartedAt(gateway int) time.Time { return f.processes[gateway].startedAt }

// AwaitReady waits until a gateway answers PING.
func (f *Fleet) AwaitReady(gateway int) {
	f.t.Helper()
	for end := time.Now().Add(fleetStart); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if Ping(f.addresses[gateway], time.Until(end)) {
			return
		}
	}
	f.t.Fatalf("gateway %d is not ready", gateway)
}

// Restart starts a gateway's process again, at the same addresses, once the one before has ended.
func (f *Fleet) Restart(gateway int) {
	f.t.Helper()
	f.AwaitEnd(gateway)
	f.startProcess(gateway)
}

// Signal sends a signal to the process of one gateway. One that has ended by itself gets none.
func (f *Fleet) Signal(gateway int, signal syscall.Signal) {
	process := f.processes[gateway]
	select {
	case <-process.done:
		return
	default:
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		process.endExpected.Store(true)
	}
	process.command.Process.Signal(signal)
}

// Address is where a gateway listens to clients.
func (f *Fleet) Address(gateway int) string { return f.addresses[gateway] }

// SetDiscoveryAddress writes another address of discovery to a gateway's configuration file. SIGHUP has the gateway read it.
func (f *Fleet) SetDiscoveryAddress(gateway int, address string) {
	f.t.Helper()
	f.changeConfiguration(gateway, func(text string) string { return WithAddress(text, "discovery", address) })
}

// SetConfiguredStatus writes the rollout status that a gateway starts with to its configuration file.
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

// RunClient sends reads to a gateway, one after the other, until the context ends.
func (f *Fleet) RunClient(ctx context.Context, gateway int) {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", f.addresses[gateway])
		if err != nil {
			time.Sleep(requestPeriod)
			continue
		}
		for in := bufio.NewReader(conn); ctx.Err() == nil; time.Sleep(requestPeriod) {
			conn.SetReadDeadline(time.Now().Add(answerWait))
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

// AwaitServing waits until clients are answered at all gateways.
func (f *Fleet) AwaitServing() {
	f.t.Helper()
	for end := time.Now().Add(fleetStart); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		serving := len(f.served)
		f.mu.Unlock()
		if serving == len(f.addresses) {
			return
		}
	}
	f.t.Fatal("not all gateways serve")
}

// LogIfFailed adds the logs of the first gateways to the test's if it has failed.
func (f *Fleet) LogIfFailed(gateways int) {
	if !f.t.Failed() {
		return
	}
	for _, path := range f.configurations[:gateways] {
		text, _ := os.ReadFile(logPath(path))
		f.t.Logf("%s", strings.TrimSpace(string(text)))
	}
}

// logPath is where a gateway's log is, by the path of its configuration.
func logPath(configuration string) string { return configuration + ".log" }
