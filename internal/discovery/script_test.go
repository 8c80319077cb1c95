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

// scriptedSource is a discovery service whose responses the test writes byte by byte.
type scriptedSource struct {
	*testing.T
	net.Listener
}

const stepTimeout = 10 * time.Second // in real time, after which a step of a test fails

// newScriptedSource returns a source that listens in the in-memory network n, or on a real socket if n is nil.
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

// scriptedConn is a connection accepted by a scriptedSource.
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
	if _, ok := c.(*net.TCPConn); ok { // a real socket
		c.SetDeadline(time.Now().Add(stepTimeout))
	}
	return &scriptedConn{s.T, c, bufio.NewReader(c)}
}

// nextTarget returns the query of the next poll on the connection, "" for the complete list, or "closed" if the connection
// was closed.
func (c *scriptedConn) nextTarget() string {
	r, err := http1.ReadRequest(c.reader)
	if err != nil {
		return "closed"
	}
	return strings.TrimPrefix(r.Target, http1.PathList)
}

func (c *scriptedConn) write(pieces ...string) {
	for _, piece := range pieces {
		_, _ = c.Write([]byte(piece)) // the watch may have closed the connection
	}
}

// listJSON returns the body of a response; each of entries has the form "a=SERVING".
func listJSON(revision int, complete bool, entries ...string) string {
	var all []string
	for _, entry := range entries {
		id, phase, _ := strings.Cut(entry, "=")
		all = append(all, fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9","phase":%q}`, id, phase))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete, strings.Join(all, ","))
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
