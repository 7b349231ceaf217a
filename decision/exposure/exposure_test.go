package exposure

import (
	"testing"
	"time"
)

const start = 100 * time.Second

func limiterWithRequests(perOpType bool, requests int) *Limiter {
	limiter := NewLimiter(Config{Window: 2 * time.Second, Allowance: 1, PerOpType: perOpType, OpTypes: 2, Margin: time.Millisecond})
	for range requests {
		limiter.RecordRequest(0, start)
	}
	return &limiter
}

// admitted is how many attempts at a build the limiter allows at once.
func admitted(limiter *Limiter, build, opType int, limit float64, now time.Duration) (n int) {
	for limiter.Allows(build, opType, limit, now) {
		limiter.RecordAttempt(build, opType, now)
		n++
	}
	return n
}

func TestAttemptsStayWithinTheCapAndTheAllowance(t *testing.T) {
	limiter := limiterWithRequests(false, 20)
	if n := admitted(limiter, 2, 1, 0.25, start); n != 6 {
		t.Errorf("%d attempts for 20 requests, want 0.25 of them and the allowance of 1", n)
	}
	if limiter.Allows(2, 0, 0.1, start) {
		t.Error("a lower cap does not bind attempts that were made before")
	}
	if n := admitted(limiter, 3, 0, 0.25, start); n != 6 {
		t.Errorf("%d attempts at another build, which is counted by itself, want 6", n)
	}
}

func TestCapHoldsForEachOpTypeWhereAsked(t *testing.T) {
	limiter := limiterWithRequests(true, 20)
	if first, second := admitted(limiter, 2, 0, 0.25, start), admitted(limiter, 2, 1, 0.25, start); first != 6 || second != 1 {
		t.Errorf("%d and %d attempts, want 6 at the op type with requests and the allowance at the other", first, second)
	}
}

func TestRequestsLeaveTheWindowBeforeAttempts(t *testing.T) {
	limiter := limiterWithRequests(false, 20)
	admitted(limiter, 2, 0, 0.25, start)
	if now := start + 2*time.Second; limiter.Allows(2, 0, 1, now) {
		t.Error("attempts are forgotten before the margin has passed")
	}
	if now := start + 2*time.Second + time.Millisecond; !limiter.Allows(2, 0, 1, now) {
		t.Error("attempts are not forgotten after the window and the margin")
	}
}

func TestKeyGoesToNoEarlierBuildUntilRolledBack(t *testing.T) {
	keys := NewStickyKeys()
	keys.RecordRequest(7, 2)
	keys.RecordAnswer(7, 2, 2)
	keys.RecordAnswer(7, 1, 2)
	if keys.Allows(7, 1) || !keys.Allows(7, 2) || !keys.Allows(7, 3) || !keys.Allows(8, 1) || !keys.Allows(0, 1) {
		t.Error("a key that build 2 has answered may go to build 1, or another one may not")
	}
	if keys.RolledBack(2); !keys.Allows(7, 1) {
		t.Error("a key stays bound to a build that was rolled back")
	}
}

func TestRareKeysBecomeStickyFirst(t *testing.T) {
	keys := NewStickyKeys()
	for range 9 {
		keys.RecordRequest(1, 2)
	}
	for key := uint64(2); key <= 92; key++ {
		keys.RecordRequest(key, 2)
	}
	if keys.MayBind(1, 0.5, 2) || !keys.MayBind(2, 0.5, 2) || !keys.MayBind(1, 1, 2) {
		t.Error("a frequent key may become sticky, or a rare one may not")
	}
	for key := uint64(3); keys.MayBind(2, 0.5, 2); key++ {
		if key > 92 {
			t.Fatal("any number of keys may become sticky")
		}
		keys.RecordAnswer(key, 2, 2)
	}
	if !keys.MayBind(3, 0.5, 2) {
		t.Error("a key that is sticky already may not go to its build")
	}
	if keys.CanaryStarted(); !keys.MayBind(2, 0.5, 2) {
		t.Error("the requests of an earlier canary build count against the cap")
	}
}

func TestNilStickyKeysAllowAll(t *testing.T) {
	var keys *StickyKeys
	keys.RecordRequest(1, 2)
	keys.RecordAnswer(1, 2, 2)
	keys.CanaryStarted()
	keys.RolledBack(2)
	if !keys.Allows(1, 0) || !keys.MayBind(1, 0, 2) {
		t.Error("a deployment without sticky keys refuses a key")
	}
}
