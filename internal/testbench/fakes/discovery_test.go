package fakes

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testConn is a client connection to a fake, controlled by the test.
type testConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialTest(t *testing.T, n Network, address string) *testConn {
	t.Helper()
	c, err := n.Dial(t.Context(), address)
	ok(t, err)
	t.Cleanup(func() { c.Close() })
	return &testConn{c, bufio.NewReader(c)}
}

const responseTimeout = time.Second // time without a response after which get returns "silence"

// get sends a GET, with a request id if it is not empty, and describes the response: "200 body", "200 reset" if it was
// incomplete, or "nothing end" if there was none.
func (c *testConn) get(target, id string) string {
	if id != "" {
		id = "Req-Id: " + id + "\r\n"
	}
	c.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n%s\r\n", target, id); err != nil {
		return "nothing " + describeError(err)
	}
	return c.readResponse()
}

func (c *testConn) readResponse() string {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "nothing " + describeError(err)
	}
	status := fmt.Sprint(r.StatusCode)
	if r.Header.Get("Srv-Declined") != "" {
		status += " declined"
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return status + " " + describeError(err)
	}
	return strings.TrimSpace(status + " " + strings.Trim(string(body), "\x00\n"))
}

func describeError(err error) string {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silence"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "end"
	}
	return err.Error()
}

// summarizeList describes a list: the revision, "=" for a complete list or "+" for changes, and each endpoint's id with the
// initial of its phase.
func summarizeList(answer string) string {
	var l List
	status, body, _ := strings.Cut(answer, " ")
	if status != "200" || json.Unmarshal([]byte(body), &l) != nil {
		return answer
	}
	s := fmt.Sprint(l.Revision, map[bool]string{true: "=", false: "+"}[l.Complete])
	for _, m := range l.Endpoints {
		s += m.ID + m.Phase[:1]
	}
	return s
}

func TestDiscovery(t *testing.T) {
	a, b := Endpoint{ID: "a", Phase: Serving}, Endpoint{ID: "b", Phase: Serving}
	gone := Endpoint{ID: "a", Phase: Deleted}
	const complete, watch, short = listPath, listPath + "?index=1&wait=10000", listPath + "?index=1&wait=50"
	then := func(d *Discovery, do func()) { // calls do once discovery has received a request
		go func() {
			for len(d.Requests()) == 0 {
				time.Sleep(time.Millisecond)
			}
			do()
		}()
	}
	for name, test := range map[string]struct {
		setup func(d *Discovery)
		calls string // request targets, sent on one connection; "new" opens another connection
		want  string
	}{
		"complete":   {func(*Discovery) {}, complete, "1=aSbS"},
		"no changes": {func(*Discovery) {}, short, "1+"},
		"changes": {
			func(d *Discovery) { then(d, func() { d.Change(gone) }) },
			watch + " " + complete, "2+aD 2=bS",
		},
		"set":            {func(d *Discovery) { then(d, func() { d.Set(b) }) }, watch, "2+aD"},
		"earlier change": {func(d *Discovery) { d.Change(Endpoint{ID: "c", Phase: Draining}) }, watch, "2+cD"},
		"dropped":        {func(d *Discovery) { d.DropResponses(true) }, complete + " new " + complete, "silence silence"},
		"dropped during the wait": {
			func(d *Discovery) { then(d, func() { d.DropResponses(true); d.Set(b) }) },
			watch, "silence",
		},
		"dropped temporarily": {func(d *Discovery) {
			d.DropResponses(true)
			then(d, func() { d.DropResponses(false); d.Set(b) })
		}, watch, "silence"},
		"open conns dropped": {func(d *Discovery) { d.DropResponsesOnOpenConns() }, complete + " new " + complete, "silence 1=aSbS"},
		"held":               {func(d *Discovery) { d.HoldResponses(true) }, complete, "silence"},
		"held and released": {func(d *Discovery) {
			d.HoldResponses(true)
			then(d, func() { d.Change(gone); d.HoldResponses(false) })
		}, watch, "2+aD"},
		"unreachable": {func(d *Discovery) { _ = d.SetSilent(true) }, complete, "silence"},
		"unreachable for 20 ms": {func(d *Discovery) {
			_ = d.SetSilent(true)
			time.AfterFunc(20*time.Millisecond, func() { _ = d.SetSilent(false) })
		}, complete, "1=aSbS"},
		"down": {func(d *Discovery) { _ = d.SetDown(true) }, complete, "reset"},
		"down and up": {func(d *Discovery) {
			_ = d.SetDown(true)
			_ = d.SetDown(false)
		}, complete + " new " + complete, "reset 1=aSbS"},
		"delay":                {func(d *Discovery) { d.SetDelay(2 * responseTimeout) }, complete, "silence"},
		"late":                 {func(d *Discovery) { d.RespondAfterClose(true) }, complete, "silence"},
		"complete for a watch": {func(d *Discovery) { d.CompleteForWatch(true); d.Change(gone) }, watch, "2=bS"},
		"partial for complete": {func(d *Discovery) { d.PartialForComplete(true) }, complete, "1+aS"},
		"replaced":             {func(d *Discovery) { d.ReplaceResponses(encodeResponse(200, "", []byte("{"))) }, complete, "{"},
		"lower revision": {
			func(d *Discovery) { d.Change(gone); d.Change(a); _ = d.RestartAt(1) },
			"new " + listPath + "?index=3&wait=50", "1=aSbS",
		},
		"unknown changes": {func(d *Discovery) { d.Change(gone); _ = d.RestartAt(5) }, "new " + watch, "5=bS"},
		"moved":           {func(d *Discovery) { _, _ = d.Move() }, complete + " new " + complete, "reset 1=aSbS"},
	} {
		t.Run(name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, n Network) {
				d, err := NewDiscovery(n, "", a, b)
				ok(t, err)
				defer d.Close()
				c := dialTest(t, n, d.Address())
				c.get("/other", "") // waits until the connection is accepted
				test.setup(d)
				var got []string
				for target := range strings.FieldsSeq(test.calls) {
					if target == "new" {
						c = dialTest(t, n, d.Address())
						continue
					}
					response := strings.Fields(summarizeList(c.get(target, "")))
					got = append(got, response[len(response)-1])
				}
				if got := strings.Join(got, " "); got != test.want {
					t.Errorf("got %q, want %q", got, test.want)
				}
			})
		})
	}
}

func TestDiscoveryRequests(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, n Network) {
		d, err := NewDiscovery(n, "", Endpoint{ID: "a", Phase: Serving})
		ok(t, err)
		defer d.Close()
		c := dialTest(t, n, d.Address())
		c.get(listPath, "")
		d.RespondAfterClose(true)
		c.get(listPath+"?index=1&wait=100000", "")
		calls := d.Requests()
		for i := range calls {
			calls[i].At, calls[i].RespondedAt = time.Time{}, time.Time{}
		}
		want := []DiscoveryRequest{
			{Conn: 1, Complete: true, Responded: true, Revision: 1, Endpoints: 1},
			{Conn: 1, Index: 1, Wait: maxWait},
		}
		if !slices.Equal(calls, want) {
			t.Errorf("%+v, want %+v", calls, want)
		}
		closedAt := time.Now()
		ok(t, c.Conn.(interface{ CloseWrite() error }).CloseWrite())
		c.SetDeadline(time.Now().Add(responseTimeout))
		if got := summarizeList(c.readResponse()); got != "1+" || d.Requests()[1].RespondedAt.Sub(closedAt) < responseAfterCloseDelay {
			t.Errorf("after the client closed its sending side: %q", got)
		}
	})
}
