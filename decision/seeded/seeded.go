// Package seeded makes random draws that are the same in each run with the same seed.
package seeded

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// Source makes the draws of one balancer. Its results depend on the seed and on how many draws came before, so the order
// of the draws is part of what callers do.
type Source struct {
	seed  uint64
	draws uint64 // made so far
}

// New returns the source of a seed.
func New(seed uint64) Source { return Source{seed: seed} }

// Below draws an evenly distributed number from 0 on and below n, which must be above 0.
func (s *Source) Below(n int) int {
	s.draws++
	return int(Hash(s.seed, s.draws) >> 20 % uint64(n))
}

// Jitter draws a time below a span of at least a millisecond, in whole milliseconds.
func (s *Source) Jitter(span time.Duration) time.Duration {
	return time.Duration(s.Below(int(span/time.Millisecond))) * time.Millisecond
}

// HashOf returns a hash of a key that is fixed for the seed. It is no draw.
func (s *Source) HashOf(key uint64) uint64 { return Hash(s.seed, key) }

// Hash returns a hash of two numbers, the same at every gateway.
func Hash(a, b uint64) uint64 {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], b)
	binary.LittleEndian.PutUint64(text[8:], a)
	h := fnv.New64a()
	h.Write(text[:])
	return h.Sum64()
}
