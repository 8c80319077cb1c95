package sockopt

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// System calls interrupted by a signal are retried. Otherwise a client that has closed would still cause work at a server,
// and unsolicited bytes would count as a response.
func TestInterruptedSystemCallsAreRetried(t *testing.T) {
	realPeek, realPoll := peek, poll
	defer func() { peek, poll = realPeek, realPoll }()
	interruptions := 0
	interrupted := func() bool {
		interruptions--
		return interruptions >= 0
	}
	peek = func(fd int, b []byte) (int, error) {
		if interrupted() {
			return -1, syscall.EINTR
		}
		return realPeek(fd, b)
	}
	poll = func(fds []unix.PollFd, timeout int) (int, error) {
		if interrupted() {
			return -1, syscall.EINTR
		}
		return realPoll(fds, timeout)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	interruptions = 3
	if !HasNothingUnread(conn) {
		t.Error("nothing has arrived, but something counts as unread")
	}
	interruptions = 3
	if HasPeerClosed(conn) {
		t.Error("the peer is open, but counts as closed")
	}
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	interruptions = 3
	if HasNothingUnread(conn) {
		t.Error("a byte has arrived, but nothing counts as unread")
	}
	interruptions = 3
	if !HasPeerClosed(conn) {
		t.Error("the peer has closed, but counts as open")
	}
}
