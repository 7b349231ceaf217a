// Package seeded provides pseudo-random numbers that are the same in each run with the same seed.
package seeded

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// Source is the source of random numbers of one balancer. Each number depends on the seed and on the number of
// earlier draws, so the behavior of a caller depends on the order of its draws.
type Source struct {
	seed  uint64
	draws uint64 // number of draws so far
}

// New returns a source with the given seed.
func New(seed uint64) Source { return Source{seed: seed} }

// Below draws a uniformly distributed number from 0 to n-1. n must be above 0.
func (s *Source) Below(n int) int {
	s.draws++
	return int(Hash(s.seed, s.draws) >> 20 % uint64(n))
}

// Jitter draws a duration in whole milliseconds, at least 0 and less than span, which must be at least one
// millisecond.
func (s *Source) Jitter(span time.Duration) time.Duration {
	return time.Duration(s.Below(int(span/time.Millisecond))) * time.Millisecond
}

// HashOf returns a hash of a key that is always the same for the seed. It does not count as a draw.
func (s *Source) HashOf(key uint64) uint64 { return Hash(s.seed, key) }

// Hash returns a hash of two numbers. It is the same at every gateway.
func Hash(a, b uint64) uint64 {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], b)
	binary.LittleEndian.PutUint64(text[8:], a)
	h := fnv.New64a()
	h.Write(text[:])
	return h.Sum64()
}
