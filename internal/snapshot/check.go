package snapshot

import (
	"fmt"
	"net"
	"plankrouter/internal/endpoints"
	"strings"
	"unicode/utf8"
)

// Bounds of a snapshot's parts.
const (
	maxServers    = maxElements
	maxTenants    = 4096
	maxClasses    = 1024
	maxTextBytes  = 512     // bytes of a name or address
	maxReuseBytes = 1 << 18 // bytes
	maxNumber     = 1e15    // no time in ms, count or sum comes near it, and its square is still a number
	maxUnixMs     = 253402300799999
)

// check returns a *FieldError for a field with a value that no sidecar can have learned.
func (s *Snapshot) check() error {
	if t := s.TakenAt.UnixMilli(); t < 0 || t > maxUnixMs {
		return &FieldError{"TakenAt", fmt.Sprintf("%d Unix ms is no time", t)}
	}
	if err := checkTexts("Program Deployment Discovery", s.Program, s.Deployment, s.Discovery); err != nil {
		return err
	}
	if err := checkCount("Members", len(s.Members), maxServers); err != nil {
		return err
	}
	if err := checkCount("Reuse", len(s.Reuse), maxReuseBytes); err != nil {
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

// in puts the field of the error into an outer one. The checks below return a *FieldError, nil if all is well.
func (e *FieldError) in(format string, args ...any) *FieldError {
	return &FieldError{fmt.Sprintf(format, args...) + e.Field, e.Problem}
}

func (m *Member) check(seen map[string]bool) *FieldError {
	if err := checkName("ID", m.ID, seen); err != nil {
		return err
	}
	if err := checkTexts("Address Locality Phase", m.Address, m.Locality, m.Phase); err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(m.Address); err != nil && m.Phase == endpoints.Serving {
		return &FieldError{"Address", fmt.Sprintf("%q is not host:port", m.Address)}
	}
	return checkNumbers("UpSince ToldAt Age", m.UpSince, m.ToldAt, m.Age)
}

func (l *Learned) check() *FieldError {
	for _, err := range []*FieldError{
		checkNumbers("Now FleetLatency FracOwn FracAll Arrivals.V Arrivals.At Sends.V Sends.At Fit.XX Fit.XY Fit.At", l.Now,
			l.FleetLatency, l.FracOwn, l.FracAll, l.Arrivals.V, l.Arrivals.At, l.Sends.V, l.Sends.At, l.Fit.XX,
			l.Fit.XY, l.Fit.At),
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
		if err := checkNumbers("N Sum", c.N, c.Sum); err != nil {
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
	if err := checkNumbers("StartedAt Latency ReportAt Network", s.StartedAt, s.Latency, s.ReportAt, s.Network); err != nil {
		return err
	}
	if err := checkNumbers("Cold.V Cold.At", s.Cold.V, s.Cold.At); err != nil {
		return err
	}
	if err := checkFractions("Failing", s.Failing); err != nil {
		return err
	}
	if err := checkCount("By", len(s.By), maxTenants+1); err != nil {
		return err
	}
	for i, t := range s.By {
		if err := checkNumbers("Oks Misses At", t.Oks, t.Misses, t.At); err != nil {
			return err.in("By[%d].", i)
		}
		if i > 0 && t.Who <= s.By[i-1].Who {
			return &FieldError{fmt.Sprintf("By[%d].Who", i), fmt.Sprintf("%d after %d", t.Who, s.By[i-1].Who)}
		}
	}
	return nil
}

// checkNumbers checks that values are finite and not negative. Their names are given in their order, with spaces between.
func checkNumbers(names string, values ...float64) *FieldError {
	for i, v := range values {
		if !(v >= 0 && v <= maxNumber) { // which NaN is not either
			return &FieldError{strings.Fields(names)[i], fmt.Sprintf("%g is negative, infinite or no number", v)}
		}
	}
	return nil
}

// checkFractions checks that values lie within 0 and 1.
func checkFractions(names string, values ...float64) *FieldError {
	for i, v := range values {
		if !(v >= 0 && v <= 1) {
			return &FieldError{strings.Fields(names)[i], fmt.Sprintf("%g is not within 0 and 1", v)}
		}
	}
	return nil
}

// checkTexts checks that values are of a moderate length and UTF-8.
func checkTexts(names string, values ...string) *FieldError {
	for i, v := range values {
		if len(v) > maxTextBytes || !utf8.ValidString(v) {
			return &FieldError{strings.Fields(names)[i], fmt.Sprintf("over %d bytes or not UTF-8", maxTextBytes)}
		}
	}
	return nil
}

// checkName checks that a name is there and was not seen before.
func checkName(field, v string, seen map[string]bool) *FieldError {
	if v == "" || seen[v] {
		return &FieldError{field, fmt.Sprintf("%.64q is empty or given twice", v)}
	}
	seen[v] = true
	return checkTexts(field, v)
}

// checkCount checks that a list is not too long.
func checkCount(field string, n, limit int) *FieldError {
	if n > limit {
		return &FieldError{field, fmt.Sprintf("%d of them, the limit is %d", n, limit)}
	}
	return nil
}
