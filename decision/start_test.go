package decision

import (
	"errors"
	"testing"
	"time"
)

// A balancer must start only once, whatever time its clock shows at the first Tick. It used to record its start as 1 ms
// before the first Tick, with 0 meaning "not started". With a first Tick at exactly 1 ms it therefore started twice,
// and drew the times of the first report and the first poll again.
func TestBalancerStartsOnceAtAnyClockTime(t *testing.T) {
	for _, first := range []time.Duration{0, millisecond, 2 * millisecond, second} {
		lb := newTestGateway(1, PromoteByAnyVote).balancer
		lb.Tick(first)
		report := lb.rollout.peers.nextReportAt
		if lb.Tick(first); lb.rollout.peers.nextReportAt != report {
			t.Errorf("first tick at %v: first report due at %v, then at %v", first, report, lb.rollout.peers.nextReportAt)
		}
	}
}

func TestNegativeDrainGraceIsRefused(t *testing.T) {
	if _, err := New(Config{Gateways: 1, DrainGrace: -second}); !errors.Is(err, ErrConfig) {
		t.Errorf("grace period of -1s: got error %v, want ErrConfig", err)
	}
}

// A negative zone must be rejected. It used to crash the gateway at the first result of an attempt.
func TestNegativeZoneIsRefused(t *testing.T) {
	if _, err := New(Config{Zone: -1, Gateways: 1}); !errors.Is(err, ErrConfig) {
		t.Errorf("gateway in zone -1: got error %v, want ErrConfig", err)
	}
}
