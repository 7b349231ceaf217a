package decision

import (
	"encoding/binary"
	"hash/fnv"
)

// mix hashes two numbers.
func hashPair(a, b uint64) uint64 {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], b)
	binary.LittleEndian.PutUint64(text[8:], a)
	h := fnv.New64a()
	h.Write(text[:])
	return h.Sum64()
}

// draw gives an even number below n from the seed and a counter.
func (lb *Balancer) draw(n int) int {
	lb.draws++
	return int(hashPair(lb.seed, lb.draws) >> 20 % uint64(n))
}
