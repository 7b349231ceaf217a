// Package tufmetrics counts what a client of signed metadata does, for who looks for a cause.
package tufmetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/tuf"
	"laurelring/internal/verifiedmetadata"
)

// Metrics are told by a client, as its watcher.
type Metrics struct {
	refreshes *prometheus.CounterVec
	fetches   *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	bytes     prometheus.Counter
	seconds   prometheus.Histogram
	aside     *prometheus.GaugeVec
	lasts     *prometheus.GaugeVec
	lost      prometheus.Counter
}

// New registers them.
func New(at prometheus.Registerer) *Metrics {
	m := &Metrics{
		refreshes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "laurelring_tuf_refreshes_total",
			Help: "Refreshes by the reason that they ended for."}, []string{"reason"}),
		fetches: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "laurelring_tuf_fetches_total",
			Help: "Fetches of targets by the reason that they ended for."}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "laurelring_tuf_attempts_total",
			Help: "Attempts at mirrors by how they ended."}, []string{"mirror", "how"}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{Name: "laurelring_tuf_bytes_total", Help: "Bytes that mirrors brought."}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "laurelring_tuf_refresh_seconds",
			Help: "What a refresh took.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}),
		aside: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "laurelring_tuf_mirror_aside_seconds",
			Help: "How long a mirror is still left alone."}, []string{"mirror"}),
		lasts: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "laurelring_tuf_role_lasts_seconds",
			Help: "How long a role's metadata last; below 0 they have expired."}, []string{"role"}),
		lost: prometheus.NewCounter(prometheus.CounterOpts{Name: "laurelring_tuf_unkept_total", Help: "Changes that the store did not keep."}),
	}
	at.MustRegister(m.refreshes, m.fetches, m.attempts, m.bytes, m.seconds, m.aside, m.lasts, m.lost)
	return m
}

func reasonOf(refused error) string {
	if refused == nil {
		return "trusted"
	}
	return verifiedmetadata.ReasonOf(refused).String()
}

// Refreshed tells how a refresh ended.
func (m *Metrics) RefreshFinished(refused error, spent tuf.Usage) {
	m.refreshes.WithLabelValues(reasonOf(refused)).Inc()
	m.bytes.Add(float64(spent.Bytes))
	m.seconds.Observe(time.Duration(spent.Duration).Seconds())
}

// Fetched tells how a fetch of a target ended.
func (m *Metrics) FetchFinished(refused error, spent tuf.Usage) {
	m.fetches.WithLabelValues(reasonOf(refused)).Inc()
	m.bytes.Add(float64(spent.Bytes))
}

// Tried tells how an attempt at a mirror ended.
func (m *Metrics) AttemptFinished(name string, how mirrorpool.AttemptOutcome) {
	m.attempts.WithLabelValues(name, how.String()).Inc()
}

// Unkept tells that the store did not keep a change.
func (m *Metrics) StoreFailed() { m.lost.Inc() }

// Standing tells how the roles and the mirrors are.
func (m *Metrics) StatusReported(s tuf.Status, now int64) {
	for _, r := range s.Roles {
		m.lasts.WithLabelValues(r.Name).Set(time.Duration(r.Expires - now).Seconds())
	}
	for _, one := range s.Mirrors {
		m.aside.WithLabelValues(one.Name).Set(time.Duration(one.Backoff).Seconds())
	}
}
