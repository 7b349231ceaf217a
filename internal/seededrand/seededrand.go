// Package seededrand draws from a seed and a counter, so that gateways that start or lose a party together come apart.
package seededrand

import (
	"encoding/binary"
	"hash/fnv"
	"sync/atomic"
	"time"
)

// Chance is one source of draws. Anyone may draw.
type Chance struct {
	seed  uint64
	drawn atomic.Uint64
}

// New takes the gateway's seed.
func New(seed uint64) *Chance { return &Chance{seed: seed} }

// Time gives a time below the most.
func (c *Chance) Time(most time.Duration) time.Duration { return time.Duration(c.Below(int64(most))) }

// Below gives a number below n, 0 where n is none.
func (c *Chance) Below(n int64) int64 {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], c.drawn.Add(1))
	binary.LittleEndian.PutUint64(text[8:], c.seed)
	h := fnv.New64a()
	h.Write(text[:])
	return int64(h.Sum64() >> 20 % uint64(max(n, 1)))
}
