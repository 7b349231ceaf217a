package exposure

const (
	maxCountedKeys = 200000 // keys that are counted before all counts start from 0 again; it bounds the memory
	stickyCapShare = 0.6    // of the cap: once the sticky keys ask for this much of it, no further key becomes sticky
	rareKeyShare   = 0.1    // of the cap: a key that asks for more of it by itself does not become sticky
)

// StickyKeys remembers which build answered a key last, and how many of the requests have a key that the canary build has
// answered. A nil pointer stands for a deployment without sticky keys: it remembers nothing and allows all.
type StickyKeys struct {
	builds         map[uint64]int // the newest build that has answered a key
	counts         map[uint64]int // requests by key
	keyedRequests  int            // requests with a key
	canaryRequests int            // those of them whose key the canary build, or a later one, has answered
}

// NewStickyKeys returns the state of a deployment that has sticky keys.
func NewStickyKeys() *StickyKeys {
	return &StickyKeys{builds: map[uint64]int{}, counts: map[uint64]int{}}
}

// RecordRequest counts a request with a key. All counts start again once there are too many keys; old ones tell little.
func (s *StickyKeys) RecordRequest(key uint64, canaryBuild int) {
	if s == nil || key == 0 {
		return
	}
	if len(s.counts) > maxCountedKeys {
		s.counts, s.keyedRequests, s.canaryRequests = map[uint64]int{}, 0, 0
	}
	s.counts[key]++
	s.keyedRequests++
	if s.builds[key] >= canaryBuild {
		s.canaryRequests++
	}
}

// RecordAnswer binds a key to a build that has answered it, and to later ones.
func (s *StickyKeys) RecordAnswer(key uint64, build, canaryBuild int) {
	if s == nil || key == 0 || build <= s.builds[key] {
		return
	}
	if build == canaryBuild {
		s.canaryRequests += s.counts[key]
	}
	s.builds[key] = build
}

// Allows reports whether no later build than this one has answered the key.
func (s *StickyKeys) Allows(key uint64, build int) bool {
	return s == nil || key == 0 || build >= s.builds[key]
}

// MayBind reports whether a request may go to the canary build, which binds its key to it. It keeps the sticky keys from
// outgrowing the cap: rare keys go first, and none while the sticky ones already ask for most of the cap.
func (s *StickyKeys) MayBind(key uint64, limit float64, canaryBuild int) bool {
	if s == nil || key == 0 || limit >= 1 || s.builds[key] >= canaryBuild {
		return true
	}
	return float64(s.canaryRequests) <= stickyCapShare*limit*float64(s.keyedRequests) &&
		float64(s.counts[key]-1) <= rareKeyShare*limit*float64(s.keyedRequests)
}

// CanaryStarted forgets the requests of the canary build before.
func (s *StickyKeys) CanaryStarted() {
	if s != nil {
		s.canaryRequests = 0
	}
}

// RolledBack releases all keys that a build, or a later one, has answered.
func (s *StickyKeys) RolledBack(build int) {
	if s == nil {
		return
	}
	for key, bound := range s.builds {
		if bound >= build {
			delete(s.builds, key)
		}
	}
	s.canaryRequests = 0
}
