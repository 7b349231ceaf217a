// Package tufmetrics counts what a client of signed metadata does, as Prometheus metrics.
package tufmetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/tuf"
	"laurelring/internal/verifiedmetadata"
)

// Metrics is a client's observer. The names and labels of the metrics are stable.
type Metrics struct {
	refreshes     *prometheus.CounterVec
	fetches       *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	bytes         prometheus.Counter
	refreshTime   prometheus.Histogram
	mirrorBackoff *prometheus.GaugeVec
	roleLifetime  *prometheus.GaugeVec
	storeFailures prometheus.Counter
}

var _ tuf.Observer = (*Metrics)(nil)

// New returns metrics that are registered at a registerer. It panics where one is registered already.
func New(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		refreshes: counterVec("laurelring_tuf_refreshes_total", "Refreshes by the reason that they ended for.", "reason"),
		fetches:   counterVec("laurelring_tuf_fetches_total", "Fetches of targets by the reason that they ended for.", "reason"),
		attempts:  counterVec("laurelring_tuf_attempts_total", "Attempts at mirrors by how they ended.", "mirror", "how"),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laurelring_tuf_bytes_total", Help: "Bytes that mirrors brought."}),
		refreshTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "laurelring_tuf_refresh_seconds", Help: "What a refresh took.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}), // 5 ms to 41 s
		mirrorBackoff: gaugeVec("laurelring_tuf_mirror_aside_seconds", "How long a mirror is still left alone.", "mirror"),
		roleLifetime:  gaugeVec("laurelring_tuf_role_lasts_seconds", "How long a role's metadata last; below 0 they have expired.", "role"),
		storeFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laurelring_tuf_unkept_total", Help: "Changes that the store did not keep."}),
	}
	registerer.MustRegister(m.refreshes, m.fetches, m.attempts, m.bytes, m.refreshTime, m.mirrorBackoff, m.roleLifetime, m.storeFailures)
	return m
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

// reasonLabel returns the label for an error of a refresh or fetch, which is nil for a success.
func reasonLabel(err error) string {
	if err == nil {
		return "trusted"
	}
	return verifiedmetadata.ReasonOf(err).String()
}

// RefreshFinished counts a refresh.
func (m *Metrics) RefreshFinished(err error, usage tuf.Usage) {
	m.refreshes.WithLabelValues(reasonLabel(err)).Inc()
	m.bytes.Add(float64(usage.Bytes))
	m.refreshTime.Observe(usage.Duration.Seconds())
}

// FetchFinished counts a fetch of a target.
func (m *Metrics) FetchFinished(err error, usage tuf.Usage) {
	m.fetches.WithLabelValues(reasonLabel(err)).Inc()
	m.bytes.Add(float64(usage.Bytes))
}

// AttemptFinished counts an attempt at a mirror.
func (m *Metrics) AttemptFinished(mirror string, outcome mirrorpool.AttemptOutcome) {
	m.attempts.WithLabelValues(mirror, outcome.String()).Inc()
}

// StoreFailed counts a change that could not be stored.
func (m *Metrics) StoreFailed() { m.storeFailures.Inc() }

// StatusReported sets the gauges of roles and mirrors.
func (m *Metrics) StatusReported(status tuf.Status, now int64) {
	for _, role := range status.Roles {
		m.roleLifetime.WithLabelValues(role.Name).Set(time.Duration(role.Expires - now).Seconds())
	}
	for _, mirror := range status.Mirrors {
		m.mirrorBackoff.WithLabelValues(mirror.Name).Set(mirror.Backoff.Seconds())
	}
}
