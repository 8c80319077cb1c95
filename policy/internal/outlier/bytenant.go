package outlier

// AllTenants is the index in ByTenant of the outcomes of all requests. It is also the index for a request without a tenant.
const AllTenants = 0

// ByTenant holds one server's outcomes: of all requests at AllTenants, then of each tenant.
type ByTenant []Tally

// AddSuccess counts a success of the tenant.
func (o ByTenant) AddSuccess(now float64, tenant int) {
	o[AllTenants].AddSuccess(now)
	if tenant != AllTenants {
		o[tenant].AddSuccess(now)
	}
}

// AddFailure counts a failure of the tenant with the given weight.
func (o ByTenant) AddFailure(now float64, tenant int, weight float64) {
	o[AllTenants].AddFailure(now, weight)
	if tenant != AllTenants {
		o[tenant].AddFailure(now, weight)
	}
}

// FailureRate returns the probability that a request of the tenant fails.
func (o ByTenant) FailureRate(now float64, tenant int) float64 { return o[tenant].FailureRate(now) }
