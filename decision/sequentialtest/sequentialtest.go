// Package sequentialtest compares the failure rate of a canary build with that of the baseline. The test may be
// evaluated any number of times without raising its false positive rate.
//
// It is the pair test of "Anytime-Valid Continuous-Time Confidence Processes for Inhomogeneous Poisson Processes":
// under the null hypothesis that both builds fail at the same rate, the product of their mixture factors is an
// e-process. The probability that it ever reaches 1/alpha is therefore at most alpha, however often it is evaluated.
// All functions are pure and use natural logarithms, as the factors themselves exceed the range of a float64.
package sequentialtest

import "math"

const (
	// phi is the value of both parameters of the log-gamma mixture over the alternatives.
	phi = 1.0
	// alpha bounds the probability that a build which fails no more than the baseline is ever rejected.
	alpha = 0.05
)

// Counts holds the number of attempts at one build and of those that failed.
type Counts struct {
	Attempts float64
	Failures float64
}

// Add returns the sum of both counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{Attempts: c.Attempts + other.Attempts, Failures: c.Failures + other.Failures}
}

// LogThreshold returns the logarithm of 1/alpha. Evidence that reaches it rejects the canary.
func LogThreshold() float64 { return math.Log(1 / alpha) }

// logMixtureFactor returns the logarithm of one build's factor, the paper's closed form of the mixture:
//
//	M(n, L) = phi^phi / (phi+L)^(phi+n) * Gamma(phi+n) / Gamma(phi) * e^L
//
// n is the number of failures of the build, and L is the number expected under the null hypothesis.
func logMixtureFactor(failures, expected float64) float64 {
	logGammaPosterior, _ := math.Lgamma(phi + failures)
	logGammaPrior, _ := math.Lgamma(phi)
	return phi*math.Log(phi) - (phi+failures)*math.Log(phi+expected) + logGammaPosterior - logGammaPrior + expected
}

// LogPairFactor returns the logarithm of the product of both builds' factors, where the expected failures of a build
// are its attempts times the joint failure rate. The paper assumes equal exposure of both builds; unequal attempts
// are an extension. The product is evidence against the canary only if the canary fails more often than expected, and
// otherwise is limited to 1. If either side has no attempts, the product is 1.
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

// LogFailureFactor returns LogPairFactor if the canary's failure rate exceeds the baseline's by more than margin, and
// 0 otherwise, as a smaller difference does not justify a rollback. The margin prevents a rollback because of a few
// endpoints that fail for reasons other than their build.
func LogFailureFactor(canary, baseline Counts, margin float64) float64 {
	if baseline.Attempts == 0 || canary.Failures <= canary.Attempts*(baseline.Failures/baseline.Attempts+margin) {
		return 0
	}
	return LogPairFactor(canary, baseline)
}

// LogMean returns the logarithm of the mean of factors that are given by their logarithms. There must be at least
// one. A mean of e-processes is an e-process as well, so several tests of the same outcomes together keep the level
// alpha.
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
