package connlimit

import (
	"errors"
	"os"
	"time"

	"plankrouter/internal/sockopt"
)

// WriteAll writes p. It fails with os.ErrDeadlineExceeded once the peer has taken nothing for stall. A write that waits longer
// is no sign of that: the kernel accepts more only when a good part of its buffer is free, which holds megabytes, and for which
// a peer that reads slowly needs longer.
func (s *Socket) WriteAll(p []byte, stall time.Duration) error {
	for {
		before, known := sockopt.Unacknowledged(s.Conn)
		s.SetWriteDeadline(time.Now().Add(stall))
		n, err := s.Write(p)
		p = p[n:]
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		after, _ := sockopt.Unacknowledged(s.Conn)
		if n == 0 && (!known || after >= before) {
			return err
		}
	}
}
