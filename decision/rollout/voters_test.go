package rollout

import "testing"

func TestVoterCountStaysSmall(t *testing.T) {
	for _, c := range []struct {
		name         string
		gateways     int
		required     int
		peerMessages bool
		want         int
	}{
		{"one gateway", 1, 1, false, 1},
		{"a small fleet", 3, 1, true, 3},
		{"one to spare beside the required votes", 10, 4, true, 5},
		{"a large fleet follows a few", 600, 360, true, 3},
		{"no messages", 8, 2, false, 8},
	} {
		if got := VoterCount(c.gateways, c.required, c.peerMessages); got != c.want {
			t.Errorf("%s: %d voters, want %d", c.name, got, c.want)
		}
	}
}

func TestVotersDependOnTheBuildAlone(t *testing.T) {
	here, there := NewVoters(60, 3), NewVoters(60, 3)
	times := make([]int, 60)
	for build := range 400 {
		there.On(build + 1) // asked for another build in between
		one, other := here.On(build), there.On(build)
		if len(one) != 3 || one[0] != other[0] || one[1] != other[1] || one[2] != other[2] {
			t.Fatalf("build %d: voters %v and %v", build, one, other)
		}
		for _, rank := range one {
			times[rank]++
		}
	}
	for rank, n := range times { // 20 in the mean
		if n == 0 || n > 60 {
			t.Errorf("gateway %d judges %d of 400 builds", rank, n)
		}
	}
}
