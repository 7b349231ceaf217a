package discovery

import (
	"testing"
	"time"

	"laurelring/decision/seeded"
)

const start = 100 * time.Second

func TestLeaseOfTheZeroValueNeverExpires(t *testing.T) {
	var lease Lease
	if !lease.Valid(1000*time.Hour) || !lease.Trusted(0, 1000*time.Hour) {
		t.Error("a list without a lease is not trusted")
	}
}

func TestLeaseExpiresUnlessConfirmed(t *testing.T) {
	var lease Lease
	lease.Start(start)
	if !lease.Valid(start+InitialLease-1) || lease.Valid(start+InitialLease) {
		t.Error("the first lease does not end after InitialLease")
	}
	lease.Confirm(start)
	if !lease.Valid(start+LeaseTTL-1) || lease.Valid(start+LeaseTTL) {
		t.Error("a confirmed lease does not end after LeaseTTL")
	}
}

func TestSuspicionVoidsEarlierConfirmations(t *testing.T) {
	var lease Lease
	lease.Start(start)
	lease.Confirm(start)
	suspectAt := start + time.Second
	lease.Suspect(suspectAt, BrokenResponseLease)
	lease.Confirm(suspectAt)
	if expiry := suspectAt + BrokenResponseLease; !lease.Valid(expiry-1) || lease.Valid(expiry) {
		t.Error("a suspect list is not trusted for just the remaining span")
	}
	if lease.Confirm(suspectAt + 1); !lease.Valid(suspectAt + LeaseTTL) {
		t.Error("a later confirmation does not renew the lease")
	}
}

func TestEndpointsThatServedLatelyAreTrustedAfterTheLease(t *testing.T) {
	var lease Lease
	lease.Start(start)
	lease.Confirm(start)
	now := start + LeaseTTL
	for name, c := range map[string]struct {
		provedReadyAt time.Duration
		want          bool
	}{
		"never":             {0, false},
		"longer than a TTL": {now - LeaseTTL, false},
		"within a TTL":      {now - LeaseTTL + 1, true},
		"just now":          {now, true},
	} {
		if got := lease.Trusted(c.provedReadyAt, now); got != c.want {
			t.Errorf("%s: trusted is %t", name, got)
		}
	}
	lease.Suspect(now, 0)
	if lease.Trusted(now+DrainSettleTime, now+DrainSettleTime) || !lease.Trusted(now+DrainSettleTime+1, now+DrainSettleTime+1) {
		t.Error("a proof counts though a drain from before the suspicion may not have settled, or not after that")
	}
}

func TestOnlyConnectionsFromBeforeTheConfirmationProve(t *testing.T) {
	var lease Lease
	lease.Start(start)
	lease.Confirm(start)
	if !lease.ProvesReady(start) || lease.ProvesReady(start+1) {
		t.Error("a connection opened after the last confirmation proves something, or one from before does not")
	}
}

func TestPacingOfTheZeroValueNeverPolls(t *testing.T) {
	var pacing Pacing
	random := seeded.New(1)
	pacing.Start(3, &random, start)
	pacing.Failed(&random, start)
	if poll, next := pacing.Poll(start + time.Hour); poll || next != Never {
		t.Error("polls though changes are pushed")
	}
}

func TestBackoffDoublesUpToItsLimitAndEndsWithAnAnswer(t *testing.T) {
	pacing, random := NewPacing(), seeded.New(1)
	pauseAfterFailure := func(now time.Duration) time.Duration {
		pacing.Failed(&random, now)
		_, next := pacing.Poll(now)
		return next - now
	}
	backoff := initialBackoff
	for range 8 {
		if pause := pauseAfterFailure(start); pause < backoff || pause >= 2*backoff {
			t.Errorf("a pause of %v, want from %v to twice that", pause, backoff)
		}
		backoff = min(maxBackoff, 2*backoff)
	}
	pacing.Succeeded()
	if pause := pauseAfterFailure(start); pause >= 2*initialBackoff {
		t.Errorf("the first pause after an answer is %v", pause)
	}
	pacing.Succeeded()
	pacing.EstimateUnanswered(1)
	if pause := pauseAfterFailure(start); pause < crowdBackoff || pause >= 2*crowdBackoff {
		t.Errorf("a pause of %v where no gateway has an answer", pause)
	}
}

func TestEachPollIsMadeOnce(t *testing.T) {
	pacing, random := NewPacing(), seeded.New(1)
	pacing.Start(3, &random, start)
	_, next := pacing.Poll(start)
	if poll, _ := pacing.Poll(next - 1); poll {
		t.Error("polls before its time")
	}
	if poll, _ := pacing.Poll(next); !poll {
		t.Error("no poll at its time")
	}
	if poll, _ := pacing.Poll(next + time.Hour); poll {
		t.Error("polls again without a failure")
	}
}
