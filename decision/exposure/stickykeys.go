package exposure

import "slices"

const (
	maxCountedKeys = 200000 // number of counted keys above which all counts are reset, to bound memory use
	maxStickyShare = 0.6    // share of the cap; while requests of sticky keys exceed it, no further key becomes sticky
	maxNewKeyShare = 0.1    // share of the cap; a key whose earlier requests alone exceed it does not become sticky
)

// StickyKeys records the newest build that has answered each key, and how many of the requests have a key that the
// canary build has answered. A nil pointer stands for a deployment without sticky keys: it records nothing and allows
// everything.
type StickyKeys struct {
	newestBuilds   map[uint64]int   // by key, the newest build that has answered it
	holders        map[uint64][]int // by key, the builds that hold it, one entry for each Hold
	requestsByKey  map[uint64]int   // number of requests with each key
	keyedRequests  int              // number of requests with any key
	canaryRequests int              // of these, requests whose key the canary build or a later one has answered
}

// NewStickyKeys returns the state of a deployment that has sticky keys.
func NewStickyKeys() *StickyKeys {
	return &StickyKeys{newestBuilds: map[uint64]int{}, holders: map[uint64][]int{}, requestsByKey: map[uint64]int{}}
}

// RecordRequest counts a request with a key. All counts are reset once more than maxCountedKeys keys are counted, as
// old counts say little about the current load.
func (s *StickyKeys) RecordRequest(key uint64, canaryBuild int) {
	if s == nil || key == 0 {
		return
	}
	if len(s.requestsByKey) > maxCountedKeys {
		s.requestsByKey, s.keyedRequests, s.canaryRequests = map[uint64]int{}, 0, 0
	}
	s.requestsByKey[key]++
	s.keyedRequests++
	if s.newestBuilds[key] >= canaryBuild {
		s.canaryRequests++
	}
}

// RecordAnswer records that a build has answered a key. Until the build is rolled back, only it and later builds may
// serve the key. RecordAnswer reports whether earlier builds that were allowed to serve the key no longer are.
func (s *StickyKeys) RecordAnswer(key uint64, build, canaryBuild int) (bound bool) {
	if s == nil || key == 0 || build <= s.newestBuilds[key] {
		return false
	}
	if build == canaryBuild {
		s.canaryRequests += s.requestsByKey[key]
	}
	s.newestBuilds[key] = build
	return true
}

// Hold keeps a key from the builds before the given one until Release is called with the same arguments, or the build is
// rolled back.
func (s *StickyKeys) Hold(key uint64, build int) {
	if s != nil && key != 0 {
		s.holders[key] = append(s.holders[key], build)
	}
}

// Release ends one call of Hold. It does nothing if no such call is left.
func (s *StickyKeys) Release(key uint64, build int) {
	if s == nil {
		return
	}
	i := slices.Index(s.holders[key], build)
	if i < 0 {
		return
	}
	if s.holders[key] = slices.Delete(s.holders[key], i, i+1); len(s.holders[key]) == 0 {
		delete(s.holders, key)
	}
}

// Allows reports whether a build may serve a key: it may unless a later build has answered the key or holds it.
func (s *StickyKeys) Allows(key uint64, build int) bool {
	if s == nil || key == 0 {
		return true
	}
	held := slices.ContainsFunc(s.holders[key], func(holder int) bool { return build < holder })
	return build >= s.newestBuilds[key] && !held
}

// MayBind reports whether a request with a key may go to the canary build, whose answer makes the key sticky. It
// keeps the requests of sticky keys within the exposure cap: only rare keys may become sticky, and none once the
// requests of sticky keys use most of the cap.
func (s *StickyKeys) MayBind(key uint64, exposureCap float64, canaryBuild int) bool {
	if s == nil || key == 0 || exposureCap >= 1 || s.newestBuilds[key] >= canaryBuild {
		return true
	}
	return float64(s.canaryRequests) <= maxStickyShare*exposureCap*float64(s.keyedRequests) &&
		float64(s.requestsByKey[key]-1) <= maxNewKeyShare*exposureCap*float64(s.keyedRequests)
}

// CanaryStarted resets the count of requests for keys that the previous canary build has answered.
func (s *StickyKeys) CanaryStarted() {
	if s != nil {
		s.canaryRequests = 0
	}
}

// RolledBack releases all keys that the rolled-back build or a later one has answered or holds.
func (s *StickyKeys) RolledBack(build int) {
	if s == nil {
		return
	}
	for key, newest := range s.newestBuilds {
		if newest >= build {
			delete(s.newestBuilds, key)
		}
	}
	for key, holders := range s.holders {
		s.holders[key] = slices.DeleteFunc(holders, func(holder int) bool { return holder >= build })
		if len(s.holders[key]) == 0 {
			delete(s.holders, key)
		}
	}
	s.canaryRequests = 0
}
