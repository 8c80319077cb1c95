package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of what goes over the control socket, in bytes.
const (
	MaxState  = 16 << 20 // the state blob
	MaxNote   = 4 << 10  // the note that goes with a connection
	maxReason = 1 << 10
	maxBody   = 32 << 10 // far below any usual send buffer: a larger packet would be refused, not split
	headerLen = 1 + 8
)

// kind says what a message is. P is the predecessor, S the successor.
type kind byte

const (
	kindHello  kind = 'h' // P: a Hello in CBOR, with the listener
	kindState  kind = 's' // P: the next part of the state
	kindReady  kind = 'r' // S: its process id is the number
	kindRefuse kind = 'n' // S: why not
	kindOpen   kind = 'o' // P: ids of requests that are open there, each with an end of line
	kindServe  kind = 'g' // P: from now on S serves
	kindConn   kind = 'c' // P: a connection and its note
	kindTaken  kind = 'a' // S: the connection of that number is its own
	kindLeft   kind = 'x' // S: the connection of that number did not arrive, and why
	kindDone   kind = 'd' // P: that was all; S: so it was
	kindStop   kind = 'e' // P: a Stop in CBOR
	kindReload kind = 'f' // P: a Reload in CBOR
)

var errMalformed = errors.New("malformed message on the control socket")

// message is one packet: the kind, a number and a body.
type message struct {
	kind   kind
	number uint64 // by which an answer names its question
	body   []byte
}

func (m message) encode() []byte {
	b := append(make([]byte, 0, headerLen+len(m.body)), byte(m.kind))
	return append(binary.BigEndian.AppendUint64(b, m.number), m.body...)
}

// decode reads a packet. The body is part of b, not a copy.
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

// maxBody is the longest body of that kind; less than none for a kind that does not exist.
func (k kind) maxBody() int {
	switch k {
	case kindHello, kindState, kindOpen:
		return maxBody
	case kindConn:
		return MaxNote
	case kindRefuse, kindLeft, kindStop, kindReload:
		return maxReason
	case kindReady, kindServe, kindTaken, kindDone:
		return 0
	}
	return -1
}

// Hello is what a predecessor says of itself first. It stays CBOR with the version under 1 in all versions, so that
// each can tell what it does not understand.
type Hello struct {
	Version int    `cbor:"1,keyasint"` // of this package's protocol
	Name    string `cbor:"2,keyasint"` // of the daemon
	Address string `cbor:"3,keyasint"` // that it is configured to listen on
	State   int    `cbor:"4,keyasint"` // length of the state blob in bytes
}

func decodeHello(b []byte) (Hello, error) {
	var h Hello
	err := cbor.Unmarshal(b, &h)
	switch {
	case err != nil:
		return h, fmt.Errorf("%w: hello: %w", errMalformed, err)
	case h.Version != Version:
		return h, fmt.Errorf("the running process speaks handover version %d, this program version %d: restart instead",
			h.Version, Version)
	case h.State < 0 || h.State > MaxState:
		return h, fmt.Errorf("%w: hello: state of %d bytes, at most %d", errMalformed, h.State, MaxState)
	}
	return h, nil
}
