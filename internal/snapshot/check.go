package snapshot

import (
	"fmt"
	"net"
	"strings"
	"unicode/utf8"

	"plankrouter/internal/endpoints"
)

// Bounds of the parts of a snapshot.
const (
	maxServers        = maxElements
	maxTenants        = 4096
	maxClasses        = 1024
	maxTextBytes      = 512 // bytes of a name or address
	maxKeepaliveBytes = 1 << 18
	maxNumber         = 1e15            // times in ms, counts and sums stay far below it, and its square is finite
	maxUnixMs         = 253402300799999 // end of the year 9999
)

// check returns a *FieldError for the first field whose value is out of bounds.
func (s *Snapshot) check() error {
	if t := s.TakenAt.UnixMilli(); t < 0 || t > maxUnixMs {
		return &FieldError{"TakenAt", fmt.Sprintf("%d Unix ms is out of range", t)}
	}
	if err := checkStrings("Program Deployment Discovery", s.Program, s.Deployment, s.Discovery); err != nil {
		return err
	}
	if err := checkCount("Members", len(s.Members), maxServers); err != nil {
		return err
	}
	if err := checkCount("Keepalive", len(s.Keepalive), maxKeepaliveBytes); err != nil {
		return err
	}
	seen := make(map[string]bool, len(s.Members))
	for i := range s.Members {
		if err := s.Members[i].check(seen); err != nil {
			return err.in("Members[%d].", i)
		}
	}
	if err := s.Learned.check(); err != nil {
		return err.in("Learned.")
	}
	return nil
}

// in returns the error with the path of its field prefixed. The check functions return nil if the values are valid.
func (e *FieldError) in(format string, args ...any) *FieldError {
	return &FieldError{fmt.Sprintf(format, args...) + e.Field, e.Problem}
}

func (m *Member) check(seen map[string]bool) *FieldError {
	if err := checkName("ID", m.ID, seen); err != nil {
		return err
	}
	if err := checkStrings("Address Zone Phase", m.Address, m.Zone, m.Phase); err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(m.Address); err != nil && m.Phase == endpoints.Serving {
		return &FieldError{"Address", fmt.Sprintf("%q is not host:port", m.Address)}
	}
	return checkNumbers("StartedAt PhaseSince Age", m.StartedAt, m.PhaseSince, m.Age)
}

func (l *Learned) check() *FieldError {
	for _, err := range []*FieldError{
		checkNumbers("Now FleetLatency OwnInFlight TotalInFlight Arrivals.Value Arrivals.At Sends.Value Sends.At Fit.SumLoadSquared Fit.SumLoadLatency Fit.FittedAt", l.Now,
			l.FleetLatency, l.OwnInFlight, l.TotalInFlight, l.Arrivals.Value, l.Arrivals.At, l.Sends.Value, l.Sends.At, l.Fit.SumLoadSquared,
			l.Fit.SumLoadLatency, l.Fit.FittedAt),
		checkFractions("MedianErrorRate", l.MedianErrorRate),
		checkCount("Servers", len(l.Servers), maxServers),
		checkCount("Tenants", len(l.Tenants), maxTenants),
		checkCount("Fit.Classes", len(l.Fit.Classes), maxClasses),
	} {
		if err != nil {
			return err
		}
	}
	for i, b := range l.Tenants {
		if err := checkNumbers("Tokens At", b.Tokens, b.At); err != nil {
			return err.in("Tenants[%d].", i)
		}
	}
	for i, c := range l.Fit.Classes {
		if err := checkNumbers("Count Sum", c.Count, c.Sum); err != nil {
			return err.in("Fit.Classes[%d].", i)
		}
	}
	seen := make(map[string]bool, len(l.Servers))
	for i := range l.Servers {
		if err := l.Servers[i].check(seen); err != nil {
			return err.in("Servers[%d].", i)
		}
	}
	return nil
}

func (s *LearnedServer) check(seen map[string]bool) *FieldError {
	if err := checkName("Name", s.Name, seen); err != nil {
		return err
	}
	if err := checkNumbers("StartedAt Latency ReportedAt RoundTrip", s.StartedAt, s.Latency, s.ReportedAt, s.RoundTrip); err != nil {
		return err
	}
	if err := checkNumbers("SlowStartBudget.Value SlowStartBudget.At", s.SlowStartBudget.Value, s.SlowStartBudget.At); err != nil {
		return err
	}
	if err := checkFractions("ErrorRate", s.ErrorRate); err != nil {
		return err
	}
	if err := checkCount("Outcomes", len(s.Outcomes), maxTenants+1); err != nil {
		return err
	}
	for i, t := range s.Outcomes {
		if err := checkNumbers("Successes Failures At", t.Successes, t.Failures, t.At); err != nil {
			return err.in("Outcomes[%d].", i)
		}
		if i > 0 && t.Tenant <= s.Outcomes[i-1].Tenant {
			return &FieldError{fmt.Sprintf("Outcomes[%d].Tenant", i), fmt.Sprintf("%d after %d", t.Tenant, s.Outcomes[i-1].Tenant)}
		}
	}
	return nil
}

// checkNumbers checks that values are between 0 and maxNumber. Here and in checkFractions and checkStrings, names lists the
// field names of values in the same order, separated by spaces.
func checkNumbers(names string, values ...float64) *FieldError {
	for i, v := range values {
		if !(v >= 0 && v <= maxNumber) { // also true for NaN
			return &FieldError{strings.Fields(names)[i], fmt.Sprintf("%g is negative, too large or not a number", v)}
		}
	}
	return nil
}

// checkFractions checks that values are between 0 and 1.
func checkFractions(names string, values ...float64) *FieldError {
	for i, v := range values {
		if !(v >= 0 && v <= 1) {
			return &FieldError{strings.Fields(names)[i], fmt.Sprintf("%g is not within 0 and 1", v)}
		}
	}
	return nil
}

// checkStrings checks that values are valid UTF-8 of at most maxTextBytes.
func checkStrings(names string, values ...string) *FieldError {
	for i, v := range values {
		if len(v) > maxTextBytes || !utf8.ValidString(v) {
			return &FieldError{strings.Fields(names)[i], fmt.Sprintf("over %d bytes or not UTF-8", maxTextBytes)}
		}
	}
	return nil
}

// checkName checks that a name is valid, not empty and not in seen, and adds it there.
func checkName(field, v string, seen map[string]bool) *FieldError {
	if v == "" || seen[v] {
		return &FieldError{field, fmt.Sprintf("%.64q is empty or given twice", v)}
	}
	seen[v] = true
	return checkStrings(field, v)
}

// checkCount checks that a list has at most limit elements.
func checkCount(field string, n, limit int) *FieldError {
	if n > limit {
		return &FieldError{field, fmt.Sprintf("%d elements, the limit is %d", n, limit)}
	}
	return nil
}
