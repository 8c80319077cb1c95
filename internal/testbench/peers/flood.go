package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"

	"plankrouter/internal/testbench/fakes"
)

// floods returns a scenario for each kind of message that one client sends on one connection as fast as it can.
func floods() map[string]scenario {
	messages := map[string]func(r *rig) (address string, message []byte){
		"unknown-class": func(r *rig) (string, []byte) {
			return r.address, replaceFirst(small(classes()["tile"], r.nextID()), "/tile", "/c-"+r.nextID())
		},
		"new-tenants": func(r *rig) (string, []byte) {
			id := r.nextID()
			return r.address, replaceFirst(small(classes()["tile"], id), tenant, "t-"+id)
		},
		"bad-deadline": func(r *rig) (string, []byte) {
			return r.address, replaceFirst(small(classes()["tile"], r.nextID()), "Req-Deadline: ", "Req-Deadline: x")
		},
		"no-id":   func(r *rig) (string, []byte) { return r.address, []byte("GET /tile/1 HTTP/1.1\r\nHost: x\r\n\r\n") },
		"up":      func(r *rig) (string, []byte) { return r.address, []byte("GET /up HTTP/1.1\r\nHost: x\r\n\r\n") },
		"metrics": func(r *rig) (string, []byte) { return r.address, []byte("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n") },
		"wrong-verb": func(r *rig) (string, []byte) {
			return r.address, []byte("PUT /tile/1 HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\n\r\n")
		},
		"two-lengths": func(r *rig) (string, []byte) {
			return r.address, []byte("POST /order/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")
		},
		"bad-chunks": func(r *rig) (string, []byte) {
			return r.address, append(orderStart(r), "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n"...)
		},
		"garbage":      func(r *rig) (string, []byte) { return r.address, []byte(strings.Repeat("x y\r\n", 20)) },
		"same-id":      func(r *rig) (string, []byte) { return r.address, small(classes()["tile"], "always-the-same") },
		"small-orders": func(r *rig) (string, []byte) { return r.address, small(classes()["order"], r.nextID()) },
		"long-ids": func(r *rig) (string, []byte) {
			return r.address, small(classes()["order"], strings.Repeat(r.nextID(), 400))
		},
		"admin-ready":   func(r *rig) (string, []byte) { return r.admin, []byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") },
		"admin-metrics": func(r *rig) (string, []byte) { return r.admin, []byte("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n") },
		"admin-cordon": func(r *rig) (string, []byte) {
			return r.admin, fmt.Appendf(nil, "PUT /tile-servers/disable?target=s-%s HTTP/1.1\r\nHost: x\r\n\r\n", r.nextID())
		},
	}
	all := map[string]scenario{}
	for name, next := range messages {
		all["flood/"+name] = scenario{what: "one client that sends " + name + " at full speed", neighbour: true, run: func(ctx context.Context, r *rig) (map[string]int, []string) {
			return r.flood(ctx, next)
		}}
	}
	return all
}

// flood sends messages on one connection as fast as the sidecar takes them, without waiting for responses, for a while. A
// connection that the sidecar closes is opened again.
func (r *rig) flood(ctx context.Context, next func(*rig) (string, []byte)) (counts map[string]int, broken []string) {
	counts = map[string]int{}
	ctx, cancel := context.WithTimeout(ctx, r.options.For)
	defer cancel()
	for ctx.Err() == nil {
		address, message := next(r)
		c, err := r.network.Dial(ctx, address)
		if err != nil {
			counts["no_connection"]++
			_ = fakes.Pause(ctx, crowdRest) // ends with the loop
			continue
		}
		counts["connections"]++
		counts["messages"] += floodConnection(ctx, r, c, message, next)
	}
	return counts, append(broken, r.judgeNeighbour()...)
}

// floodConnection sends messages until the connection ends, and returns how many.
func floodConnection(ctx context.Context, r *rig, c net.Conn, message []byte, next func(*rig) (string, []byte)) (sent int) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	go func() { _, _ = io.Copy(io.Discard, c) }() // ends with the connection
	for {
		if _, err := c.Write(message); err != nil {
			return sent
		}
		sent++
		_, message = next(r)
	}
}
