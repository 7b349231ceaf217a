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

// countAllowedAttempts makes attempts at a build until the limiter refuses one, and returns the number of attempts
// made.
func countAllowedAttempts(limiter *Limiter, build, opType int, exposureCap float64, now time.Duration) (n int) {
	for limiter.Allows(build, opType, exposureCap, now) {
		limiter.RecordAttempt(build, opType, now)
		n++
	}
	return n
}

func TestAttemptsStayWithinTheCapAndTheAllowance(t *testing.T) {
	limiter := limiterWithRequests(false, 20)
	if n := countAllowedAttempts(limiter, 2, 1, 0.25, start); n != 6 {
		t.Errorf("got %d attempts for 20 requests, want 6: a cap of 0.25 and an allowance of 1", n)
	}
	if limiter.Allows(2, 0, 0.1, start) {
		t.Error("a lowered cap does not count the attempts made before it was lowered")
	}
	if n := countAllowedAttempts(limiter, 3, 0, 0.25, start); n != 6 {
		t.Errorf("got %d attempts at another build, want 6, as builds are counted separately", n)
	}
}

func TestCapAppliesPerOpTypeIfConfigured(t *testing.T) {
	limiter := limiterWithRequests(true, 20)
	if first, second := countAllowedAttempts(limiter, 2, 0, 0.25, start), countAllowedAttempts(limiter, 2, 1, 0.25, start); first != 6 || second != 1 {
		t.Errorf("got %d and %d attempts, want 6 for the op type with requests and 1, the allowance, for the other", first, second)
	}
}

func TestRequestsLeaveTheWindowBeforeAttempts(t *testing.T) {
	limiter := limiterWithRequests(false, 20)
	countAllowedAttempts(limiter, 2, 0, 0.25, start)
	if now := start + 2*time.Second; limiter.Allows(2, 0, 1, now) {
		t.Error("attempts leave the window before the margin has passed")
	}
	if now := start + 2*time.Second + time.Millisecond; !limiter.Allows(2, 0, 1, now) {
		t.Error("attempts stay in the window after the window and the margin have passed")
	}
}

func TestStickyKeyAvoidsEarlierBuildsUntilRollback(t *testing.T) {
	keys := NewStickyKeys()
	keys.RecordRequest(7, 2)
	keys.RecordAnswer(7, 2, 2)
	keys.RecordAnswer(7, 1, 2)
	if keys.Allows(7, 1) || !keys.Allows(7, 2) || !keys.Allows(7, 3) || !keys.Allows(8, 1) || !keys.Allows(0, 1) {
		t.Error("a key that build 2 has answered may go to build 1, or a key or build without that restriction is refused")
	}
	if keys.RolledBack(2); !keys.Allows(7, 1) {
		t.Error("a key stays bound to a build after its rollback")
	}
}

func TestHeldKeyAvoidsEarlierBuildsUntilEachHoldEnds(t *testing.T) {
	keys := NewStickyKeys()
	keys.Hold(7, 2)
	keys.Hold(7, 2)
	if keys.Allows(7, 1) || !keys.Allows(7, 2) || !keys.Allows(7, 3) || !keys.Allows(8, 1) || !keys.Allows(0, 1) {
		t.Error("a key that build 2 holds may go to build 1, or a key or build without that restriction is refused")
	}
	if keys.Release(7, 2); keys.Allows(7, 1) {
		t.Error("a key may go to an earlier build although one of two holds is left")
	}
	keys.Release(7, 3) // was never held
	if keys.Release(7, 2); !keys.Allows(7, 1) || len(keys.holders) > 0 {
		t.Error("a key stays held after both holds have ended")
	}
	keys.Hold(7, 3)
	if keys.RolledBack(3); !keys.Allows(7, 1) || len(keys.holders) > 0 {
		t.Error("a key stays held by a build after its rollback")
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
		t.Error("a frequent key may become sticky, a rare key may not, or a full exposure cap refuses a key")
	}
	for key := uint64(3); keys.MayBind(2, 0.5, 2); key++ {
		if key > 92 {
			t.Fatal("the number of sticky keys is not limited")
		}
		keys.RecordAnswer(key, 2, 2)
	}
	if !keys.MayBind(3, 0.5, 2) {
		t.Error("an already sticky key may not go to its build")
	}
	if keys.CanaryStarted(); !keys.MayBind(2, 0.5, 2) {
		t.Error("requests for keys of an earlier canary build count against the cap")
	}
}

func TestNilStickyKeysAllowEverything(t *testing.T) {
	var keys *StickyKeys
	keys.RecordRequest(1, 2)
	keys.RecordAnswer(1, 2, 2)
	keys.CanaryStarted()
	keys.RolledBack(2)
	keys.Hold(1, 2)
	keys.Release(1, 2)
	if !keys.Allows(1, 0) || !keys.MayBind(1, 0, 2) {
		t.Error("a deployment without sticky keys refuses a key")
	}
}
