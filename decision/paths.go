package decision

import (
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
)

const (
	zoneLateMargin = 0.2              // a zone whose late rate exceeds that of the own zone by this is avoided
	zoneLateGain   = 0.15             // weight of each attempt in the smoothed late rate of its zone
	zoneLateDecay  = 15 * time.Second // time constant of the decay of a zone's late rate

	connectFailureThreshold = 0.3 // from this rate on, only endpoints that responded within responsiveTTL are used
	connectFailureGain      = 0.1 // weight of each failure in the smoothed failure rate
	connectFailureDecay     = 0.9 // factor on the failure rate after each success
	responsiveTTL           = 10 * time.Second
)

// pathHealth is the health of the network paths from this gateway to the endpoints.
type pathHealth struct {
	zones              []zoneHealth // by zone
	connectFailureRate float64      // smoothed share of attempts whose connection failed or was lost
}

// zoneHealth is the health of the network path to one zone.
type zoneHealth struct {
	lateRate  float64 // smoothed share of attempts that were late or lost
	updatedAt monotonic.Time
}

// zoneLateRate returns the smoothed share of the attempts to a zone that were late or lost, which decays with time.
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

// preferHealthyZones removes the endpoints of other zones in which far more attempts are late or lost than in the
// gateway's own zone. It guards against paths between zones that are slow, lossy or cut. If the own zone has too few
// endpoints, its answers become late as well, and the other zones are used again.
func (lb *Balancer) preferHealthyZones(endpoints []*Endpoint, now monotonic.Time) []*Endpoint {
	limit := lb.paths.zoneLateRate(lb.zone, now) + zoneLateMargin
	return filterOrAll(endpoints, func(endpoint *Endpoint) bool {
		return endpoint.zone == lb.zone || lb.paths.zoneLateRate(endpoint.zone, now) < limit
	})
}

// preferResponsive keeps only the endpoints that responded to this gateway recently if many attempts fail to connect,
// as their connections may still be open. It guards against endpoints that accept few connections and against paths
// that are closed to this gateway alone. It may concentrate the load on a few endpoints.
func (lb *Balancer) preferResponsive(endpoints []*Endpoint, now monotonic.Time) []*Endpoint {
	if lb.paths.connectFailureRate < connectFailureThreshold {
		return endpoints
	}
	return filterOrAll(endpoints, func(endpoint *Endpoint) bool { return endpoint.lastResponseAt > now-responsiveTTL })
}

// filterOrAll returns the wanted endpoints, or all endpoints if none of them is wanted.
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
