package discovery

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"plankrouter/internal/http1"
	"plankrouter/internal/testbench/fakes"
)

// scriptedSource is a discovery service whose every byte the test writes.
type scriptedSource struct {
	*testing.T
	net.Listener
}

const stepTimeout = 10 * time.Second // of real time: a step that takes so long has failed

// newScriptedSource listens in a network of simulated time, or, without one, on a real socket.
func newScriptedSource(t *testing.T, n fakes.Network) *scriptedSource {
	var l net.Listener
	var err error
	if n != nil {
		l, err = n.Listen("127.0.0.1")
	} else if l, err = net.Listen("tcp", "127.0.0.1:0"); err == nil {
		l.(*net.TCPListener).SetDeadline(time.Now().Add(stepTimeout))
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &scriptedSource{t, l}
}

// scriptedConn is one connection to it.
type scriptedConn struct {
	*testing.T
	net.Conn
	reader *bufio.Reader
}

func (s *scriptedSource) accept() *scriptedConn {
	s.Helper()
	c, err := s.Accept()
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { c.Close() })
	if _, ok := c.(*net.TCPConn); ok { // in real time
		c.SetDeadline(time.Now().Add(stepTimeout))
	}
	return &scriptedConn{s.T, c, bufio.NewReader(c)}
}

// nextTarget returns what the next poll on the connection asks for: its query, "" = the complete list, or "ended".
func (c *scriptedConn) nextTarget() string {
	r, err := http1.ReadRequest(c.reader)
	if err != nil {
		return "ended"
	}
	return strings.TrimPrefix(r.Target, http1.PathList)
}

func (c *scriptedConn) write(pieces ...string) {
	for _, piece := range pieces {
		_, _ = c.Write([]byte(piece)) // the watch may have closed the connection
	}
}

// listJSON returns an answer's body, of lines like "a=SERVING".
func listJSON(revision int, complete bool, lines ...string) string {
	var all []string
	for _, l := range lines {
		id, phase, _ := strings.Cut(l, "=")
		all = append(all, fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","phase":%q}`, id, phase))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(all, ","))
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
