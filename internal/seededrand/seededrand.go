// Package seededrand derives random numbers from a seed and a counter. With different seeds, gateways that start or
// lose a connection at the same time do not retry at the same times. With the same seed, a run repeats its draws.
package seededrand

import (
	"encoding/binary"
	"hash/fnv"
	"sync/atomic"
	"time"
)

// Source is a deterministic sequence of random numbers. It is safe for concurrent use.
type Source struct {
	seed  uint64
	draws atomic.Uint64 // number of draws so far
}

// New returns a Source with the given seed. Equal seeds give equal sequences.
func New(seed uint64) *Source { return &Source{seed: seed} }

// Duration draws a duration in [0, limit). It returns 0 if limit is not positive.
func (s *Source) Duration(limit time.Duration) time.Duration {
	return time.Duration(s.Int64N(int64(limit)))
}

// Int64N draws a number in [0, n). It returns 0 if n is not positive. Each call advances the sequence by one draw.
func (s *Source) Int64N(n int64) int64 {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], s.draws.Add(1))
	binary.LittleEndian.PutUint64(input[8:], s.seed)
	hash := fnv.New64a()
	hash.Write(input[:])
	return int64(hash.Sum64() >> 20 % uint64(max(n, 1)))
}
