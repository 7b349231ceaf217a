package decision

import "testing"

func TestConcurrencyLimitGrowsOnlyWhileItIsUsed(t *testing.T) {
	limit := concurrencyLimit{size: initialConcurrencyLimit}
	if limit.increase(initialConcurrencyLimit/2 - 1); limit.size != initialConcurrencyLimit {
		t.Errorf("a limit that is half used grew to %v", limit.size)
	}
	if limit.increase(initialConcurrencyLimit / 2); limit.size != initialConcurrencyLimit+limitIncrease/initialConcurrencyLimit {
		t.Errorf("a limit that is used grew to %v", limit.size)
	}
	limit.size = maxConcurrencyLimit
	if limit.increase(maxConcurrencyLimit); limit.size != maxConcurrencyLimit {
		t.Errorf("the limit grew beyond its maximum to %v", limit.size)
	}
}

func TestConcurrencyLimitShrinksOnceAnInterval(t *testing.T) {
	limit := concurrencyLimit{size: 10}
	limit.decrease(second)
	limit.decrease(second + limitDecreaseInterval)
	if limit.size != 10*limitDecrease {
		t.Errorf("the limit is %v after two decreases within an interval", limit.size)
	}
	for now := 2 * second; now < 20*second; now += second {
		limit.decrease(now)
	}
	if limit.size != minConcurrencyLimit || !limit.allows(0) || limit.allows(1) {
		t.Errorf("the limit is %v after many decreases, want one attempt", limit.size)
	}
}
