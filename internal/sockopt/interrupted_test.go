package sockopt

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// A look at a socket that a signal interrupts is made again: else a client that has left would get a server's work, and bytes that
// nobody has asked for would pass for an answer.
func TestInterruptedLooksAreRepeated(t *testing.T) {
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
	theirs, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	mine, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer mine.Close()
	interruptions = 3
	if !HasNothingUnread(mine) {
		t.Error("nothing has come in, and it is not quiet")
	}
	interruptions = 3
	if HasPeerClosed(mine) {
		t.Error("it is there, and counts as left")
	}
	if _, err := theirs.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := theirs.Close(); err != nil {
		t.Fatal(err)
	}
	interruptions = 3
	if HasNothingUnread(mine) {
		t.Error("a byte has come in, and it counts as quiet")
	}
	interruptions = 3
	if !HasPeerClosed(mine) {
		t.Error("it has left, and counts as there")
	}
}
