package decision

import (
	"slices"
	"time"

	"laurelring/decision/decay"
	"laurelring/decision/monotonic"
)

const (
	observationDecay   = 2 * time.Second // time constant of the decay of an endpoint's results
	outlierMinLosses   = 3.0             // decayed number of lost attempts from which an endpoint can become an outlier
	outlierLossMargin  = 0.5             // an outlier's loss rate exceeds the median of its build by more than this
	outlierProbeShare  = 0.04            // share of the requests that may still use an outlier
	minResultsForRates = 0.5             // decayed number of results below which an endpoint's rates are not used
)

// endpointResults holds the successful and lost attempts of all gateways at an endpoint, as far as this gateway knows
// them. An attempt is lost if it ends with an error, a timeout, a failed or lost connection or a cancellation, and as
// soon as it is overdue.
type endpointResults struct {
	decayedSuccesses, decayedLosses float64 // as of decayedAt
	decayedAt                       monotonic.Time
}

// recordResults counts attempts at an endpoint, made by this gateway or by a peer. If both numbers are 0, it only
// decays the earlier results.
func (endpoint *Endpoint) recordResults(successes, losses int, now monotonic.Time) {
	decayFactor := decay.Factor(endpoint.decayedAt, now, observationDecay)
	endpoint.decayedSuccesses = endpoint.decayedSuccesses*decayFactor + float64(successes)
	endpoint.decayedLosses = endpoint.decayedLosses*decayFactor + float64(losses)
	endpoint.decayedAt = now
}

// recordOwnResults counts attempts of this gateway, and adds them to its next evidence report.
func (endpoint *Endpoint) recordOwnResults(successes, losses int, now monotonic.Time) {
	endpoint.recordResults(successes, losses, now)
	endpoint.unreported.successes += successes
	endpoint.unreported.losses += losses
}

// lossRate returns the share of the recent attempts that were lost. The 1 in the denominator keeps the rate low while
// there are few results.
func (endpoint *Endpoint) lossRate() float64 {
	return endpoint.decayedLosses / (endpoint.decayedSuccesses + endpoint.decayedLosses + 1)
}

// detectOutliers returns the endpoints at which all gateways together lose far more attempts than at other endpoints of
// the same build. One gateway among hundreds sends an endpoint too few requests to notice in time that it hangs, is
// dead or fails. If most endpoints of a build lose attempts, or only some gateways lose them, no endpoint is an
// outlier. An outlier remains one until outlierUntil with fewer than outlierMinLosses, as long as its loss rate stays
// that high.
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

// buildRates holds the sorted error and loss rates of one build's ready endpoints.
type buildRates struct {
	build                 int
	errorRates, lossRates []float64
}

// updateRatesByBuild collects and sorts, for each build, the error and loss rates of the ready endpoints that have
// recent results.
func (lb *Balancer) updateRatesByBuild() {
	all := lb.ratesByBuild[:0]
	for _, endpoint := range lb.endpoints {
		if !endpoint.ready || endpoint.decayedSuccesses+endpoint.decayedLosses < minResultsForRates {
			continue
		}
		i := slices.IndexFunc(all, func(rates buildRates) bool { return rates.build == endpoint.build })
		if i < 0 {
			i, all = len(all), append(all, buildRates{build: endpoint.build})
		}
		rates := &all[i]
		rates.errorRates, rates.lossRates = append(rates.errorRates, endpoint.errorRate), append(rates.lossRates, endpoint.lossRate())
	}
	for _, rates := range all {
		slices.Sort(rates.errorRates)
		slices.Sort(rates.lossRates)
	}
	lb.ratesByBuild = all
}

// medianRatesOfOthers returns the median error and loss rates of the n other ready endpoints of an endpoint's build, as
// of the last call of updateRatesByBuild. Errors that most of them have are caused by the build and are no reason to
// eject one endpoint. Without other endpoints both rates are 1.
func (lb *Balancer) medianRatesOfOthers(endpoint *Endpoint) (errorRate, lossRate float64, n int) {
	for _, rates := range lb.ratesByBuild {
		if n = len(rates.errorRates) - 1; rates.build == endpoint.build && n > 0 {
			return medianExcluding(rates.errorRates, endpoint.errorRate), medianExcluding(rates.lossRates, endpoint.lossRate()), n
		}
	}
	return 1, 1, 0
}

// medianExcluding returns the median of sorted values without one of them, which is given as own. If two values are in
// the middle, it returns the larger one.
func medianExcluding(sorted []float64, own float64) float64 {
	middle := (len(sorted) - 1) / 2
	if own <= sorted[middle] {
		middle++
	}
	return sorted[middle]
}
