package seededrand

import (
	"testing"
	"time"
)

// Gateways that start or lose a party together come apart, by their seeds.
func TestChanceSpreads(t *testing.T) {
	var parts [10]int
	for seed := range uint64(1000) {
		c := New(seed)
		c.Time(time.Second)
		at := c.Time(time.Second)
		if again := New(seed); again.Time(time.Second) < 0 || again.Time(time.Second) != at {
			t.Fatal("the same seed draws other times")
		}
		parts[at*10/time.Second]++
	}
	for i, n := range parts {
		if n < 60 || n > 140 {
			t.Errorf("part %d holds %d of 1000", i, n)
		}
	}
}
