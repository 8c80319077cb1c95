package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["6"] = upgradeCase }

const (
	upgradeRounds = 8
	slowBody      = 48 << 10
	slowRate      = 64000 // bytes a second
	orderWork     = 300 * time.Millisecond
	leaveAfter    = 100 * time.Millisecond // from the last byte
	againAfter    = 300 * time.Millisecond // from leaving
)

// platform starts one process after another on the clients' listening socket, which it holds.
type platform struct {
	rig      *rig
	config   string
	listen   string
	socket   *os.File
	agent    *agent
	started  int
	current  *process
	retiring []*process
}

func (r *rig) newPlatform(members []member) (*platform, error) {
	discovery, err := newAgent(members)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	p := &platform{rig: r, listen: l.Addr().String(), socket: socket, agent: discovery}
	if p.config, err = r.writeConfig(p.listen, discovery.address, members, padovaClasses); err != nil {
		return nil, err
	}
	return p, p.next()
}

// next starts a process, waits for its yes and sends SIGTERM to the one before, which gets SIGKILL 3.2 s later.
func (p *platform) next() error {
	admin, err := freeAddress()
	if err != nil {
		return err
	}
	p.started++
	env := []string{
		"GW_CONFIG=" + p.config, "GW_NAME=n1", "GW_LISTEN=" + p.listen, "GW_DISCOVERY=" + p.agent.address, "GW_ADMIN_ADDR=" + admin,
		"GW_LISTEN_FD=5",
	}
	started, err := p.rig.start(fmt.Sprintf("n1-%d", p.started), env, nil, nil, p.socket)
	if err != nil {
		return err
	}
	if err := waitReady(admin, "/ready", 6*time.Second); err != nil {
		return err
	}
	p.rig.note("%s says yes", started.name)
	if old := p.current; old != nil {
		old.signal(syscall.SIGTERM)
		time.AfterFunc(killAfter, func() {
			if !old.hasEnded() {
				old.signal(syscall.SIGKILL)
			}
		})
	}
	p.current = started
	return nil
}

// upgradeCase lets a client write an order slowly while a new version is started, leave 0.1 s after its last byte, and send the
// same order once more on a new connection. It judges how often the order has run. Without the disruption no new version is started.
func upgradeCase(r *rig) (int, error) {
	ran := newRuns(r, orderWork)
	members, err := startServers(5, ran.service)
	if err != nil {
		return 0, err
	}
	p, err := r.newPlatform(members)
	if err != nil {
		return 0, err
	}
	for round := range upgradeRounds {
		id := fmt.Sprintf("order-%d", round)
		body := strings.Repeat("x", slowBody)
		sent := make(chan error, 1)
		go func() { sent <- r.sendSlowlyAndLeave(p.listen, id, body) }()
		time.Sleep(100 * time.Millisecond)
		if r.trouble {
			if err := p.next(); err != nil {
				return 0, err
			}
		}
		if err := <-sent; err != nil {
			return 0, err
		}
		time.Sleep(againAfter)
		r.sendAgain(p.listen, id, body)
		time.Sleep(4 * time.Second) // until the old process has ended
	}
	return ran.judge()
}

// sendSlowlyAndLeave writes an order at 64 kB a second on a new connection, and closes that shortly after the last byte.
func (r *rig) sendSlowlyAndLeave(listen, id, body string) error {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	text := request("order", id, orderDeadline, body)
	head := len(text) - len(body)
	r.note("begins to write %s", id)
	if _, err := conn.Write([]byte(text[:head])); err != nil {
		return err
	}
	const piece = 4 << 10
	for rest := text[head:]; rest != ""; {
		time.Sleep(piece * time.Second / slowRate)
		n := min(piece, len(rest))
		if _, err := conn.Write([]byte(rest[:n])); err != nil {
			r.note("the connection has ended before the last byte of %s: %v", id, err)
			return nil
		}
		rest = rest[n:]
	}
	r.note("sent %s", id)
	time.Sleep(leaveAfter)
	r.note("leaves %s", id)
	return nil
}

// sendAgain sends an order whole on a new connection and notes its answer.
func (r *rig) sendAgain(listen, id, body string) {
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		r.note("again %s: %v", id, err)
		return
	}
	defer conn.Close()
	r.note("sent again %s", id)
	_, _ = conn.Write([]byte(request("order", id, orderDeadline, body)))
	_ = conn.SetReadDeadline(time.Now().Add(orderDeadline + slackOfAnswers))
	a, err := readAnswer(bufio.NewReader(conn))
	r.note("again %s: answer %d %v", id, a.status, err)
}
