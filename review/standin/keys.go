package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// keys draws keys of which a few are far more popular than the rest.
type keys struct{ cumulative []float64 }

// newKeys returns keys of which the n-th is asked for in proportion to n to the power of -exponent.
func newKeys(count int, exponent float64) *keys {
	k := &keys{}
	sum := 0.0
	for n := range count {
		sum += math.Pow(float64(n+1), -exponent)
		k.cumulative = append(k.cumulative, sum)
	}
	return k
}

func (k *keys) draw(random *rand.Rand) string {
	at := random.Float64() * k.cumulative[len(k.cumulative)-1]
	return fmt.Sprintf("ticket-%d", sort.SearchFloat64s(k.cumulative, at))
}
