package discovery

import (
	"testing"
	"time"

	"laurelring/decision/seeded"
)

const start = 100 * time.Second

func TestZeroLeaseNeverExpires(t *testing.T) {
	var lease Lease
	if !lease.Valid(1000*time.Hour) || !lease.Trusted(0, 1000*time.Hour) {
		t.Error("a list without a lease is not trusted without limit")
	}
}

func TestLeaseExpiresUnlessConfirmed(t *testing.T) {
	var lease Lease
	lease.Start(Terms{DrainGrace: time.Second}, start)
	if !lease.Valid(start+InitialLease-1) || lease.Valid(start+InitialLease) {
		t.Error("the first lease does not expire exactly after InitialLease")
	}
	lease.Confirm(start)
	if !lease.Valid(start+LeaseTTL-1) || lease.Valid(start+LeaseTTL) {
		t.Error("a confirmed lease does not expire exactly after LeaseTTL")
	}
}

func TestSuspectInvalidatesEarlierConfirmations(t *testing.T) {
	var lease Lease
	lease.Start(Terms{DrainGrace: time.Second}, start)
	lease.Confirm(start)
	suspectAt := start + time.Second
	lease.Suspect(suspectAt, BrokenResponseLease)
	lease.Confirm(suspectAt)
	if expiry := suspectAt + BrokenResponseLease; !lease.Valid(expiry-1) || lease.Valid(expiry) {
		t.Error("the lease of a suspect list does not expire exactly after the remaining time")
	}
	if lease.Confirm(suspectAt + 1); !lease.Valid(suspectAt + LeaseTTL) {
		t.Error("a later confirmation does not renew the lease")
	}
}

func TestEndpointsThatServedRecentlyAreTrustedAfterTheLease(t *testing.T) {
	var lease Lease
	lease.Start(Terms{DrainGrace: time.Second}, start)
	lease.Confirm(start)
	now := start + LeaseTTL
	for name, c := range map[string]struct {
		provedReadyAt time.Duration
		want          bool
	}{
		"never proved ready":        {0, false},
		"proved ready a TTL ago":    {now - LeaseTTL, false},
		"proved ready within a TTL": {now - LeaseTTL + 1, true},
		"proved ready just now":     {now, true},
	} {
		if got := lease.Trusted(c.provedReadyAt, now); got != c.want {
			t.Errorf("%s: got trusted %t, want the opposite", name, got)
		}
	}
	lease.Suspect(now, 0)
	if lease.Trusted(now+DrainSettleTime, now+DrainSettleTime) || !lease.Trusted(now+DrainSettleTime+1, now+DrainSettleTime+1) {
		t.Error("a proof of readiness counts within DrainSettleTime after Suspect, or does not count later")
	}
}

func TestOnlyConnectionsOpenedBeforeConfirmationProveReadiness(t *testing.T) {
	var lease Lease
	lease.Start(Terms{DrainGrace: time.Second}, start)
	lease.Confirm(start)
	if !lease.ProvesReady(start) || lease.ProvesReady(start+1) {
		t.Error("a connection opened after the last confirmation proves readiness, or an earlier connection does not")
	}
}

func TestZeroPacingNeverPolls(t *testing.T) {
	var pacing Pacing
	random := seeded.New(1)
	pacing.Start(3, &random, start)
	pacing.Failed(&random, start)
	if poll, next := pacing.Poll(start + time.Hour); poll || next != Never {
		t.Error("the zero Pacing polls although changes are pushed")
	}
}

func TestBackoffDoublesUpToItsLimitAndResetsOnSuccess(t *testing.T) {
	pacing, random := NewPacing(), seeded.New(1)
	pauseAfterFailure := func(now time.Duration) time.Duration {
		pacing.Failed(&random, now)
		_, next := pacing.Poll(now)
		return next - now
	}
	backoff := initialBackoff
	for range 8 {
		if pause := pauseAfterFailure(start); pause < backoff || pause >= 2*backoff {
			t.Errorf("got a pause of %v, want at least %v and less than twice that", pause, backoff)
		}
		backoff = min(maxBackoff, 2*backoff)
	}
	pacing.Succeeded()
	if pause := pauseAfterFailure(start); pause >= 2*initialBackoff {
		t.Errorf("first pause after an answer: got %v, want less than twice initialBackoff", pause)
	}
	pacing.Succeeded()
	pacing.EstimateUnanswered(1)
	if pause := pauseAfterFailure(start); pause < fullOutageBackoff || pause >= 2*fullOutageBackoff {
		t.Errorf("pause while no gateway has an answer: got %v, want at least fullOutageBackoff and less than twice that", pause)
	}
}

// Guards against attempts at endpoints that have been listed as draining for longer than the grace period: discovery
// that pushes its list came back, and a gateway opened its watch again only after the grace period.
func TestBrokenWatchOfPushedListIsReopenedWithinDrainGrace(t *testing.T) {
	for _, drainGrace := range []time.Duration{200 * time.Millisecond, 250 * time.Millisecond, time.Second, 3 * time.Second} {
		pacing, random := NewPushPacing(drainGrace), seeded.New(1)
		pacing.Start(300, &random, start)
		if poll, _ := pacing.Poll(start); !poll {
			t.Errorf("grace period %v: the watch is not opened at once", drainGrace)
		}
		pauses := map[time.Duration]bool{}
		for range 50 {
			pacing.EstimateUnanswered(1)
			pacing.Failed(&random, start)
			_, next := pacing.Poll(start)
			pause := next - start
			if latest := (drainGrace - maxWriteDelay) / 2; pause > latest || pause < latest/2 {
				t.Errorf("grace period %v: got a pause of %v, want %v at most and half of that at least", drainGrace, pause, latest)
			}
			pauses[pause] = true
		}
		if len(pauses) < 6 { // pauses differ by whole milliseconds, of which the shortest range has 12
			t.Errorf("grace period %v: got only %d different pauses in 50, gateways call in step", drainGrace, len(pauses))
		}
	}
}

func TestWatchOfPushedListIsReopenedAtBoundedRateWithoutDrainGrace(t *testing.T) {
	pacing, random := NewPushPacing(0), seeded.New(1)
	pacing.Failed(&random, start)
	if _, next := pacing.Poll(start); next < start+minReopenDelay/2 {
		t.Errorf("got a pause of %v, want at least half of minReopenDelay", next-start)
	}
}

func TestEachScheduledPollIsMadeOnce(t *testing.T) {
	pacing, random := NewPacing(), seeded.New(1)
	pacing.Start(3, &random, start)
	_, next := pacing.Poll(start)
	if poll, _ := pacing.Poll(next - 1); poll {
		t.Error("polls before the scheduled time")
	}
	if poll, _ := pacing.Poll(next); !poll {
		t.Error("does not poll at the scheduled time")
	}
	if poll, _ := pacing.Poll(next + time.Hour); poll {
		t.Error("polls again although no failure has scheduled another poll")
	}
}
