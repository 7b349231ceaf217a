package admission

import (
	"math"

	"laurelring/decision/monotonic"
)

const (
	// quotaDecayNanoseconds is the time constant of the decaying count of a tenant's requests, 2 s.
	quotaDecayNanoseconds = 2e9
	// minCountedRequests is the number of recent requests up to which a tenant is always within its quota.
	minCountedRequests = 10
	// quotaTolerance is how many times its share of the quotas a tenant's share of the requests may be.
	quotaTolerance = 1.25
)

// Tenant is one customer of the deployment, with its quota and its recent requests.
type Tenant struct {
	quotaRate      float64 // requests per second, over all gateways
	recentRequests float64 // decaying count as of countedAt
	countedAt      monotonic.Time
}

// Quotas compares the tenants' shares of this gateway's requests with their shares of the quotas. As a gateway does
// not know the requests at the other gateways, it cannot enforce a rate.
type Quotas struct{ tenants []*Tenant }

// Add adds a tenant with a quota in requests per second.
func (q *Quotas) Add(quotaRate float64) { q.tenants = append(q.tenants, &Tenant{quotaRate: quotaRate}) }

// Tenants returns the tenants in the order in which they were added.
func (q *Quotas) Tenants() []*Tenant { return q.tenants }

// RecordRequest counts a request of a tenant and reports whether the tenant is over its quota.
func (q *Quotas) RecordRequest(tenant *Tenant, now monotonic.Time) (overQuota bool) {
	tenant.recentRequests = tenant.decayedRequests(now) + 1
	tenant.countedAt = now
	var quotas, recent float64
	for _, other := range q.tenants {
		quotas += other.quotaRate
		recent += other.decayedRequests(now)
	}
	return tenant.recentRequests > minCountedRequests && tenant.recentRequests/recent > quotaTolerance*tenant.quotaRate/quotas
}

// decayedRequests returns the tenant's recent requests, decayed to now.
func (t *Tenant) decayedRequests(now monotonic.Time) float64 {
	return t.recentRequests * math.Exp(-float64(now-t.countedAt)/quotaDecayNanoseconds)
}
