package rollout

import (
	"cmp"
	"slices"

	"laurelring/decision/seeded"
)

const (
	// minVoters is how many gateways judge a build, where no more votes are required.
	minVoters = 3
	// maxPoolingVoters is the largest number of voters that pool the evidence, one more than the required votes. Where more are
	// required, minVoters judge and the other gateways follow them.
	maxPoolingVoters = 5
)

// VoterCount returns how many of a fleet's gateways judge a build: one more than the required votes, as one may be cut off,
// stopped or late, but few, whatever the size of the fleet. Gateways that cannot send one another messages all judge for
// themselves.
func VoterCount(gateways, requiredVotes int, peerMessages bool) int {
	count := max(minVoters, requiredVotes+1)
	if !peerMessages {
		count = gateways
	} else if count > maxPoolingVoters {
		count = minVoters
	}
	return min(count, gateways)
}

// Voters are the gateways that judge a build. They are the same at every gateway.
type Voters struct {
	gateways, count int

	ranks []int // of the voters on build
	build int
}

// NewVoters selects count voters among a fleet's gateways.
func NewVoters(gateways, count int) Voters { return Voters{gateways: gateways, count: count} }

// On returns the ranks of the voters on a build: the first gateways in the order of their hash with it. The caller must not
// change them.
func (v *Voters) On(build int) []int {
	if v.ranks == nil || v.build != build {
		ranks, hashes := make([]int, v.gateways), make([]uint64, v.gateways)
		for rank := range ranks {
			ranks[rank], hashes[rank] = rank, seeded.Hash(uint64(build), uint64(rank))
		}
		slices.SortStableFunc(ranks, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
		v.ranks, v.build = ranks[:v.count], build
	}
	return v.ranks
}
