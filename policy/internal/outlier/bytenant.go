package outlier

// AllTenants is the place of the outcomes of all requests among a server's, and the tenant of a request that has none.
const AllTenants = 0

// ByTenant is one server's outcomes: those of all requests, then by tenant.
type ByTenant []Tally

// AddSuccess counts a success of the tenant's.
func (o ByTenant) AddSuccess(now float64, tenant int) {
	o[AllTenants].AddSuccess(now)
	if tenant != AllTenants {
		o[tenant].AddSuccess(now)
	}
}

// AddFailure counts a failure of the tenant's of that weight.
func (o ByTenant) AddFailure(now float64, tenant int, weight float64) {
	o[AllTenants].AddFailure(now, weight)
	if tenant != AllTenants {
		o[tenant].AddFailure(now, weight)
	}
}

// FailureRate is the probability of a failure for the tenant.
func (o ByTenant) FailureRate(now float64, tenant int) float64 { return o[tenant].FailureRate(now) }
