package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["7"] = again }

const (
	againFor   = 70 * time.Second
	againEvery = 250 * time.Millisecond
	comesAgain = 2 * time.Second // after its client has left
)

// again lets a client send an order every 0.25 s, each on a connection of its own, leave 0.1 s after it is written, and send the
// same order once more 2 s later. Without the disruption the client stays for its answer and sends nothing again.
func again(r *rig) (int, error) {
	ran := newRuns(r, orderWork)
	members, err := startServers(5, ran.service)
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
	var clients sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < againFor; i++ {
		id := fmt.Sprintf("order-%d", i)
		clients.Go(func() {
			if !r.trouble {
				r.sendAgain(listen, id, "x")
				return
			}
			r.sendAndLeave(listen, id)
			time.Sleep(comesAgain)
			r.sendAgain(listen, id, "x")
		})
		time.Sleep(againEvery)
	}
	clients.Wait()
	return ran.judge()
}

// sendAndLeave sends an order on a new connection, and closes that 0.1 s later unless its answer has come.
func (r *rig) sendAndLeave(listen, id string) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		r.note("%s: %v", id, err)
		return
	}
	defer conn.Close()
	_, _ = conn.Write([]byte(request("order", id, orderDeadline, "x")))
	r.note("sent %s", id)
	_ = conn.SetReadDeadline(time.Now().Add(leaveAfter))
	if a, err := readAnswer(bufio.NewReader(conn)); err == nil {
		r.note("answer %s: %d", id, a.status)
	}
	r.note("leaves %s", id)
}
