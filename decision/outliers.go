package decision

import (
	"slices"
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
)

const (
	observationDecay   = 2 * time.Second // time constant over which the gateways' results at an endpoint are counted
	outlierMinLosses   = 3.0             // an outlier has lost at least so many attempts lately,
	outlierLossMargin  = 0.5             // and a share of all that is so much above the median of its build
	outlierProbeShare  = 0.04            // of the requests may try an outlier
	minResultsForRates = 0.5             // an endpoint with fewer results lately is not ranked
)

// endpointResults are the answered and lost attempts of all gateways at an endpoint, as far as they are known here.
type endpointResults struct {
	decayedSuccesses, decayedLosses float64 // decayed to decayedAt
	decayedAt                       monotonic.Time
}

// recordResults counts attempts at an endpoint, of this gateway or of a peer. With zeros it only lets the older ones decay.
func (endpoint *Endpoint) recordResults(successes, losses int, now monotonic.Time) {
	left := decay.Factor(endpoint.decayedAt, now, observationDecay)
	endpoint.decayedSuccesses = endpoint.decayedSuccesses*left + float64(successes)
	endpoint.decayedLosses = endpoint.decayedLosses*left + float64(losses)
	endpoint.decayedAt = now
}

// recordOwnResults counts attempts of this gateway, for the next report to the voters as well.
func (endpoint *Endpoint) recordOwnResults(successes, losses int, now monotonic.Time) {
	endpoint.recordResults(successes, losses, now)
	endpoint.unreported.successes += successes
	endpoint.unreported.losses += losses
}

// lossRate is the share of the attempts that were lost lately.
func (endpoint *Endpoint) lossRate() float64 {
	return endpoint.decayedLosses / (endpoint.decayedSuccesses + endpoint.decayedLosses + 1)
}

// detectOutliers returns the endpoints at which the gateways together lose far more attempts than at others of the same
// build. One gateway among hundreds meets an endpoint too seldom to see in time that it hangs, is dead or fails. Where most
// endpoints of a build lose attempts, or only some gateways do, there is no outlier. One that lost much stays one a while.
func (lb *Balancer) detectOutliers(now monotonic.Time) []*Endpoint {
	var outliers []*Endpoint
	for _, endpoint := range lb.endpoints {
		endpoint.recordResults(0, 0, now)
		if _, others, n := lb.medianRatesOfOthers(endpoint); endpoint.ready && n >= 2 && len(outliers) < maxObservations &&
			(endpoint.decayedLosses >= outlierMinLosses || now < endpoint.outlierUntil) && endpoint.lossRate() > outlierLossMargin+others {
			endpoint.outlierUntil = now + voterReportTTL
			outliers = append(outliers, endpoint)
		}
	}
	return outliers
}

// buildRates holds the sorted figures of one build's ready endpoints.
type buildRates struct {
	build                 int
	errorRates, lossRates []float64
}

// updateRatesByBuild sorts the error and loss rates of the ready endpoints of each build, of those with results lately.
func (lb *Balancer) updateRatesByBuild() {
	all := lb.ratesByBuild[:0]
	for _, endpoint := range lb.endpoints {
		if !endpoint.ready || endpoint.decayedSuccesses+endpoint.decayedLosses < minResultsForRates {
			continue
		}
		i := slices.IndexFunc(all, func(ranking buildRates) bool { return ranking.build == endpoint.build })
		if i < 0 {
			i, all = len(all), append(all, buildRates{build: endpoint.build})
		}
		ranking := &all[i]
		ranking.errorRates, ranking.lossRates = append(ranking.errorRates, endpoint.errorRate), append(ranking.lossRates, endpoint.lossRate())
	}
	for _, ranking := range all {
		slices.Sort(ranking.errorRates)
		slices.Sort(ranking.lossRates)
	}
	lb.ratesByBuild = all
}

// medianRatesOfOthers returns the medians over the n other ready endpoints of an endpoint's build, as last ranked: what most of
// them suffer is the build's, and no reason to eject one. Without others both rates are 1.
func (lb *Balancer) medianRatesOfOthers(endpoint *Endpoint) (errorRate, lossRate float64, n int) {
	for _, ranking := range lb.ratesByBuild {
		if n = len(ranking.errorRates) - 1; ranking.build == endpoint.build && n > 0 {
			return medianExcluding(ranking.errorRates, endpoint.errorRate), medianExcluding(ranking.lossRates, endpoint.lossRate()), n
		}
	}
	return 1, 1, 0
}

// medianExcluding returns the median of sorted figures without one of them; of two middle ones the upper.
func medianExcluding(sorted []float64, own float64) float64 {
	at := (len(sorted) - 1) / 2
	if own <= sorted[at] {
		at++
	}
	return sorted[at]
}
