// Package tufmetrics exports the events and the status of a TUF client as Prometheus metrics.
package tufmetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/tuf"
	"laurelring/internal/verifiedmetadata"
)

// Metrics is a tuf.Observer that updates Prometheus metrics. The names and labels of the metrics are stable.
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

// New creates the metrics and registers them with a registerer. It panics if one of them is already registered.
func New(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		refreshes: counterVec("laurelring_tuf_refreshes_total", "Metadata refreshes by result: trusted, or the reason of the failure.", "reason"),
		fetches:   counterVec("laurelring_tuf_fetches_total", "Target fetches by result: trusted, or the reason of the failure.", "reason"),
		attempts:  counterVec("laurelring_tuf_attempts_total", "Attempts at mirrors by outcome.", "mirror", "how"),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laurelring_tuf_bytes_total", Help: "Bytes received from mirrors."}),
		refreshTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "laurelring_tuf_refresh_seconds", Help: "Duration of a metadata refresh.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}), // 5 ms to 41 s
		mirrorBackoff: gaugeVec("laurelring_tuf_mirror_aside_seconds", "Remaining backoff of a mirror.", "mirror"),
		roleLifetime:  gaugeVec("laurelring_tuf_role_lasts_seconds", "Time until the metadata of a role expires; negative after its expiration.", "role"),
		storeFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laurelring_tuf_unkept_total", Help: "Failed attempts to store changed metadata."}),
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

// reasonLabel returns the label value for the error of a refresh or a fetch, "trusted" if it is nil.
func reasonLabel(err error) string {
	if err == nil {
		return "trusted"
	}
	return verifiedmetadata.ReasonOf(err).String()
}

// RefreshFinished counts a refresh and its bytes and records its duration.
func (m *Metrics) RefreshFinished(err error, usage tuf.Usage) {
	m.refreshes.WithLabelValues(reasonLabel(err)).Inc()
	m.bytes.Add(float64(usage.Bytes))
	m.refreshTime.Observe(usage.Duration.Seconds())
}

// FetchFinished counts a fetch of a target and its bytes.
func (m *Metrics) FetchFinished(err error, usage tuf.Usage) {
	m.fetches.WithLabelValues(reasonLabel(err)).Inc()
	m.bytes.Add(float64(usage.Bytes))
}

// AttemptFinished counts an attempt at a mirror.
func (m *Metrics) AttemptFinished(mirror string, outcome mirrorpool.AttemptOutcome) {
	m.attempts.WithLabelValues(mirror, outcome.String()).Inc()
}

// StoreFailed counts a failed attempt to store changed metadata.
func (m *Metrics) StoreFailed() { m.storeFailures.Inc() }

// StatusReported sets the gauges of roles and mirrors from a status.
func (m *Metrics) StatusReported(status tuf.Status, now int64) {
	for _, role := range status.Roles {
		m.roleLifetime.WithLabelValues(role.Name).Set(time.Duration(role.Expires - now).Seconds())
	}
	for _, mirror := range status.Mirrors {
		m.mirrorBackoff.WithLabelValues(mirror.Name).Set(mirror.Backoff.Seconds())
	}
}
