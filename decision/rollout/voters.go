package rollout

import (
	"cmp"
	"slices"

	"laurelring/decision/seeded"
)

const (
	// minVoters is the number of gateways that evaluate a build unless more votes are required.
	minVoters = 3
	// maxPoolingVoters is the largest number of voters, one more than the required votes, that pool the evidence.
	// Where more would be needed, minVoters gateways evaluate the build and the others follow their verdict.
	maxPoolingVoters = 5
)

// VoterCount returns the number of a fleet's gateways that evaluate a build. It is one more than the required votes, as
// one voter may be unreachable, stopped or late, but it stays small for a fleet of any size. Without peer messages
// every gateway evaluates the build by its own evidence.
func VoterCount(gateways, requiredVotes int, peerMessages bool) int {
	count := max(minVoters, requiredVotes+1)
	if !peerMessages {
		count = gateways
	} else if count > maxPoolingVoters {
		count = minVoters
	}
	return min(count, gateways)
}

// Voters selects the gateways that evaluate a build. Every gateway selects the same ones.
type Voters struct {
	gateways, count int

	ranks []int // ranks of the voters on build, nil before the first selection
	build int
}

// NewVoters returns the selection of count voters among a fleet's gateways.
func NewVoters(gateways, count int) Voters { return Voters{gateways: gateways, count: count} }

// On returns the ranks of the voters on a build: the first gateways when ordered by the hash of build and rank. The
// caller must not modify the slice.
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
