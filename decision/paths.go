package decision

import (
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
)

const (
	zoneLateMargin = 0.2              // a zone whose late rate is so much above that of the gateway's own zone is avoided
	zoneLateGain   = 0.15             // of each attempt in the late rate of its zone
	zoneLateDecay  = 15 * time.Second // time constant after which a late rate is forgotten

	connectFailureThreshold = 0.3 // at a higher rate only endpoints are used that answered within responsiveTTL
	connectFailureGain      = 0.1 // of each failure in the rate
	connectFailureDecay     = 0.9 // of the rate after a success
	responsiveTTL           = 10 * time.Second
)

// pathHealth is how this gateway's attempts fare on the way to the endpoints.
type pathHealth struct {
	zones              []zoneHealth // by zone
	connectFailureRate float64      // smoothed share of the attempts without a connection
}

// zoneHealth is how the attempts to one zone fare.
type zoneHealth struct {
	lateRate  float64 // smoothed share of attempts that were late or lost
	updatedAt monotonic.Time
}

// zoneLateRate is the share of the attempts to a zone that were late or lost, forgotten with time.
func (p *pathHealth) zoneLateRate(zone int, now monotonic.Time) float64 {
	if zone >= len(p.zones) {
		return 0
	}
	return p.zones[zone].lateRate * decay.Factor(p.zones[zone].updatedAt, now, zoneLateDecay)
}

func (p *pathHealth) recordZoneResult(zone int, inTime bool, now monotonic.Time) {
	for len(p.zones) <= zone {
		p.zones = append(p.zones, zoneHealth{})
	}
	rate := p.zoneLateRate(zone, now) * (1 - zoneLateGain)
	if !inTime {
		rate += zoneLateGain
	}
	p.zones[zone] = zoneHealth{rate, now}
}

func (p *pathHealth) recordConnectFailure() {
	p.connectFailureRate += connectFailureGain * (1 - p.connectFailureRate)
}

func (p *pathHealth) recordConnected() { p.connectFailureRate *= connectFailureDecay }

// preferHealthyZones leaves out the endpoints of other zones from which far more attempts are late or lost than from the
// gateway's own. It guards against paths between zones that are slow, lossy or cut. Where the own zone is short of
// endpoints, its answers are late too, and the others are used again.
func (lb *Balancer) preferHealthyZones(endpoints []*Endpoint, now monotonic.Time) []*Endpoint {
	limit := lb.paths.zoneLateRate(lb.zone, now) + zoneLateMargin
	return filterOrAll(endpoints, func(endpoint *Endpoint) bool {
		return endpoint.zone == lb.zone || lb.paths.zoneLateRate(endpoint.zone, now) < limit
	})
}

// preferResponsive keeps to the endpoints that answered this gateway lately where many attempts find no connection: those
// connections may still be open. It guards against endpoints that accept few connections and paths that are closed to this
// gateway alone; it may crowd a few endpoints.
func (lb *Balancer) preferResponsive(endpoints []*Endpoint, now monotonic.Time) []*Endpoint {
	if lb.paths.connectFailureRate < connectFailureThreshold {
		return endpoints
	}
	return filterOrAll(endpoints, func(endpoint *Endpoint) bool { return endpoint.lastResponseAt > now-responsiveTTL })
}

// filterOrAll returns the endpoints that are wanted, or all where none is.
func filterOrAll(endpoints []*Endpoint, wanted func(*Endpoint) bool) []*Endpoint {
	var chosen []*Endpoint
	for _, endpoint := range endpoints {
		if wanted(endpoint) {
			chosen = append(chosen, endpoint)
		}
	}
	if len(chosen) == 0 {
		return endpoints
	}
	return chosen
}
