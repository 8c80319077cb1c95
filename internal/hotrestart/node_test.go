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

const roleVar = "HANDOVER_TEST_ROLE" // the test binary is started anew as a process of that role

var state = bytes.Repeat([]byte("learned"), 100_000) // more than a socket's buffer holds

func TestMain(m *testing.M) {
	role := os.Getenv(roleVar)
	if role == "" {
		os.Exit(m.Run())
	}
	if err := play(role); err != nil {
		fmt.Println(err)
		os.Exit(7)
	}
}

func play(role string) error {
	at := func(moment string, do func()) {
		if role == moment {
			do()
		}
	}
	hang, die := func() { time.Sleep(time.Hour) }, func() { _ = syscall.Kill(os.Getpid(), syscall.SIGKILL) }
	at("exits", func() { os.Exit(3) })
	at("deaf", hang)
	at("other version", func() { // one that does not even read the state
		c := must(openControl(3))
		_, _, _ = c.receive()
		_ = c.send(message{kind: kindRefuse, body: []byte("another version")}, noDescriptor)
		os.Exit(7)
	})
	at("dies at the end", func() {
		for c := must(openControl(3)); ; {
			switch m, _, _ := c.receive(); m.kind {
			case kindHello:
				_ = c.send(message{kind: kindReady, number: uint64(os.Getpid())}, noDescriptor)
			case kindConn:
				_ = c.send(message{kind: kindTaken, number: m.number}, noDescriptor)
			case kindDone:
				die()
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
	if role == "refuses" || !bytes.Equal(s.State(), state) {
		return s.Reject("no room")
	}
	at("late", func() { fmt.Println("waiting"); <-s.Cancelled() })
	if err := s.Ready(); err != nil {
		return err
	}
	at("dies", die)
	at("silent", hang)
	go func() {
		err := s.ReceiveConns(context.Background(), func(c *net.TCPConn, note []byte) {
			at("dies passing", die)
			n.serving.Go(func() { n.serve(c, must(strconv.Atoi(string(note)))) })
		})
		fmt.Println("all is mine:", err)
		close(n.settled)
	}()
	n.run()
	return nil
}

// node is a daemon that answers each line with its process id and how many lines that makes on the connection.
// "next ROLE" lets it hand over before it answers, "hold" is never answered, "end" ends it.
type node struct {
	coordinator Coordinator
	listener    *net.TCPListener
	settled     chan struct{} // all is its own
	serving     sync.WaitGroup
	conns       sync.Map
	next        atomic.Pointer[Predecessor]
}

func (n *node) handOver(role string) error {
	<-n.settled
	o := Options{Address: "here", State: state, Env: append(os.Environ(), roleVar+"="+role)}
	switch role {
	case "deaf":
		o.ReadyTimeout = 100 * time.Millisecond
	case "silent":
		o.AckTimeout = 100 * time.Millisecond
	case "wrapped":
		o.Path, o.Args = "/bin/sh", []string{"-c", `"$0"; true`, os.Args[0]}
	case "/nowhere":
		o.Path = role
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p, err := n.coordinator.Start(ctx, n.listener, o)
	if err != nil {
		return err
	}
	if p.TransferConn(must(net.ListenUDP("udp", nil)), nil) == nil && role == "node" {
		panic("what is no connection counts as passed")
	}
	n.next.Store(p)
	n.listener.SetDeadline(longAgo)
	n.conns.Range(func(c, _ any) bool { return c.(*net.TCPConn).SetReadDeadline(longAgo) != nil || true })
	return nil
}

// run accepts until all has been handed over.
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
		var b [1]byte // nothing beyond a line's end may be read
		if _, err := c.Read(b[:]); errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.SetReadDeadline(time.Time{})
			continue
		} else if err != nil {
			return
		}
		if line += string(b[:]); b[0] != '\n' {
			continue
		}
		switch word, role, _ := strings.Cut(strings.TrimSpace(line), " "); word {
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
