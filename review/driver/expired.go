package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"laurelring/internal/tuftest"
)

func init() { cases["expired"] = playExpired }

const (
	timestampLife   = 20 * time.Second // from its signing to its expiry
	timestampPeriod = 5 * time.Second  // between two signings
	mirrorStallsAt  = 12 * time.Second
	expiredSpan     = 75 * time.Second
	expiredRate     = 20.0 // requests a second
	expiredGrace    = 10 * time.Second
)

// playExpired plays a mirror that stalls in the middle of each file. Once the newest timestamp that it has delivered has
// expired, no build is verified any more, and instances must get no requests.
func playExpired(w *world) (held bool, err error) {
	repository := newSignedRepository(w)
	mirror := tuftest.NewMirror(repository.sign())
	w.closers = append(w.closers, mirror.Close)
	go func() {
		for range time.Tick(timestampPeriod) {
			mirror.SetFiles(repository.sign())
		}
	}()
	operatorFile := filepath.Join(w.folder, "trust.json")
	for name, text := range map[string][]byte{
		filepath.Join(w.folder, "root.json"): repository.InitialRoot(),
		operatorFile:                         fmt.Appendf(nil, `{"root":"root.json","mirrors":[%q],"refresh_every_ms":10000,"builds":"builds/{build}.json"}`, mirror.URL),
	} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			return false, err
		}
	}
	os.Setenv("RELAY_TRUST", operatorFile) // the gateway inherits it
	for i := range 4 {
		w.newEndpoint(fmt.Sprintf("s-%d", i), 4, 70*time.Millisecond)
	}
	g := w.newGateway(nil)
	if err := g.start(); err != nil {
		return false, err
	}
	if troubled() {
		time.AfterFunc(mirrorStallsAt, func() {
			mirror.SetFault(tuftest.StallAfter(50))
			w.note("the mirror stalls after 50 bytes of each file; what it has delivered expires by %s",
				repository.stop().Format("15:04:05"))
		})
	}
	usual := w.newClients(g)
	usual.sendMixed(expiredSpan, expiredRate)
	expires := repository.stop()
	last, late := w.arrivalsAfter(expires.Add(expiredGrace))
	w.say("%d requests: %v; all that the mirror delivered had expired %.1f s after the start; the last request reached an instance %.1f s after the start, %d over %v after the expiry",
		len(usual.results), usual.counts(), expires.Sub(w.started).Seconds(), last.Sub(w.started).Seconds(), late, expiredGrace)
	if usual.counts()["served"] < 100 {
		return false, fmt.Errorf("too few requests were served")
	}
	return late == 0, nil
}

// arrivalsAfter returns when the last request reached an instance, and how many did after a moment.
func (w *world) arrivalsAfter(moment time.Time) (last time.Time, count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, arrivals := range w.arrivals {
		for _, a := range arrivals {
			if a.at.After(last) {
				last = a.at
			}
			if a.at.After(moment) {
				count++
			}
		}
	}
	return last, count
}

// signedRepository is a repository that lists the target of build 1.
type signedRepository struct {
	*tuftest.Repository
	w *world

	mu      sync.Mutex
	expires time.Time // of the newest timestamp that was signed before stop
	stopped bool
}

func newSignedRepository(w *world) *signedRepository {
	r := &signedRepository{Repository: tuftest.NewRepository(true, time.Now), w: w}
	r.AddTarget(metadata.TARGETS, "builds/1.json", []byte("{}"), 0)
	r.Publish()
	return r
}

// sign signs a new timestamp and returns all files.
func (r *signedRepository) sign() map[string][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Timestamp.Signed.Version++
	r.Timestamp.Signed.Expires = time.Now().Add(timestampLife).UTC().Truncate(time.Second)
	r.Files["timestamp.json"] = tuftest.Sign(r.Timestamp, r.Keys[metadata.TIMESTAMP]...)
	if !r.stopped {
		r.expires = r.Timestamp.Signed.Expires
	}
	r.w.note("repository: timestamp %d expires at %s", r.Timestamp.Signed.Version, r.Timestamp.Signed.Expires.Format("15:04:05"))
	return maps.Clone(r.Files)
}

// stop returns when the newest timestamp expires that was signed before the first call of stop.
func (r *signedRepository) stop() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.expires
}
