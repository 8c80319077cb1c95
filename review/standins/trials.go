package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The trials of this file are no cases: they are named in the report.

// slowAnswer lets tile servers take 4 s to write an answer of 256 KiB in chunks, 8 KiB every 125 ms, and looks whether an order
// gets it whole.
func slowAnswer(r *record, trouble bool) (broken []string, err error) {
	const size, count = 256 << 10, 32
	hook := func(c *serverConn, m *message) bool {
		c.server.run(m, 20*time.Millisecond)
		_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := 0; i < count && err == nil; i++ {
			if trouble {
				time.Sleep(4 * time.Second / count)
			}
			piece := bytes.Repeat([]byte{byte('a' + i%26)}, size/count)
			if err = closedByPeer(c.Conn); err == nil {
				_, err = c.Write(append(fmt.Appendf(nil, "%x\r\n", len(piece)), append(piece, "\r\n"...)...))
			}
		}
		if err == nil {
			_, err = c.Write([]byte("0\r\n\r\n"))
		}
		r.line("given     %s by %s: err %v", m.id(), c.server.name, err)
		return err == nil
	}
	g, err := startRig(r, 4, hook)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			c := &client{address: g.listen}
			defer c.close()
			for i := range 3 {
				id := fmt.Sprintf("order-%02d-%04d", n, i)
				r.line("sent      %s", id)
				m, err := c.do(requestOf(classes[2], id), 15*time.Second)
				status, got := 0, 0
				if m != nil {
					status, got = m.status(), len(m.body)
				}
				r.line("answered  %s %d with %d bytes, err %v", id, status, got, err)
				if status != 200 || got != size {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("%s: status %d with %d of %d bytes", id, status, got, size))
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return broken, nil
}

// closedByPeer returns an error if the peer has closed the connection or reset it; it sends nothing meanwhile.
func closedByPeer(c net.Conn) error {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	var b [1]byte
	if _, err := c.Read(b[:]); err != nil && !strings.Contains(err.Error(), "timeout") {
		return err
	}
	return nil
}

// restart downloads answers of 32 MB, which clients take 4 s to read, while the platform restarts the sidecar as planned, and
// looks whether SIGKILL finds one unanswered whose request arrived more than 0.7 s after SIGTERM.
func restart(r *record, trouble bool) (broken []string, err error) {
	const size, readTime = 32 << 20, 4 * time.Second
	body := bytes.Repeat([]byte("print scan "), size/11+1)[:size]
	hook := func(c *serverConn, m *message) bool {
		c.server.run(m, 20*time.Millisecond)
		if strings.HasSuffix(m.id(), "-first") {
			return c.respond(200, "", "small")
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		if err == nil {
			_, err = c.Write(body)
		}
		return err == nil
	}
	g, err := startRig(r, 4, hook)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	conns := make([]*client, 4)
	for n := range conns {
		conns[n] = &client{address: g.listen}
		if _, err := conns[n].do(requestOf(classes[0], fmt.Sprintf("tile-%02d-first", n)), 3*time.Second); err != nil {
			return nil, err
		}
	}
	signalled := time.Now()
	if trouble {
		g.signal(syscall.SIGTERM)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, c := range conns {
		wg.Go(func() {
			time.Sleep(time.Duration(800+400*n) * time.Millisecond)
			id := fmt.Sprintf("tile-%02d", n)
			_ = c.conn.SetDeadline(time.Now().Add(30 * time.Second))
			at := time.Since(signalled)
			r.line("sent      %s, %.0f ms after the signal", id, at.Seconds()*1e3)
			_, err := c.conn.Write(requestOf(classes[0], id))
			var m *message
			if err == nil {
				m, err = readMessage(c.reader, func(n int) { time.Sleep(readTime * time.Duration(n) / size) })
			}
			status, got := 0, 0
			if m != nil {
				status, got = m.status(), len(m.body)
			}
			r.line("answered  %s %d, %d bytes, err %v, %.0f ms after the signal", id, status, got, err, time.Since(signalled).Seconds()*1e3)
			if err != nil {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("%s arrived %.0f ms after SIGTERM: status %d with %d bytes, %v", id, at.Seconds()*1e3, status, got, err))
				mu.Unlock()
			}
		})
	}
	if trouble {
		time.Sleep(time.Until(signalled.Add(3200 * time.Millisecond)))
		g.signal(syscall.SIGKILL)
	}
	wg.Wait()
	return broken, nil
}

// stay lets clients stop in the middle of a body and stay, and looks whether they get their error or the close within 3 s. The
// disruption is that the body is a long one of which more than 64 KiB were sent.
func stay(r *record, trouble bool) (broken []string, err error) {
	g, err := startRig(r, 4, runAndServe)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	sent := 1000
	if trouble {
		sent = 100 << 10
	}
	conn, err := net.Dial("tcp", g.listen)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if _, err := conn.Write(append(headOf(classes[2], "order-stays", 1<<20), make([]byte, sent)...)); err != nil {
		return nil, err
	}
	began := time.Now()
	_ = conn.SetReadDeadline(began.Add(30 * time.Second))
	answer, err := io.ReadAll(conn)
	took := time.Since(began)
	r.line("%d bytes of the body sent; after %.0f ms: %q, err %v", sent, took.Seconds()*1e3, answer, err)
	if took > 3050*time.Millisecond {
		broken = append(broken, fmt.Sprintf("neither an error nor a close within 3 s of %d bytes, but %q after %.1f s", sent, answer, took.Seconds()))
	}
	return broken, nil
}
