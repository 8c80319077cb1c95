package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// answerSlack is the time after a request's own time up to which a final answer is not late: half a second, and the 50 ms by
// which every time limit on sockets is longer.
const answerSlack = 550 * time.Millisecond

// longOrder is an order with a long body.
type longOrder struct {
	id    string
	size  int           // bytes of its body
	piece int           // bytes that the client writes at a time
	pause time.Duration // between two pieces
}

// pieces sends orders with long bodies at 64 kB a second or more. With the disruption the client writes them in few large
// pieces, and takes 1.5 s between two; without it in many small ones at the same rate.
func pieces(r *record, trouble bool) (broken []string, err error) {
	g, err := startRig(r, 4, runAndServe)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	piece, pause := 16<<10, 250*time.Millisecond
	if trouble {
		piece, pause = 96<<10, 1500*time.Millisecond
	}
	return g.sendOrders(4, 4, func(id string) longOrder { return longOrder{id: id, size: 256 << 10, piece: piece, pause: pause} })
}

// slowReaders sends orders with long bodies, which the client writes at once. With the disruption tile servers take seconds to
// read them: 8 s, at 1 MiB a second.
func slowReaders(r *record, trouble bool) (broken []string, err error) {
	const size = 8 << 20
	g, err := startRig(r, 4, runAndServe)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	if trouble {
		g.readAt(1 << 20)
	}
	return g.sendOrders(3, 2, func(id string) longOrder { return longOrder{id: id, size: size, piece: size} })
}

// runAndServe is the hook of a sound tile server.
func runAndServe(c *serverConn, m *message) bool {
	c.server.run(m, 20*time.Millisecond)
	return c.respond(200, "", "made for "+m.id())
}

// sendOrders lets clients send orders one after another, and checks that each that was written whole to an open connection gets
// its whole final answer in time.
func (g *rig) sendOrders(clients, each int, next func(id string) longOrder) (broken []string, err error) {
	var mu sync.Mutex
	whole := 0
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for i := range each {
				sent, fault := g.sendOrder(next(fmt.Sprintf("order-%02d-%04d", n, i)))
				mu.Lock()
				if sent {
					whole++
				}
				if fault != "" {
					broken = append(broken, fault)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	g.record.line("%d orders written whole to open connections, %d without a final answer in time", whole, len(broken))
	switch {
	case !g.running():
		return append(broken, "the sidecar has exited"), nil
	case whole == 0:
		return nil, fmt.Errorf("no order could be written whole")
	}
	return broken, nil
}

// sendOrder sends one order on a connection of its own. It returns whether the order was written whole, and what is wrong with
// its answer, if anything is.
func (g *rig) sendOrder(o longOrder) (whole bool, fault string) {
	kind := classes[2]
	conn, err := net.DialTimeout("tcp", g.listen, time.Second)
	if err != nil {
		g.record.line("connect   %s %v", o.id, err)
		return false, ""
	}
	defer conn.Close()
	c := &client{conn: conn, reader: newReader(conn)}
	began := time.Now()
	_ = conn.SetWriteDeadline(began.Add(60 * time.Second))
	_, err = conn.Write(headOf(kind, o.id, o.size))
	body := make([]byte, o.size)
	for len(body) > 0 && err == nil {
		n := min(o.piece, len(body))
		_, err = conn.Write(body[:n])
		body = body[n:]
		g.record.line("written   %s %d bytes, %d left, %.0f ms after the first byte, err %v", o.id, n, len(body), time.Since(began).Seconds()*1e3, err)
		if len(body) > 0 {
			time.Sleep(o.pause)
		}
	}
	if err != nil { // the sidecar has ended the connection before the order was whole: it was not taken
		return false, ""
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(15 * time.Second)) // the verdict is by answerSlack; the rest is for the record
	m, err := readMessage(c.reader, nil)
	took := time.Since(sent)
	status := 0
	if err == nil {
		status = m.status()
	}
	g.record.line("answered  %s %d, %.0f ms after its last byte, err %v", o.id, status, took.Seconds()*1e3, err)
	switch {
	case err != nil:
		return true, fmt.Sprintf("%s has no answer: %v, %.0f ms after its last byte", o.id, err, took.Seconds()*1e3)
	case took > kind.limit+answerSlack:
		return true, fmt.Sprintf("%s: answer %d came %.0f ms after its last byte, due within %.0f ms", o.id, status, took.Seconds()*1e3, (kind.limit+answerSlack).Seconds()*1e3)
	}
	return true, ""
}
