package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Maximum lengths of the data sent over the control socket, in bytes.
const (
	MaxState  = 16 << 20 // the state blob
	MaxNote   = 4 << 10  // the note sent with a connection
	maxReason = 1 << 10  // an error text or an encoded signal
	maxBody   = 32 << 10 // far below usual send buffer sizes: the kernel rejects a larger packet instead of splitting it
	headerLen = 1 + 8    // kind and number
)

// kind is the type of a message, as on the wire. In the comments, P marks messages of the predecessor and S those of the
// successor.
type kind byte

const (
	kindHello        kind = 'h' // P: a Hello in CBOR, with the listener's descriptor
	kindState        kind = 's' // P: the next part of the state blob
	kindReady        kind = 'r' // S: ready to serve; the number is its process id
	kindReject       kind = 'n' // S: it can't take over; the body is the reason
	kindOpenRequests kind = 'o' // P: ids of its open requests, each ended by a newline
	kindServe        kind = 'g' // P: the successor may serve from now on
	kindConn         kind = 'c' // P: a connection's descriptor and its note
	kindConnAccepted kind = 'a' // S: it has accepted the connection of that number
	kindConnFailed   kind = 'x' // S: it could not receive the connection of that number; the body is the reason
	kindComplete     kind = 'd' // P: everything has been sent; S: acknowledges that
	kindStop         kind = 'e' // P: a Stop in CBOR
	kindReload       kind = 'f' // P: a Reload in CBOR
)

var errMalformed = errors.New("malformed message on the control socket")

// message is one packet on the control socket.
type message struct {
	kind   kind
	number uint64 // matches a response to its request; the process id in kindReady
	body   []byte
}

func (m message) encode() []byte {
	b := append(make([]byte, 0, headerLen+len(m.body)), byte(m.kind))
	return append(binary.BigEndian.AppendUint64(b, m.number), m.body...)
}

// decode parses a packet. The message's body aliases b.
func decode(b []byte) (message, error) {
	if len(b) < headerLen {
		return message{}, fmt.Errorf("%w: %d bytes", errMalformed, len(b))
	}
	m := message{kind: kind(b[0]), number: binary.BigEndian.Uint64(b[1:]), body: b[headerLen:]}
	if len(m.body) > m.kind.maxBody() {
		return message{}, fmt.Errorf("%w: kind %q with %d bytes", errMalformed, b[0], len(m.body))
	}
	return m, nil
}

// maxBody returns the maximum length of the body in bytes, or -1 for an unknown kind.
func (k kind) maxBody() int {
	switch k {
	case kindHello, kindState, kindOpenRequests:
		return maxBody
	case kindConn:
		return MaxNote
	case kindReject, kindConnFailed, kindStop, kindReload:
		return maxReason
	case kindReady, kindServe, kindConnAccepted, kindComplete:
		return 0
	}
	return -1
}

// Hello is the first message, in which the predecessor describes itself. In every protocol version it is a CBOR map with the
// version under key 1, so that a successor can recognize a version that it doesn't support.
type Hello struct {
	Version int    `cbor:"1,keyasint"` // of this package's protocol
	Name    string `cbor:"2,keyasint"` // of the daemon
	Address string `cbor:"3,keyasint"` // that the predecessor is configured to listen on
	State   int    `cbor:"4,keyasint"` // length of the state blob in bytes
}

// decodeHello parses and checks a hello.
func decodeHello(b []byte) (Hello, error) {
	var h Hello
	err := cbor.Unmarshal(b, &h)
	switch {
	case err != nil:
		return h, fmt.Errorf("%w: hello: %w", errMalformed, err)
	case h.Version != Version:
		return h, fmt.Errorf("the running process uses handover version %d, this program version %d: do a full restart instead",
			h.Version, Version)
	case h.State < 0 || h.State > MaxState:
		return h, fmt.Errorf("%w: hello: state of %d bytes, at most %d", errMalformed, h.State, MaxState)
	}
	return h, nil
}
