package transport

import (
	"encoding/binary"
	"hash/fnv"
	"sync/atomic"
	"time"
)

// Chance draws times from a seed and a counter, so that gateways that start or lose a party together come apart.
type Chance struct {
	seed  uint64
	drawn atomic.Uint64
}

// NewChance takes the gateway's seed.
func NewChance(seed uint64) *Chance { return &Chance{seed: seed} }

// Below gives a time below the most.
func (c *Chance) Below(most time.Duration) time.Duration {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], c.drawn.Add(1))
	binary.LittleEndian.PutUint64(text[8:], c.seed)
	h := fnv.New64a()
	h.Write(text[:])
	return time.Duration(h.Sum64() >> 20 % uint64(max(most, 1)))
}
