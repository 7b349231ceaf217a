package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"laurelring/internal/gatewaytest"
	"laurelring/internal/store"
	"laurelring/internal/tuftest"
)

// signedBuild is the target whose signature verifies build 1.
const signedBuild = "builds/1.json"

// writeOperatorFile writes an operator's file for signed metadata and the initial root that it names. It returns the
// paths of the operator's file and of the store.
func writeOperatorFile(t *testing.T, repository *tuftest.Repository, mirror, more string) (path, storePath string) {
	t.Helper()
	folder := t.TempDir()
	path = filepath.Join(folder, "trust.json")
	text := fmt.Sprintf(`{"root":"root.json","store":"kept","mirrors":[%q],"refresh_every_ms":1000,%s"builds":"builds/{build}.json"}`,
		mirror, more)
	for name, content := range map[string][]byte{filepath.Join(folder, "root.json"): repository.InitialRoot(), path: []byte(text)} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path, filepath.Join(folder, "kept")
}

// If the operator requires verified builds, a build whose target is not signed gets no requests: they are rejected in
// time, with a Retry-After. Once the target is signed, the build gets requests, also while the mirrors fail.
func TestUnverifiedBuildGetsNoRequests(t *testing.T) {
	repository := tuftest.NewRepository(true, time.Now)
	mirror := tuftest.NewMirror(repository.Files)
	defer mirror.Close()
	operatorFile, storePath := writeOperatorFile(t, repository, mirror.URL, `"stall_ms":200,`)
	t.Setenv("RELAY_TRUST", operatorFile)
	gateway := startGateway(t, 1024)
	time.Sleep(300 * time.Millisecond)
	got := gateway.ask(time.Second, gatewaytest.WriteRequest("a", "x"))
	if requests := gateway.endpoint.Requests(); !strings.HasPrefix(got, "-BUSY ") || requests > 0 {
		t.Errorf("unsigned build: got %q and %d requests to the endpoint, want -BUSY and none", got, requests)
	}
	repository.AddTarget(metadata.TARGETS, signedBuild, []byte("{}"), 0)
	repository.Publish()
	mirror.SetFiles(repository.Files)
	published := time.Now()
	for gateway.ask(time.Second, gatewaytest.WriteRequest("a", "x")) != "$1\r\nx\r\n" {
		if time.Since(published) > 10*time.Second {
			t.Fatal("build got no requests within 10 s after its target was signed")
		}
	}
	mirror.SetFault(tuftest.StallAfter(0))
	time.Sleep(1500 * time.Millisecond)
	if got := gateway.ask(time.Second, gatewaytest.WriteRequest("a", "x")); got != "$1\r\nx\r\n" {
		t.Errorf("request while the mirrors fail: got %q, want its value", got)
	}
	gateway.shutdown <- syscall.SIGTERM
	gateway.awaitShutdown(10 * time.Second)
	if stored, err := store.Open(storePath); err != nil || len(stored.Records()) == 0 {
		t.Errorf("store after shutdown: got error %v or no records, want records", err)
	} else {
		stored.Close()
	}
	// The gateway does not start with an invalid operator's file.
	if err := os.WriteFile(operatorFile, []byte(`{"root":"root.json"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	err := run([]byte(gateway.configurationText()), nil, nil, nil)
	if err == nil || !strings.Contains(err.Error(), `field "mirrors": is missing`) {
		t.Errorf("invalid operator's file: got error %v, want one that names the missing field", err)
	}
}

// Number of clients in TestMetadataRefreshUnderLoad, and of requests from each.
const (
	loadClients       = 24
	requestsPerClient = 100
)

// Under load, while the metadata is refreshed every second, no request is lost or late and the refreshes continue. The
// test logs the latencies and allocations with and without refreshes.
func TestMetadataRefreshUnderLoad(t *testing.T) {
	repository := tuftest.NewRepository(true, time.Now)
	repository.AddTarget(metadata.TARGETS, signedBuild, []byte("{}"), 0)
	repository.Publish()
	mirror := tuftest.NewMirror(repository.Files)
	defer mirror.Close()
	withMetadata, _ := writeOperatorFile(t, repository, mirror.URL, "")
	for _, operatorFile := range []string{"", withMetadata} {
		t.Setenv("RELAY_TRUST", operatorFile)
		gateway := startGateway(t, 1024)
		time.Sleep(400 * time.Millisecond)
		mirrorRequests := mirror.Requests.Load()
		latencies, allocations := loadGateway(t, gateway)
		mirrorRequests = mirror.Requests.Load() - mirrorRequests
		count := len(latencies)
		if count != loadClients*requestsPerClient {
			t.Errorf("got answers to %d requests, want %d", count, loadClients*requestsPerClient)
			continue
		}
		t.Logf("metadata refreshed: %t; %d requests: p50 %v, p99 %v, %d allocations a request; %d requests to the mirror",
			operatorFile != "", count, latencies[count/2].Round(time.Microsecond),
			latencies[count*99/100].Round(time.Microsecond), allocations/uint64(count), mirrorRequests)
		if operatorFile != "" && mirrorRequests < 2 {
			t.Error("metadata was not refreshed under load")
		}
		gateway.shutdown <- syscall.SIGTERM
		gateway.awaitShutdown(10 * time.Second)
	}
}

// loadGateway sends the requests of all clients to a gateway. It returns the latencies of the answered requests in
// ascending order, and the number of allocations of this process during the load.
func loadGateway(t *testing.T, gateway *testGateway) (latencies []time.Duration, allocations uint64) {
	t.Helper()
	answered := make(chan time.Duration, loadClients*requestsPerClient)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var clients sync.WaitGroup
	for range loadClients {
		clients.Go(func() { sendReads(t, gateway, answered) })
	}
	clients.Wait()
	close(answered)
	runtime.ReadMemStats(&after)
	for latency := range answered {
		latencies = append(latencies, latency)
	}
	slices.Sort(latencies)
	return latencies, after.Mallocs - before.Mallocs
}

// sendReads sends the reads of one client one after the other and passes on the latency of each answered read.
func sendReads(t *testing.T, gateway *testGateway, answered chan<- time.Duration) {
	conn, err := net.Dial("tcp", gateway.address)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for range requestsPerClient {
		request := gatewaytest.EncodeRequest(gatewaytest.ReadRequest("a"))
		sent := time.Now()
		conn.Write(request)
		conn.SetReadDeadline(sent.Add(2 * time.Second))
		line, err := in.ReadString('\n')
		if err != nil || line[0] == '-' && !strings.HasPrefix(line, "-BUSY") {
			t.Errorf("got answer %q and error %v, want a value or -BUSY", line, err)
			return
		}
		if line[0] == '$' {
			in.ReadString('\n')
		}
		answered <- time.Since(sent)
		time.Sleep(40 * time.Millisecond)
	}
}
