package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

func init() { cases["8"] = restart }

const (
	restartRounds  = 6
	restartClients = 3
	tilesAtOnce    = 6
	tileDeadline   = 2500 * time.Millisecond
	killAfter      = 3200 * time.Millisecond // the longest deadline and 0.7 s
	burstAfter     = 2300 * time.Millisecond // from SIGTERM; the sidecar still serves
	crossing       = 100 * time.Millisecond  // what is written so short before the end of a connection may cross it
)

// restart ends a sidecar by SIGTERM as a planned restart does, with SIGKILL 3.2 s later. Clients keep their connections, and send
// six tiles at once on them 2.3 s after SIGTERM. It judges whether each of these has an answer, on its connection or, sent once
// more, on a new one. Without the disruption the sidecar isn't ended.
func restart(r *rig) (int, error) {
	service := func(s *tileServer, a arrival) string {
		r.note("run %s at %s", a.id, s.id)
		time.Sleep(150 * time.Millisecond)
		return "done " + a.id
	}
	members, err := startServers(6, service)
	if err != nil {
		return 0, err
	}
	lost := 0
	for round := range restartRounds {
		discovery, err := newAgent(members)
		if err != nil {
			return 0, err
		}
		listen, err := r.startOne(discovery, members)
		if err != nil {
			return 0, err
		}
		n, err := r.restartRound(round, listen, r.procs[len(r.procs)-1])
		if err != nil {
			return 0, err
		}
		lost += n
	}
	r.note("taken and not answered: %d of %d in %d rounds", lost, restartRounds*restartClients*tilesAtOnce, restartRounds)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

func (r *rig) restartRound(round int, listen string, sidecar *process) (lost int, err error) {
	var conns []net.Conn
	var readers []*bufio.Reader
	for c := range restartClients { // connections that clients have used and keep
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := conn.Write([]byte(request("tile", fmt.Sprintf("first-%d-%d", round, c), tileDeadline, ""))); err != nil {
			return 0, err
		}
		if a, err := readAnswer(reader); err != nil || a.status != 200 {
			return 0, fmt.Errorf("first request: %v %v", a.status, err)
		}
		conns, readers = append(conns, conn), append(readers, reader)
	}
	begun := time.Now()
	if r.trouble {
		sidecar.signal(syscall.SIGTERM)
		defer time.AfterFunc(killAfter, func() {
			if !sidecar.hasEnded() {
				sidecar.signal(syscall.SIGKILL)
			}
		}).Stop()
	}
	time.Sleep(time.Until(begun.Add(burstAfter)))
	results := make(chan int, restartClients)
	for c := range conns {
		go func() { results <- r.sixAtOnce(listen, fmt.Sprintf("%d-%d", round, c), conns[c], readers[c]) }()
	}
	for range conns {
		lost += <-results
	}
	time.Sleep(time.Until(begun.Add(killAfter + 100*time.Millisecond)))
	sidecar.kill()
	return lost, nil
}

// sixAtOnce sends the tiles, and returns how many of them are lost.
func (r *rig) sixAtOnce(listen, name string, conn net.Conn, reader *bufio.Reader) (lost int) {
	var ids []string
	var text strings.Builder
	for i := range tilesAtOnce {
		ids = append(ids, fmt.Sprintf("tile-%s-%d", name, i))
		text.WriteString(request("tile", ids[i], tileDeadline, ""))
	}
	if _, err := conn.Write([]byte(text.String())); err != nil {
		r.note("not sent, the connection has ended: %v", err)
		return 0
	}
	sentAt := time.Now()
	r.note("sent %s to %s", ids[0], ids[len(ids)-1])
	for i, id := range ids {
		_ = conn.SetReadDeadline(sentAt.Add(tileDeadline + slackOfAnswers))
		a, err := readAnswer(reader)
		if err == nil {
			r.note("answer %s: %d, %.0f ms after its last byte, closes %t", id, a.status, float64(a.at.Sub(sentAt))/1e6, a.closes)
			continue
		}
		open := time.Since(sentAt)
		r.note("no answer to %s and what follows: %v, %.0f ms after they were written", id, err, float64(open)/1e6)
		if open < crossing {
			return lost
		}
		for _, rest := range ids[i:] {
			lost += r.onceMore(listen, rest)
		}
		return lost
	}
	return lost
}

// onceMore sends a request on a new connection, and returns 1 if it has no answer there.
func (r *rig) onceMore(listen, id string) int {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		r.note("once more %s: %v", id, err)
		return 1
	}
	defer conn.Close()
	_, _ = conn.Write([]byte(request("tile", id, tileDeadline, "")))
	_ = conn.SetReadDeadline(time.Now().Add(tileDeadline + slackOfAnswers))
	a, err := readAnswer(bufio.NewReader(conn))
	if err != nil {
		r.note("once more %s: %v", id, err)
		return 1
	}
	r.note("once more %s: %d", id, a.status)
	return 0
}
