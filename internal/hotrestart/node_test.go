package hotrestart

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const roleVariable = "HANDOVER_TEST_ROLE" // the test binary is started again as a process with this role

var state = bytes.Repeat([]byte("learned"), 100_000) // larger than a socket's buffer

func TestMain(m *testing.M) {
	role := os.Getenv(roleVariable)
	if role == "" {
		os.Exit(m.Run())
	}
	if err := play(role); err != nil {
		fmt.Println(err)
		os.Exit(7)
	}
}

// play runs a node with the given role. The roles other than "node" fail at the step that they are named after.
func play(role string) error {
	at := func(step string, do func()) {
		if role == step {
			do()
		}
	}
	hang, kill := func() { time.Sleep(time.Hour) }, func() { _ = syscall.Kill(os.Getpid(), syscall.SIGKILL) }
	at("exits", func() { os.Exit(3) })
	at("hangs before ready", hang)
	at("other version", func() { // does not read the state
		c := must(openControl(3))
		_, _, _ = c.receive()
		_ = c.send(message{kind: kindReject, body: []byte("another version")}, noDescriptor)
		os.Exit(7)
	})
	at("killed before completion", func() {
		for c := must(openControl(3)); ; {
			switch m, _, _ := c.receive(); m.kind {
			case kindHello:
				_ = c.send(message{kind: kindReady, number: uint64(os.Getpid())}, noDescriptor)
			case kindConn:
				_ = c.send(message{kind: kindConnAccepted, number: m.number}, noDescriptor)
			case kindComplete:
				kill()
			}
		}
	})
	s, err := Inherited(os.Getenv)
	if err != nil {
		return err
	}
	n := &node{coordinator: Coordinator{Inherited: s}, settled: make(chan struct{})}
	if s == nil {
		close(n.settled)
		n.listener = must(SystemdListener(os.Getenv))
		n.run()
		return nil
	}
	n.listener = s.Listener()
	if role == "rejects" || !bytes.Equal(s.State(), state) {
		return s.Reject("no room")
	}
	at("waits for cancellation", func() { fmt.Println("waiting"); <-s.Cancelled() })
	if err := s.Ready(); err != nil {
		return err
	}
	at("killed when ready", kill)
	at("hangs after ready", hang)
	go func() {
		err := s.ReceiveConns(context.Background(), func(c *net.TCPConn, note []byte) {
			at("killed during transfer", kill)
			n.serving.Go(func() { n.serve(c, must(strconv.Atoi(string(note)))) })
		})
		fmt.Println("received all connections:", err)
		close(n.settled)
	}()
	n.run()
	return nil
}

// node is a daemon that responds to each line with its process id and the number of lines received on the connection so
// far. On "next ROLE" it hands over to a successor of that role before it responds, "hold" gets no response, and "end"
// makes it exit.
type node struct {
	coordinator Coordinator
	listener    *net.TCPListener
	settled     chan struct{} // closed once no handover from a predecessor is in progress
	serving     sync.WaitGroup
	conns       sync.Map
	next        atomic.Pointer[Predecessor] // the handover in progress; nil = none
}

func (n *node) handOver(role string) error {
	<-n.settled
	o := Options{Address: "here", State: state, Env: append(os.Environ(), roleVariable+"="+role)}
	switch role {
	case "hangs before ready":
		o.ReadyTimeout = 100 * time.Millisecond
	case "hangs after ready":
		o.AckTimeout = 100 * time.Millisecond
	case "wrapped in a shell":
		o.Path, o.Args = "/bin/sh", []string{"-c", `"$0"; true`, os.Args[0]}
	case "/nonexistent":
		o.Path = role
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p, err := n.coordinator.Start(ctx, n.listener, o)
	if err != nil {
		return err
	}
	if p.TransferConn(must(net.ListenUDP("udp", nil)), nil) == nil && role == "node" {
		panic("a UDP socket was transferred as a connection")
	}
	n.next.Store(p)
	n.listener.SetDeadline(expiredDeadline)
	n.conns.Range(func(c, _ any) bool { return c.(*net.TCPConn).SetReadDeadline(expiredDeadline) != nil || true })
	return nil
}

// run accepts connections until everything has been handed over.
func (n *node) run() {
	for {
		if c, err := n.listener.AcceptTCP(); err == nil {
			n.serving.Go(func() { n.serve(c, 0) })
			continue
		}
		p, done := n.next.Load(), make(chan struct{})
		go func() {
			if n.serving.Wait(); p.Complete() == nil {
				close(done)
			}
		}()
		select {
		case <-done:
			return
		case <-p.Lost():
			n.next.Store(nil)
			n.listener.SetDeadline(time.Time{})
			fmt.Println("lost")
		}
	}
}

func (n *node) serve(c *net.TCPConn, count int) {
	defer func() { _ = c.Close() }()
	n.conns.Store(c, nil)
	var line string
	for {
		if p := n.next.Load(); p != nil && line == "" && p.TransferConn(c, []byte(strconv.Itoa(count))) == nil {
			return
		}
		var b [1]byte // reads no data beyond the end of a line, since it would be lost in a transfer
		if _, err := c.Read(b[:]); errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.SetReadDeadline(time.Time{})
			continue
		} else if err != nil {
			return
		}
		if line += string(b[:]); b[0] != '\n' {
			continue
		}
		switch command, role, _ := strings.Cut(strings.TrimSpace(line), " "); command {
		case "next":
			if err := n.handOver(role); err != nil {
				fmt.Println("failed:", err)
			}
		case "hold":
			fmt.Println("holding")
			select {}
		case "end":
			os.Exit(0)
		}
		count, line = count+1, ""
		fmt.Fprintln(c, os.Getpid(), count)
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
