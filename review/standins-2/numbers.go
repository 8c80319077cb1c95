package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

func init() { cases["numbers"] = numbers }

// numbers is no case, since it takes 130 s: see REPORT-2.md. An order with a long body is written at 64 kB a second for longer
// than 2 minutes. Meanwhile one configuration drops its class, and a later one adds a class that is safe to repeat. The tile
// server's process dies once it has the whole order. Without the disruption the configurations stay as they are.
func numbers(r *rig) (int, error) {
	const (
		rate     = 64000
		duration = 126 * time.Second
		size     = rate * int(duration/time.Second)
	)
	ran := make(chan arrival, 10)
	service := func(s *tileServer, a arrival) string {
		if strings.HasPrefix(a.target, "/order") {
			r.note("run %s at %s, %d bytes; the tile server dies", a.id, s.id, len(a.body))
			ran <- a
			return ""
		}
		return "done " + a.id
	}
	members, err := startServers(3, service)
	if err != nil {
		return 0, err
	}
	discovery, err := newAgent(members)
	if err != nil {
		return 0, err
	}
	listen, err := r.startOne(discovery, members)
	if err != nil {
		return 0, err
	}
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /order/long HTTP/1.1\r\nHost: api.internal\r\nReq-Id: long\r\nReq-Owner: lib-padova\r\nReq-Deadline: 1.000\r\nContent-Length: %d\r\n\r\n", size); err != nil {
		return 0, err
	}
	begun := time.Now()
	piece := make([]byte, rate/4)
	dropped, added := false, false
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := conn.Write(piece); err != nil {
			return 0, err
		}
		if r.trouble && !dropped && time.Since(begun) > time.Second {
			dropped = true
			if _, err := r.writeConfig(listen, discovery.address, members, padovaClasses[:2]); err != nil {
				return 0, err
			}
			r.procs[0].signal(syscall.SIGHUP)
		}
		if r.trouble && !added && time.Since(begun) > 122500*time.Millisecond {
			added = true
			classes := append(append([]class{}, padovaClasses[:2]...), class{"preview", "pure", 300, 1000, 1})
			if _, err := r.writeConfig(listen, discovery.address, members, classes); err != nil {
				return 0, err
			}
			r.procs[0].signal(syscall.SIGHUP)
		}
		time.Sleep(time.Until(begun.Add(time.Duration(sent+len(piece)) * time.Second / rate)))
	}
	r.note("sent the last byte of the order")
	a, err := readAnswer(bufio.NewReader(conn))
	if err != nil {
		return 0, err
	}
	r.note("answer %d, runs %d", a.status, len(ran))
	fmt.Println("answer", a.status, "runs", len(ran))
	fmt.Println(r.procs[0].log())
	if len(ran) > 0 && (a.status == 503 || a.status == 429) {
		return broken, nil
	}
	return held, nil
}
