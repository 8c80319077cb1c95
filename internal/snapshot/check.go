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
	mostProviders = mostElements
	mostTenants   = 4096
	mostClasses   = 1024
	mostText      = 512     // bytes of a name or address
	mostReuse     = 1 << 18 // bytes
	mostFigure    = 1e15    // no time in ms, count or sum comes near it, and its square is still a number
	lastTime      = 253402300799999
)

// check says which field holds what no sidecar has learned.
func (s *Snapshot) check() error {
	if t := s.TakenAt.UnixMilli(); t < 0 || t > lastTime {
		return &FieldError{"TakenAt", fmt.Sprintf("%d Unix ms is no time", t)}
	}
	if err := texts("Program Deployment Directory", s.Program, s.Deployment, s.Directory); err != nil {
		return err
	}
	if err := count("Members", len(s.Members), mostProviders); err != nil {
		return err
	}
	if err := count("Reuse", len(s.Reuse), mostReuse); err != nil {
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

// The checks return a *FieldError, nil if all is well; in tells where the field lies.
func (e *FieldError) in(format string, args ...any) *FieldError {
	return &FieldError{fmt.Sprintf(format, args...) + e.Field, e.Why}
}

func (m *Member) check(seen map[string]bool) *FieldError {
	if err := name("ID", m.ID, seen); err != nil {
		return err
	}
	if err := texts("Address Locality Phase", m.Address, m.Locality, m.Phase); err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(m.Address); err != nil && m.Phase == endpoints.Serving {
		return &FieldError{"Address", fmt.Sprintf("%q is not host:port", m.Address)}
	}
	return figures("UpSince ToldAt Age", m.UpSince, m.ToldAt, m.Age)
}

func (l *Learned) check() *FieldError {
	for _, err := range []*FieldError{
		figures("Now FleetLatency FracOwn FracAll Arrivals.V Arrivals.At Sends.V Sends.At Fit.XX Fit.XY Fit.At", l.Now,
			l.FleetLatency, l.FracOwn, l.FracAll, l.Arrivals.V, l.Arrivals.At, l.Sends.V, l.Sends.At, l.Fit.XX,
			l.Fit.XY, l.Fit.At),
		parts("MedianMiss", l.MedianMiss),
		count("Servers", len(l.Servers), mostProviders),
		count("Tenants", len(l.Tenants), mostTenants),
		count("Fit.Classes", len(l.Fit.Classes), mostClasses),
	} {
		if err != nil {
			return err
		}
	}
	for i, b := range l.Tenants {
		if err := figures("Tokens At", b.Tokens, b.At); err != nil {
			return err.in("Tenants[%d].", i)
		}
	}
	for i, c := range l.Fit.Classes {
		if err := figures("N Sum", c.N, c.Sum); err != nil {
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
	if err := name("Name", s.Name, seen); err != nil {
		return err
	}
	if err := figures("StartedAt Latency ReportAt Network", s.StartedAt, s.Latency, s.ReportAt, s.Network); err != nil {
		return err
	}
	if err := figures("Cold.V Cold.At", s.Cold.V, s.Cold.At); err != nil {
		return err
	}
	if err := parts("Failing", s.Failing); err != nil {
		return err
	}
	if err := count("By", len(s.By), mostTenants+1); err != nil {
		return err
	}
	for i, t := range s.By {
		if err := figures("Oks Misses At", t.Oks, t.Misses, t.At); err != nil {
			return err.in("By[%d].", i)
		}
		if i > 0 && t.Who <= s.By[i-1].Who {
			return &FieldError{fmt.Sprintf("By[%d].Who", i), fmt.Sprintf("%d after %d", t.Who, s.By[i-1].Who)}
		}
	}
	return nil
}

// figures checks values whose names are given in their order, with spaces between.
func figures(names string, vs ...float64) *FieldError {
	for i, v := range vs {
		if !(v >= 0 && v <= mostFigure) { // which NaN is not either
			return &FieldError{strings.Fields(names)[i], fmt.Sprintf("%g is negative, endless or no number", v)}
		}
	}
	return nil
}

func parts(names string, vs ...float64) *FieldError {
	for i, v := range vs {
		if !(v >= 0 && v <= 1) {
			return &FieldError{strings.Fields(names)[i], fmt.Sprintf("%g is not within 0 and 1", v)}
		}
	}
	return nil
}

func texts(names string, vs ...string) *FieldError {
	for i, v := range vs {
		if len(v) > mostText || !utf8.ValidString(v) {
			return &FieldError{strings.Fields(names)[i], fmt.Sprintf("over %d bytes or not UTF-8", mostText)}
		}
	}
	return nil
}

func name(field, v string, seen map[string]bool) *FieldError {
	if v == "" || seen[v] {
		return &FieldError{field, fmt.Sprintf("%.64q is empty or given twice", v)}
	}
	seen[v] = true
	return texts(field, v)
}

func count(field string, n, most int) *FieldError {
	if n > most {
		return &FieldError{field, fmt.Sprintf("%d of them, the limit is %d", n, most)}
	}
	return nil
}
