package admission

import (
	"math"

	"laurelring/decision/monotonic"
)

const (
	quotaDecayNanoseconds = 2e9  // time constant over which a tenant's requests are counted, 2 s
	minCountedRequests    = 10   // a tenant with no more requests lately is within its quota
	quotaTolerance        = 1.25 // times its share of the quotas: the share of the requests up to which a tenant is within it
)

// Tenant is one customer of the deployment, with its quota and its requests lately.
type Tenant struct {
	quotaRate      float64 // requests a second, over all gateways
	recentRequests float64 // decayed to countedAt
	countedAt      monotonic.Time
}

// Quotas compares the tenants' shares of this gateway's requests. A gateway does not know the requests of the others, so
// it cannot hold a tenant to a rate.
type Quotas struct{ tenants []*Tenant }

// Add adds a tenant with a quota in requests a second.
func (q *Quotas) Add(quotaRate float64) { q.tenants = append(q.tenants, &Tenant{quotaRate: quotaRate}) }

// Tenants returns the tenants in the order in which they were added.
func (q *Quotas) Tenants() []*Tenant { return q.tenants }

// RecordRequest counts a request of a tenant and reports whether the tenant sends more than its quota allows.
func (q *Quotas) RecordRequest(tenant *Tenant, now monotonic.Time) (overQuota bool) {
	tenant.recentRequests = tenant.requestsUntil(now) + 1
	tenant.countedAt = now
	var quotas, recent float64
	for _, other := range q.tenants {
		quotas += other.quotaRate
		recent += other.requestsUntil(now)
	}
	return tenant.recentRequests > minCountedRequests && tenant.recentRequests/recent > quotaTolerance*tenant.quotaRate/quotas
}

func (t *Tenant) requestsUntil(now monotonic.Time) float64 {
	return t.recentRequests * math.Exp(-float64(now-t.countedAt)/quotaDecayNanoseconds)
}
