// Package sequentialtest compares the failure rate of a canary build with that of the baseline, as often as one likes.
//
// It is the pair test of "Anytime-Valid Continuous-Time Confidence Processes for Inhomogeneous Poisson Processes": under the
// null hypothesis that both builds fail at the same rate, the product of their mixture factors is an e-process, so it ever
// reaches 1/alpha with a probability of at most alpha, however often one looks. All functions are pure and work with natural
// logarithms, as the factors themselves leave the range of a float64.
package sequentialtest

import "math"

const (
	// phi is both parameters of the log-gamma mixture over the alternatives.
	phi = 1.0
	// alpha bounds the probability that a build which fails no more than the baseline is ever rejected.
	alpha = 0.05
)

// Counts is what was counted of one build.
type Counts struct {
	Attempts float64
	Failures float64
}

// Add returns the sum of both counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{Attempts: c.Attempts + other.Attempts, Failures: c.Failures + other.Failures}
}

// LogThreshold returns the logarithm of 1/alpha: evidence that reaches it rejects the canary.
func LogThreshold() float64 { return math.Log(1 / alpha) }

// logMixtureFactor returns the logarithm of one build's factor, the paper's closed form of the mixture:
//
//	M(n, L) = phi^phi / (phi+L)^(phi+n) * Gamma(phi+n) / Gamma(phi) * e^L
//
// n is the number of the build's failures, L the number that is expected under the null hypothesis.
func logMixtureFactor(failures, expected float64) float64 {
	logGammaPosterior, _ := math.Lgamma(phi + failures)
	logGammaPrior, _ := math.Lgamma(phi)
	return phi*math.Log(phi) - (phi+failures)*math.Log(phi+expected) + logGammaPosterior - logGammaPrior + expected
}

// LogPairFactor returns the logarithm of the product of both builds' factors, where each build's expected failures are its
// attempts times the joint failure rate. The paper takes equal exposure of both; unequal attempts are an extension. The
// product speaks against the canary only where the canary fails more often than expected: else it is at most 1. Without
// attempts on either side it is 1.
func LogPairFactor(canary, baseline Counts) float64 {
	if canary.Attempts == 0 || baseline.Attempts == 0 {
		return 0
	}
	joint := canary.Add(baseline)
	rate := joint.Failures / joint.Attempts
	expected := canary.Attempts * rate
	logFactor := logMixtureFactor(canary.Failures, expected) + logMixtureFactor(baseline.Failures, baseline.Attempts*rate)
	if canary.Failures <= expected {
		return min(logFactor, 0)
	}
	return logFactor
}

// LogFailureFactor is LogPairFactor where the canary's failure rate exceeds the baseline's by more than margin, and 0
// otherwise: a smaller difference does not justify a rollback. It guards against a few endpoints that fail by themselves.
func LogFailureFactor(canary, baseline Counts, margin float64) float64 {
	if baseline.Attempts == 0 || canary.Failures <= canary.Attempts*(baseline.Failures/baseline.Attempts+margin) {
		return 0
	}
	return LogPairFactor(canary, baseline)
}

// LogMean returns the logarithm of the mean of factors that are given by their logarithms, of which there must be at least
// one. A mean of e-processes is one as well, so several looks at the same outcomes keep the level alpha.
func LogMean(logFactors []float64) float64 {
	largest, mean := logFactors[0], 0.0
	for _, logFactor := range logFactors {
		largest = max(largest, logFactor)
	}
	for _, logFactor := range logFactors {
		mean += math.Exp(logFactor-largest) / float64(len(logFactors))
	}
	return largest + math.Log(mean)
}
