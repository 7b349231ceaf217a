package tuf

import (
	"context"
	"testing"
	"time"

	"laurelring/internal/tuftest"
	"laurelring/internal/verifiedmetadata"
)

// One healthy mirror of three is sufficient, whatever fault the others have. The fetch of a target continues at another
// mirror after the last verified block.
func TestFetchSucceedsWithOneHealthyMirror(t *testing.T) {
	for name, fault := range map[string]tuftest.Fault{"stalls": tuftest.StallAfter(30_000), "sends single bytes": tuftest.SendByteEvery(time.Millisecond),
		"closes early": tuftest.CloseAfter(30_000), "sends endless data": tuftest.EndlessData, "corrupts data": tuftest.Corrupt, "fails": tuftest.FailRequest,
		"sends another file": tuftest.RespondWith(targetBody[:99])} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, true)
			f.mirrors[0].SetFault(fault)
			f.mirrors[1].SetFault(fault)
			for seed := range uint64(4) {
				c := f.newClient(seed)
				if got := f.refresh(c); got != verifiedmetadata.ReasonNone {
					t.Fatal(got)
				}
				_, usage, err := c.FetchTarget(context.Background(), targetPath, 4*time.Second)
				if err != nil || c.VerifyTarget(targetPath) != nil {
					t.Fatalf("seed %d: fetch failed: %v", seed, err)
				}
				if name == "stalls" && usage.Attempts > 1 && usage.Bytes > int64(len(targetBody))+3*4096 {
					t.Errorf("received %d bytes for a target of %d: the fetch did not continue after the verified blocks", usage.Bytes, len(targetBody))
				}
			}
		})
	}
}

// While all mirrors fail, each refresh ends by its deadline and the metadata stays trusted. The first refresh after the
// mirrors recover and their backoff ends succeeds.
func TestRefreshRecoversOnceMirrorsRecover(t *testing.T) {
	f := newFixture(t, true)
	c := f.newClient(1)
	f.refresh(c)
	for _, fault := range []tuftest.Fault{tuftest.FailRequest, tuftest.StallAfter(0), tuftest.EndlessData} {
		f.setFault(fault)
		start := time.Now()
		_, err := c.Refresh(context.Background(), 500*time.Millisecond)
		if took := time.Since(start); err == nil || took > 900*time.Millisecond {
			t.Errorf("refresh returned %v after %v, want an error within 900 ms", err, took)
		}
		if c.CheckTrusted(targetPath) != nil {
			t.Error("target is no longer trusted after a failed refresh")
		}
	}
	f.setFault(nil)
	time.Sleep(250 * time.Millisecond) // longer than the maximum backoff
	if got := f.refresh(c); got != verifiedmetadata.ReasonNone {
		t.Errorf("refresh after the recovery: got reason %v, want none", got)
	}
}

func TestClientsSpreadLoadOverMirrors(t *testing.T) {
	f := newFixture(t, true)
	results := make(chan error, 40)
	for i := range 40 {
		c := f.newClient(uint64(i) + 100)
		go func() {
			if _, err := c.Refresh(context.Background(), 10*time.Second); err != nil {
				results <- err
				return
			}
			_, _, err := c.FetchTarget(context.Background(), targetPath, 10*time.Second)
			if err != nil {
				results <- err
				return
			}
			results <- nil
		}()
	}
	for range 40 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	for i, m := range f.mirrors {
		if n := m.Requests.Load(); n < 40 || n > 140 {
			t.Errorf("mirror %d got %d of about 240 requests, want 40 to 140", i, n)
		}
	}
}

func TestCanceledContextEndsRefreshPromptly(t *testing.T) {
	f := newFixture(t, true)
	c := f.newClient(1)
	f.setFault(tuftest.StallAfter(0))
	ctx, stop := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, stop)
	start := time.Now()
	if _, err := c.Refresh(ctx, 4*time.Second); err == nil || time.Since(start) > 120*time.Millisecond {
		t.Errorf("refresh returned %v after %v, want an error within 120 ms", err, time.Since(start))
	}
}

// Mirrors that start draining during a refresh get no new attempts, and the refresh succeeds with the other mirror.
// After draining ends they get requests again.
func TestDrainingMirrorGetsNoNewAttempts(t *testing.T) {
	f := newFixture(t, true)
	c := f.newClient(1)
	f.setFault(tuftest.StallAfter(0))
	refreshResult := make(chan error, 1)
	go func() {
		_, err := c.Refresh(context.Background(), 4*time.Second)
		refreshResult <- err
	}()
	time.Sleep(50 * time.Millisecond)
	c.SetDraining([]string{f.mirrors[0].URL, f.mirrors[1].URL})
	time.Sleep(20 * time.Millisecond)
	before := f.mirrors[0].Requests.Load() + f.mirrors[1].Requests.Load()
	f.setFault(nil)
	if err := <-refreshResult; err != nil {
		t.Error(err)
	}
	if after := f.mirrors[0].Requests.Load() + f.mirrors[1].Requests.Load(); after != before || f.mirrors[2].Requests.Load() < 4 {
		t.Errorf("draining mirrors got %d more requests, want 0; the other mirror got %d, want at least 4", after-before, f.mirrors[2].Requests.Load())
	}
	c.SetDraining(nil)
	for range 6 {
		f.refresh(c)
	}
	if f.mirrors[0].Requests.Load()+f.mirrors[1].Requests.Load() == before {
		t.Error("mirrors got no requests after draining ended")
	}
}
