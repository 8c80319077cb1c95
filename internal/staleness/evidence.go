package staleness

// Evidence is what has been seen of a server.
type Evidence uint8

// Alive confirms that the server is in service as the list says; the others contradict it.
const (
	Alive          Evidence = iota // it has answered as one in service does
	ConnectRefused                 // a connection was refused: no process is there
	Draining                       // it declined a probe, as one does that drains
)
