package staleness

// Evidence is an observation of a server.
type Evidence uint8

// Alive confirms that a server is in service as the list says; the other kinds contradict the list.
const (
	Alive          Evidence = iota // the server responded as one in service does
	ConnectRefused                 // a connection was refused: no process listens
	Draining                       // the server declined a probe, as a draining one does
)
