package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = pipelined }

const (
	pipelinedRounds = 8
	orderDeadline   = time.Second
	heavyOrder      = 900 * time.Millisecond // 22 times the usual work
	usualOrder      = 40 * time.Millisecond
	slackOfAnswers  = 550 * time.Millisecond // "half a second", and 50 ms on sockets
)

// pipelined lets clients write three orders on a connection: the first two whole and the beginning of the third at once, and the
// rest of the third 0.75 s later. The first two are of those that cost many times the usual work. It judges when the second has
// its final answer. Without the disruption the clients send one order at a time, each whole.
func pipelined(r *rig) (int, error) {
	var ran sync.Map // how often each id has run
	service := func(s *tileServer, a arrival) string {
		count, _ := ran.LoadOrStore(a.id, new(atomic.Int32))
		n := count.(*atomic.Int32).Add(1)
		r.note("run %s at %s, run %d, told %.3f s", a.id, s.id, n, a.deadline.Seconds())
		if strings.HasPrefix(a.id, "heavy") {
			time.Sleep(heavyOrder)
		} else {
			time.Sleep(usualOrder)
		}
		return "done " + a.id
	}
	members, err := startServers(5, service)
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
	var background sync.WaitGroup
	for i := range 4 { // the usual orders, of which the heavy ones are a small part
		background.Go(func() { r.usualOrders(listen, fmt.Sprintf("usual%d", i), stop) })
	}
	time.Sleep(2 * time.Second)
	late := 0
	for round := range pipelinedRounds {
		send := r.threeAtOnce
		if !r.trouble {
			send = r.threeInTurn
		}
		n, err := send(listen, round)
		if err != nil {
			return 0, err
		}
		late += n
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	background.Wait()
	r.note("answers later than %v after their time: %d in %d rounds", slackOfAnswers, late, pipelinedRounds)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// startServers starts n tile servers and returns their entries.
func startServers(n int, service func(*tileServer, arrival) string) (members []member, err error) {
	for i := range n {
		s, err := newTileServer(fmt.Sprintf("s-%d", i+1), service)
		if err != nil {
			return nil, err
		}
		members = append(members, s.member())
	}
	return members, nil
}

// startOne starts one sidecar and waits until it is ready.
func (r *rig) startOne(discovery *agent, members []member) (listen string, err error) {
	if listen, err = freeAddress(); err != nil {
		return "", err
	}
	config, err := r.writeConfig(listen, discovery.address, members, padovaClasses)
	if err != nil {
		return "", err
	}
	env := []string{"GW_CONFIG=" + config, "GW_NAME=n1", "GW_LISTEN=" + listen, "GW_DISCOVERY=" + discovery.address}
	if _, err := r.start("n1", env); err != nil {
		return "", err
	}
	return listen, waitReady(listen, "/up", 10*time.Second)
}

// usualOrders sends one order after another on one connection.
func (r *rig) usualOrders(listen, name string, stop chan struct{}) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if _, err := conn.Write([]byte(request("order", fmt.Sprintf("%s-%d", name, i), orderDeadline, "x"))); err != nil {
			return
		}
		if _, err := readAnswer(reader); err != nil {
			return
		}
	}
}

// judgeAnswer notes the answer to an order that was written at sentAt, and returns 1 if it counts as lost.
func (r *rig) judgeAnswer(id string, sentAt time.Time, a answer) int {
	over := a.at.Sub(sentAt) - orderDeadline
	r.note("answer %s: %d, %.0f ms after its last byte, %.0f ms after its time", id, a.status, float64(a.at.Sub(sentAt))/1e6, float64(over)/1e6)
	if over > slackOfAnswers {
		return 1
	}
	return 0
}

func orderIDs(round int) []string {
	return []string{fmt.Sprintf("heavy-%d-a", round), fmt.Sprintf("heavy-%d-b", round), fmt.Sprintf("third-%d", round)}
}

func (r *rig) threeAtOnce(listen string, round int) (late int, err error) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	ids := orderIDs(round)
	third := request("order", ids[2], orderDeadline, "x")
	half := len(third) / 2
	if _, err := conn.Write([]byte(request("order", ids[0], orderDeadline, "x") + request("order", ids[1], orderDeadline, "x") + third[:half])); err != nil {
		return 0, err
	}
	sentAt := time.Now()
	r.note("sent %s and %s whole, and %s in part", ids[0], ids[1], ids[2])
	thirdAt := make(chan time.Time, 1)
	go func() {
		time.Sleep(750 * time.Millisecond)
		at := time.Now()
		_, _ = conn.Write([]byte(third[half:]))
		r.note("sent the rest of %s", ids[2])
		thirdAt <- at
	}()
	reader := bufio.NewReader(conn)
	for i, id := range ids {
		a, err := readAnswer(reader)
		if err != nil {
			r.note("no answer to %s: %v", id, err)
			return late, nil // whatever follows on the connection is not judged
		}
		if i == 2 {
			sentAt = <-thirdAt
		}
		late += r.judgeAnswer(id, sentAt, a)
	}
	return late, nil
}

func (r *rig) threeInTurn(listen string, round int) (late int, err error) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, id := range orderIDs(round) {
		if _, err := conn.Write([]byte(request("order", id, orderDeadline, "x"))); err != nil {
			return 0, err
		}
		sentAt := time.Now()
		r.note("sent %s", id)
		a, err := readAnswer(reader)
		if err != nil {
			r.note("no answer to %s: %v", id, err)
			return late + 1, nil
		}
		late += r.judgeAnswer(id, sentAt, a)
	}
	return late, nil
}
