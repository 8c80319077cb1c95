package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// discovery is a stand-in for the agent with the list of tile servers, which never changes here: a watch waits until its time
// is over and gets no changes.
type discovery struct {
	listener net.Listener
	servers  []*server
}

func newDiscovery(servers []*server) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: l, servers: servers}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", d.serve)
	go func() { _ = http.Serve(l, mux) }()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func (d *discovery) list() map[string]any {
	members := []map[string]any{}
	for i, s := range d.servers {
		members = append(members, map[string]any{
			"id": s.name, "host_port": s.address(), "locality": "a", "flavor": "m1", "cell": i / 4, "phase": "SERVING", "size": 1.0, "up_since_ms": 0,
		})
	}
	return map[string]any{"revision": 1, "complete": true, "members": members}
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	out := d.list()
	if r.URL.Query().Get("index") == "1" {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		select {
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		out["complete"], out["members"] = false, []any{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
