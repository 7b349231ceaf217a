package tuf

import (
	"context"
	"testing"
	"time"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/store"
	"laurelring/internal/verifiedmetadata"
)

// Guards against blaming mirrors for storage errors. A target that could not be written, for example on a full disk,
// counted as a failure of the mirror that delivered it: the mirror went into backoff and the file was requested from
// the next one, until no mirror was available. The test then saw three mirrors in backoff with the outcome "bad".
func TestStorageErrorCausesNoMirrorBackoff(t *testing.T) {
	f := newFixture(t, true)
	f.folder = t.TempDir()
	f.repo.AddTarget("targets", "plain", targetBody, 0)
	f.repo.Publish()
	f.syncMirrors()
	c := f.newClient(1)
	if got := f.refresh(c); got != verifiedmetadata.ReasonNone {
		t.Fatal(got)
	}
	usage := Usage{}
	target, err := c.FindTarget(context.Background(), "plain", time.Second, &usage)
	if err != nil {
		t.Fatal(err)
	}
	fetch := c.mirrors.NewFetch(target.Length, c.elapsed()+2*time.Second)
	// The writer has no file, so the destination's begin fails.
	d := &download{client: c, fetch: fetch, path: targetsFolder + target.MirrorName,
		destination: newTargetContents(target, store.Discard(), fetch), usage: &usage}
	before := usage.Attempts
	if outcome := d.run(context.Background()); outcome != mirrorpool.OutcomeCanceled || d.storageErr == nil {
		t.Errorf("fetch ended with outcome %v and storage error %v, want canceled with a storage error", outcome, d.storageErr)
	}
	if attempts := usage.Attempts - before; attempts != 1 {
		t.Errorf("got %d attempts, want 1", attempts)
	}
	for _, mirror := range c.Status().Mirrors {
		if mirror.Backoff > 0 || mirror.Failed > 0 {
			t.Errorf("mirror %s has a backoff or a failure, last outcome %q", mirror.Name, mirror.LastOutcome)
		}
	}
}

// Guards against a status that showed a draining mirror as in use until the first fetch: the draining mirrors were
// passed to the pool only when a fetch asked for its next step.
func TestStatusShowsDrainingMirrorBeforeFirstFetch(t *testing.T) {
	f := newFixture(t, true)
	c := f.newClient(1)
	c.SetDraining([]string{f.mirrors[1].URL})
	for i, mirror := range c.Status().Mirrors {
		if draining := mirror.Name == f.mirrors[1].URL; mirror.Draining != draining {
			t.Errorf("mirror %d: got draining %t, want %t", i, mirror.Draining, draining)
		}
	}
}
