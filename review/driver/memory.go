package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryLimitMB = 64
	largeClients  = 500
	largeBody     = 64 << 10
	memorySpan    = 8 * time.Second
	memoryRate    = 40.0 // requests a second
)

// playMemory plays clients that stop in the middle of a request and stay, with values of the largest size: each sends
// one whole request and most of the next. The platform ends a gateway whose memory goes over its limit.
func playMemory(w *world) (held bool, err error) {
	for i := range 8 {
		w.newEndpoint(fmt.Sprintf("s-%d", i), 4, 70*time.Millisecond)
	}
	g := w.newGateway(func(config, _ object) {
		config["limits"] = object{"cores": 1.0, "memory_mb": memoryLimitMB, "sockets": 1024}
	})
	if err := g.start(); err != nil {
		return false, err
	}
	var peak atomic.Int64
	var over atomic.Bool
	go func() { // as the platform
		for range time.Tick(5 * time.Millisecond) {
			used := privateMemory(g.command.Process.Pid)
			if used > peak.Load() {
				peak.Store(used)
				w.note("the gateway's private memory: %d kB", used)
			}
			if used > memoryLimitMB<<10 && over.CompareAndSwap(false, true) {
				w.say("platform: %d kB of private memory are over the limit of %d MB, the gateway is killed", used, memoryLimitMB)
				g.command.Process.Kill()
				return
			}
		}
	}()
	usual := w.newClients(g)
	if troubled() {
		time.AfterFunc(2*time.Second, func() {
			w.note("%d clients connect, send one request and most of the next and stay", largeClients)
			for range largeClients {
				go func() {
					conn, err := net.Dial("tcp", g.address)
					if err != nil {
						return
					}
					defer conn.Close()
					large := request{id: newID(), class: "diet-booking", key: "court", write: true, deadline: 1500 * time.Millisecond, body: largeBody}
					next := large
					next.id = newID()
					text := next.encode()
					go io.Copy(io.Discard, conn)
					conn.Write(append(large.encode(), text[:len(text)-100]...))
					time.Sleep(memorySpan)
				}()
			}
		})
	}
	usual.sendMixed(memorySpan, memoryRate)
	w.say("%d requests: %v; most private memory %d kB of %d; running: %v", len(usual.results), usual.counts(), peak.Load(),
		memoryLimitMB<<10, g.running())
	if peak.Load() == 0 {
		return false, fmt.Errorf("the memory could not be read")
	}
	return !over.Load() && g.running(), nil
}

// privateMemory returns the private memory of a process in kB, without the pages of files.
func privateMemory(pid int) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return kb
		}
	}
	return 0
}
