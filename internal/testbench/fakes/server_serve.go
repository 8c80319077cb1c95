package fakes

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// serveMessage serves a request or a probe; false means that the connection is to be closed.
func (p *Server) serveMessage(c *hostConn, m *message) bool {
	behaviour := p.currentBehaviour()
	reset := behaviour.resets(c, m) || p.isMarked(c)
	if m.URL.Path == loadPath || m.URL.Path == alivePath {
		return p.serveProbe(c, m, behaviour, reset)
	}
	index, process := p.recordRequest(c, m)
	switch {
	case reset:
		p.recordOutcome(index, Reset)
		c.closeConn(true)
		return false
	case m.Header.Get(headerID) == "":
		return p.recordAndSend(c, index, MissingID, encodeResponse(404, "", nil))
	case behaviour.Drain || behaviour.Decline:
		return p.decline(c, index)
	case behaviour.Unresponsive:
		p.recordOutcome(index, Unsent)
		return c.waitForClose()
	}
	switch outcome := p.waitForCore(c, process); outcome {
	case Declined:
		return p.decline(c, index)
	case Pending:
	default:
		return p.recordOutcome(index, outcome)
	}
	body, failed, ended := p.run(c, m, process, index)
	if !ended {
		return p.recordOutcome(index, Killed)
	}
	return p.respond(c, index, body, failed)
}

// resets reports whether the connection is reset when m arrives on it.
func (b *Behaviour) resets(c *hostConn, m *message) bool {
	idleTooLong := b.ResetAfterIdle > 0 && m.idle > b.ResetAfterIdle
	carriedTooMany := b.ResetAfterRequests > 0 && c.requestsServed >= b.ResetAfterRequests
	return b.ResetAll || idleTooLong || carriedTooMany
}

// recordRequest appends a request to the server's list of requests and returns its index in the list and the process that
// received it.
func (p *Server) recordRequest(c *hostConn, m *message) (int, *processRun) {
	p.state.Lock()
	defer p.state.Unlock()
	p.requests = append(p.requests, Request{
		ID: m.Header.Get(headerID), Class: m.class(), Method: m.Method, Path: m.URL.RequestURI(), Body: string(m.body),
		Server: p.current.id, FirstByte: m.firstByte, LastByte: m.lastByte, Sent: m.arrivedAt, Deadline: m.Header.Get(headerDeadline),
		Conn: c.number, Carried: c.requestsServed, Idle: m.idle,
	})
	return len(p.requests) - 1, p.current
}

// class returns the request's class, which is the first segment of its path.
func (m *message) class() string {
	class, _, _ := strings.Cut(strings.TrimPrefix(m.URL.Path, "/"), "/")
	return class
}

func (p *Server) decline(c *hostConn, index int) bool {
	return p.recordAndSend(c, index, Declined, encodeResponse(503, headerDeclined, nil))
}

// recordOutcome sets the outcome of a request. It always returns false, for callers that close the connection.
func (p *Server) recordOutcome(index int, o Outcome) bool {
	p.updateRequest(index, func(r *Request) { r.Outcome = o })
	return false
}

// updateRequest changes the record of a request.
func (p *Server) updateRequest(index int, change func(*Request)) {
	p.state.Lock()
	defer p.state.Unlock()
	change(&p.requests[index])
}

// recordAndSend records the outcome and sends the response, in this order, since a client may look up the outcome once it has
// the response. It returns false if the connection is to be closed.
func (p *Server) recordAndSend(c *hostConn, index int, o Outcome, raw []byte) bool {
	c.waitWhileSilent()
	p.recordOutcome(index, o)
	return c.write(raw) || p.recordOutcome(index, Unsent)
}

// serveProbe responds to a probe with the load.
func (p *Server) serveProbe(c *hostConn, m *message, behaviour Behaviour, reset bool) bool {
	p.state.Lock()
	process := p.current
	load := map[string]any{"active": process.busy + len(process.waiting)}
	if process.meanServiceMs > 0 {
		load["avg_ms"] = process.meanServiceMs
	}
	status := 200
	switch {
	case reset || behaviour.Probes == ProbesReset:
		status = 0
	case behaviour.Drain || behaviour.Probes == ProbesUnavailable:
		status = 503
	}
	p.probes = append(p.probes, Probe{At: m.lastByte, Conn: c.number, Path: m.URL.Path, Status: status})
	p.state.Unlock()
	if behaviour.Unresponsive {
		return c.waitForClose()
	}
	switch status {
	case 0:
		c.closeConn(true)
		return false
	case 503:
		return c.write(encodeResponse(503, "", nil))
	}
	body, _ := json.Marshal(load)
	return c.write(encodeResponse(200, "Content-Type: application/json\r\n", body))
}

// waitForCore waits for a free core. The outcome Pending means that the request has a core; any other outcome
// is final.
func (p *Server) waitForCore(c *hostConn, process *processRun) Outcome {
	p.state.Lock()
	if process.busy < p.options.Cores {
		process.busy++
		p.state.Unlock()
		return Pending
	}
	if len(process.waiting) >= p.options.Queue {
		p.state.Unlock()
		return Declined
	}
	coreFree := make(chan struct{})
	process.waiting = append(process.waiting, coreFree)
	p.state.Unlock()
	outcome := Pending
	select {
	case <-coreFree:
		return outcome
	case <-c.clientDone:
		outcome = ClientGone
	case <-c.closed:
		outcome = Killed
	}
	p.state.Lock()
	defer p.state.Unlock()
	if i := slices.Index(process.waiting, coreFree); i >= 0 {
		process.waiting = slices.Delete(process.waiting, i, i+1)
	} else {
		process.releaseCore()
	}
	return outcome
}

// releaseCore passes the core to the next waiting request, if any.
func (l *processRun) releaseCore() {
	if len(l.waiting) == 0 {
		l.busy--
		return
	}
	close(l.waiting[0])
	l.waiting = l.waiting[1:]
}

// run occupies a core for the service time and returns the response's body and whether the request is to fail. ended is
// false if the server closed the connection before the end of the service time, for example because the process was killed.
func (p *Server) run(c *hostConn, m *message, process *processRun, index int) (body []byte, failed, ended bool) {
	id := m.Header.Get(headerID)
	p.state.Lock()
	p.requests[index].Started = true
	p.runs[id]++
	behaviour := p.behaviour
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s %d", process.id, id, p.runs[id])
	p.state.Unlock()
	// Each request has its own seed, since requests at the same instant would draw from a shared sequence in random order.
	random := rand.New(rand.NewPCG(p.options.Seed, h.Sum64()))
	service, known := p.options.Service[m.class()]
	if !known {
		service = p.options.Default
	}
	work := float64(service.Mean)
	if !service.Fixed {
		work *= random.ExpFloat64()
	}
	if behaviour.Slowdown > 0 {
		work *= behaviour.Slowdown
	}
	duration := time.Duration(work * p.slowStartFactor(process))
	if c.requestsServed == 0 {
		duration += p.options.Handshake
	}
	ended = c.wait(duration)
	p.state.Lock()
	defer p.state.Unlock()
	process.releaseCore()
	if !ended {
		return nil, false, false
	}
	p.requests[index].Finished = true
	if ms := float64(duration) / float64(time.Millisecond); process.meanServiceMs == 0 {
		process.meanServiceMs = ms
	} else {
		process.meanServiceMs += serviceTimeWeight * (ms - process.meanServiceMs)
	}
	body = []byte(id + "\n")
	body = append(body, make([]byte, max(0, service.Body-len(body)))...)
	return body, random.Float64() < p.behaviour.FailFraction, true
}

// slowStartFactor returns the factor by which slow start currently lengthens the service time; 1 = no slow start.
func (p *Server) slowStartFactor(process *processRun) float64 {
	age := time.Since(process.startedAt)
	if process.warm || p.options.SlowStartFactor <= 1 || age >= p.options.WarmUpTime {
		return 1
	}
	return 1 + (p.options.SlowStartFactor-1)*(1-float64(age)/float64(p.options.WarmUpTime))
}

// respond sends the response to a request that has run, modified as the behaviour demands.
func (p *Server) respond(c *hostConn, index int, body []byte, failed bool) bool {
	select {
	case <-c.clientDone:
		return p.recordOutcome(index, Unsent)
	default:
	}
	behaviour := p.currentBehaviour()
	outcome, full := Responded, encodeResponse(200, "", body)
	if failed {
		outcome, full = Errored, encodeResponse(500, "", nil)
	}
	switch {
	case behaviour.Truncate != nil:
		p.recordOutcome(index, Truncated)
		if n := min(behaviour.Truncate.After, len(full)); n > 0 {
			c.write(full[:n])
		}
		c.closeConn(behaviour.Truncate.Reset)
		return false
	case behaviour.Stall:
		p.recordOutcome(index, Stalled)
		c.write(full[:len(full)-len(body)])
		return c.waitForClose()
	case behaviour.Pieces != nil && !failed:
		return p.respondInPieces(c, index, body, behaviour.Pieces)
	case behaviour.ReplaceWith != nil:
		return p.recordAndSend(c, index, Garbled, behaviour.ReplaceWith)
	}
	return p.recordAndSend(c, index, outcome, full)
}
