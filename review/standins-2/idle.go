package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["10"] = idle }

const (
	slowReaders   = 500
	longAnswer    = 4 << 20
	readRate      = 64000 // bytes a second
	idleClients   = 500
	ordersBesides = 12
)

// idle lets 500 clients read long answers at 64 kB a second, which takes all the connections that the sidecar gives to clients, and
// then 500 clients connect and send nothing. It judges when orders that are sent beside them, each on a new connection, have their
// final answer. Without the disruption nobody connects and sends nothing.
func idle(r *rig) (int, error) {
	long := strings.Repeat("x", longAnswer)
	members, err := startServers(15, func(s *tileServer, a arrival) string {
		if strings.HasPrefix(a.target, "/tile") {
			return long
		}
		r.note("run %s at %s", a.id, s.id)
		time.Sleep(usualOrder)
		return "done " + a.id
	})
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
	stop := make(chan struct{})
	var others sync.WaitGroup
	served := make(chan bool, slowReaders)
	for i := range slowReaders {
		others.Go(func() { served <- r.readSlowly(listen, fmt.Sprintf("slow-%d", i), stop) })
		time.Sleep(3 * time.Millisecond)
	}
	time.Sleep(time.Second)
	r.note("slow readers connected, %d of them have left", len(served))
	if r.trouble {
		for range idleClients {
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				return 0, err
			}
			defer conn.Close()
		}
		r.note("%d idle clients connected", idleClients)
	}
	late := make(chan int, ordersBesides)
	for i := range ordersBesides {
		go func() { late <- r.orderBeside(listen, fmt.Sprintf("order-%d", i)) }()
		time.Sleep(100 * time.Millisecond)
	}
	lost := 0
	for range ordersBesides {
		lost += <-late
	}
	close(stop)
	others.Wait()
	r.note("answered too late, or not at all: %d of %d", lost, ordersBesides)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// readSlowly asks for a long answer and reads it slowly until stop is closed. A client that is refused leaves.
func (r *rig) readSlowly(listen, id string, stop chan struct{}) bool {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(request("tile", id, tileDeadline, ""))); err != nil {
		return false
	}
	buf := make([]byte, 8000)
	for total := 0; total < longAnswer; {
		n, err := conn.Read(buf)
		if err != nil || total == 0 && !strings.HasPrefix(string(buf[:n]), "HTTP/1.1 200") {
			return false
		}
		total += n
		select {
		case <-stop:
			return true
		case <-time.After(time.Duration(n) * time.Second / readRate):
		}
	}
	return true
}

// orderBeside sends an order on a new connection, and returns 1 if its answer comes later than its time and half a second. A
// connection that is shut unread is not judged.
func (r *rig) orderBeside(listen, id string) int {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		r.note("%s: %v", id, err)
		return 0
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(request("order", id, orderDeadline, "x"))); err != nil {
		r.note("%s: %v", id, err)
		return 0
	}
	sentAt := time.Now()
	r.note("sent %s", id)
	_ = conn.SetReadDeadline(sentAt.Add(15 * time.Second))
	a, err := readAnswer(bufio.NewReader(conn))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.note("no answer to %s in 15 s", id)
		return 1
	case err != nil:
		r.note("%s: the connection was shut: %v", id, err)
		return 0
	}
	return r.judgeAnswer(id, sentAt, a)
}
