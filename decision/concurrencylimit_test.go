package decision

import "testing"

func TestConcurrencyLimitGrowsOnlyWhileItIsUsed(t *testing.T) {
	limit := concurrencyLimit{size: initialConcurrencyLimit}
	if limit.increase(initialConcurrencyLimit/2 - 1); limit.size != initialConcurrencyLimit {
		t.Errorf("got limit %v while half of it is in use, want no increase", limit.size)
	}
	if limit.increase(initialConcurrencyLimit / 2); limit.size != initialConcurrencyLimit+limitIncrease/initialConcurrencyLimit {
		t.Errorf("got limit %v while more than half of it is in use, want one increase", limit.size)
	}
	limit.size = maxConcurrencyLimit
	if limit.increase(maxConcurrencyLimit); limit.size != maxConcurrencyLimit {
		t.Errorf("got limit %v, want no increase above the maximum", limit.size)
	}
}

func TestConcurrencyLimitShrinksOnceAnInterval(t *testing.T) {
	limit := concurrencyLimit{size: 10}
	limit.decrease(second)
	limit.decrease(second + limitDecreaseInterval)
	if limit.size != 10*limitDecrease {
		t.Errorf("got limit %v after two decreases within an interval, want only the first to count", limit.size)
	}
	for now := 2 * second; now < 20*second; now += second {
		limit.decrease(now)
	}
	if limit.size != minConcurrencyLimit || !limit.allows(0) || limit.allows(1) {
		t.Errorf("got limit %v after many decreases, want one attempt", limit.size)
	}
}
