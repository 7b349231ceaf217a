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
		{"small fleet", 3, 1, true, 3},
		{"one more than the required votes", 10, 4, true, 5},
		{"large fleet with few voters", 600, 360, true, 3},
		{"no peer messages", 8, 2, false, 8},
	} {
		if got := VoterCount(c.gateways, c.required, c.peerMessages); got != c.want {
			t.Errorf("%s: got %d voters, want %d", c.name, got, c.want)
		}
	}
}

func TestVotersDependOnTheBuildAlone(t *testing.T) {
	first, second := NewVoters(60, 3), NewVoters(60, 3)
	buildsEvaluated := make([]int, 60)
	for build := range 400 {
		second.On(build + 1) // a selection for another build in between must not matter
		voters, same := first.On(build), second.On(build)
		if len(voters) != 3 || voters[0] != same[0] || voters[1] != same[1] || voters[2] != same[2] {
			t.Fatalf("build %d: got voters %v and %v, want three and the same at both", build, voters, same)
		}
		for _, rank := range voters {
			buildsEvaluated[rank]++
		}
	}
	for rank, n := range buildsEvaluated { // 20 on average
		if n == 0 || n > 60 {
			t.Errorf("gateway %d: got a voter on %d of 400 builds, want 1 to 60", rank, n)
		}
	}
}
