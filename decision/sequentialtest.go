package decision

import (
	"math"
)

const (
	// The pair test, as the design page gives it.
	phi   = 1.0
	alpha = 0.05
)

// product is one build's factor of the paper's pair test, in logarithms:
// M = phi^phi / (phi+L)^(phi+n) * Gamma(phi+n) / Gamma(phi) * e^L.
func logPoissonFactor(n, l float64) float64 {
	a, _ := math.Lgamma(phi + n)
	b, _ := math.Lgamma(phi)
	return phi*math.Log(phi) - (phi+n)*math.Log(phi+l) + a - b + l
}

// joint is the test's product over both builds, in logarithms, where L is attempts times the joint failure
// rate; it speaks against the trial only where the trial fails above its L. No attempts give 1.
func logPairFactor(trialTries, trialFails, baseTries, baseFails float64) float64 {
	if trialTries == 0 || baseTries == 0 {
		return 0
	}
	rate := (trialFails + baseFails) / (trialTries + baseTries)
	e := logPoissonFactor(trialFails, trialTries*rate) + logPoissonFactor(baseFails, baseTries*rate)
	if trialFails <= trialTries*rate {
		return min(e, 0)
	}
	return e
}

// attempts is joint where the trial fails enough more: so small a difference is not worth a way back
// (guards against a few failing machines; where harm is dear, less is borne of builds that fail a little).
func logFailureFactor(trialTries, trialFails, baseTries, baseFails, may float64) float64 {
	if baseTries == 0 || trialFails <= trialTries*(baseFails/baseTries+may) {
		return 0
	}
	return logPairFactor(trialTries, trialFails, baseTries, baseFails)
}

// meanOf is the mean of products given in logarithms.
func logMeanExp(logs []float64) float64 {
	top, mean := logs[0], 0.0
	for _, l := range logs {
		top = max(top, l)
	}
	for _, l := range logs {
		mean += math.Exp(l-top) / float64(len(logs))
	}
	return top + math.Log(mean)
}
