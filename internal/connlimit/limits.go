package connlimit

// The limit on sockets and how it is shared out.

import "time"

const (
	mostClosing  = 16               // the descriptors that those being closed may hold beyond the limit, at most,
	closingPart  = 4                // or one in so many of the limit, where that is less
	inwardPart   = 2                // connections from consumers may hold one in so many of the sockets,
	easyPart     = 4                // one in so many while some of them are idle,
	strangerPart = 4                // and strangers among them one in so many
	hurriedAfter = time.Millisecond // for what a stranger has sent to be read, once strangers hurry
	briefPart    = 2                // of those beyond the limit, one in so many may be held by connections that find no place
	callPart     = 8                // one in so many is left to calls: neither consumers nor probes take it while it is free
)

// Closing is how many connections may be open beyond a limit of most sockets, while those that have made room are being closed.
func Closing(most int) int { return min(mostClosing, max(1, most/closingPart)) }

// Within is the limit under which so many descriptors suffice, with those that are being closed; 0 = there is none.
func Within(descriptors int) (most int) {
	for most+1+Closing(most+1) <= descriptors {
		most++
	}
	return most
}

// Side says who opened a connection.
type Side bool

// The sides. Inward connections leave room for the outward ones, without which nothing could be done for them.
const (
	Outward Side = false
	Inward  Side = true
)

// common is what is used of the limit before some is left to calls alone.
func (b *Budget) common() int { return b.most - b.most/callPart }
