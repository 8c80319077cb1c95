package hotrestart

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// start starts a node that gets its listener by socket activation. out has the lines that the node and its successors
// print, until the last of them exits.
func start(t *testing.T) (process *os.Process, address string, out *bufio.Scanner) {
	l := must(net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}))
	defer l.Close()
	f := must(l.File())
	defer f.Close()
	cmd := exec.Command("/bin/sh", "-c", `LISTEN_FDS=1 LISTEN_PID=$$ exec "$0"`, os.Args[0])
	cmd.Env, cmd.ExtraFiles, cmd.Stderr = append(os.Environ(), roleVariable+"=node"), []*os.File{f}, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that the cleanup kills the node with its successors
	stdout := must(cmd.StdoutPipe()).(*os.File)
	_ = stdout.SetReadDeadline(time.Now().Add(time.Minute))
	must(0, cmd.Start())
	t.Cleanup(func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL); _ = cmd.Wait() })
	return cmd.Process, l.Addr().String(), bufio.NewScanner(stdout)
}

// waitForLine reads lines until one contains want.
func waitForLine(t *testing.T, out *bufio.Scanner, want string) {
	t.Helper()
	var lines []string
	for out.Scan() {
		if lines = append(lines, out.Text()); strings.Contains(out.Text(), want) {
			return
		}
	}
	t.Fatalf("want %q, got %q", want, lines)
}

// client returns a connection to address with a deadline of one minute.
func client(t *testing.T, address string) *net.TCPConn {
	c := must(net.Dial("tcp", address)).(*net.TCPConn)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	return c
}

// requestPid sends line, which may be empty, and returns the process id and the number of lines from the node's response; zeros
// without a response.
func requestPid(c net.Conn, line string) (pid, number int) {
	fmt.Fprint(c, line)
	if _, err := fmt.Fscanln(c, &pid, &number); err != nil {
		return 0, 0
	}
	return pid, number
}

// servedBy checks that the process pid responds to line.
func servedBy(t *testing.T, pid int, c net.Conn, line string) {
	t.Helper()
	if got, _ := requestPid(c, line); got != pid {
		t.Errorf("response of process %d, want process %d", got, pid)
	}
}

// However its first successor fails, the predecessor keeps serving, and a second successor takes over.
func TestFailedSuccessorThenReplacement(t *testing.T) {
	for role, message := range map[string]string{
		"rejects":                  "(exit status 7): it rejected the handover: no room",
		"other version":            "(exit status 7): it rejected the handover: another version",
		"exits":                    "(exit status 3): it exited before it was ready",
		"hangs before ready":       "(signal: killed): not ready within 100ms",
		"waits for cancellation":   "(exit status 7): terminated",
		"wrapped in a shell":       "start the program directly or by exec",
		"/nonexistent":             "start the successor: fork/exec /nonexistent",
		"killed when ready":        "lost",
		"killed during transfer":   "lost",
		"killed before completion": "lost",
		"hangs after ready":        "lost",
	} {
		t.Run(role, func(t *testing.T) {
			old, address, out := start(t)
			a, b := client(t, address), client(t, address)
			requestPid(b, "a\n")
			fmt.Fprintf(a, "next %s\n", role)
			if role == "waits for cancellation" {
				waitForLine(t, out, "waiting")
				requestPid(b, "next node\n")
				waitForLine(t, out, ErrInProgress.Error())
				old.Signal(syscall.SIGTERM)
			}
			waitForLine(t, out, message)
			servedBy(t, old.Pid, a, "")
			open := []net.Conn{client(t, address)}
			for _, c := range []net.Conn{a, b} {
				if pid, _ := requestPid(c, "b\n"); pid != 0 {
					open = append(open, c)
				}
			}
			// Connections that the successor had accepted are closed with it: the predecessor can't know how far it had
			// used them.
			if lost := 3 - len(open); lost != map[string]int{"killed during transfer": 1, "killed before completion": 2}[role] {
				t.Errorf("%d connections lost", lost)
			}
			servedBy(t, old.Pid, open[0], "next node\n")
			waitForLine(t, out, "received all connections: <nil>")
			successor, _ := requestPid(client(t, address), "c\n")
			for _, c := range open {
				servedBy(t, successor, c, "c\n")
			}
			if successor == old.Pid {
				t.Error("served by the predecessor after the handover")
			}
			fmt.Fprintln(open[0], "end")
		})
	}
}

func TestPredecessorKilledBeforeReady(t *testing.T) {
	old, address, out := start(t)
	fmt.Fprintln(client(t, address), "next waits for cancellation")
	waitForLine(t, out, "waiting")
	old.Kill()
	waitForLine(t, out, ErrCancelled.Error())
	for out.Scan() {
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Error("a process still listens on the address")
	}
}

func TestPredecessorKilledDuringTransfer(t *testing.T) {
	old, address, out := start(t)
	a, b, held := client(t, address), client(t, address), client(t, address)
	fmt.Fprintln(held, "hold") // keeps the predecessor from completing the handover
	waitForLine(t, out, "holding")
	requestPid(a, "a\n")
	servedBy(t, old.Pid, b, "next node\n")
	var successor int
	for _, c := range []net.Conn{a, b} {
		for successor = old.Pid; successor == old.Pid; { // until its transfer, which may follow one more read
			successor, _ = requestPid(c, "a\n")
		}
	}
	old.Kill()
	servedBy(t, 0, held, "")
	waitForLine(t, out, ErrPredecessorLost.Error())
	for _, c := range []net.Conn{a, b, client(t, address)} {
		servedBy(t, successor, c, "a\n")
	}
	fmt.Fprintln(a, "end")
}

// Hot restarts one after another lose no request. One client has a request in progress at each handover and has already
// sent its next ones; another one sends requests all the time, on one reused connection and on new ones. systemd is sent
// the id of each main process.
func TestTenConsecutiveRestarts(t *testing.T) {
	supervisor := must(net.ListenUnixgram("unixgram", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "notify")}))
	defer func() { _ = supervisor.Close() }()
	_ = supervisor.SetReadDeadline(time.Now().Add(time.Minute))
	t.Setenv("NOTIFY_SOCKET", supervisor.LocalAddr().String())
	process, address, _ := start(t)
	busy, reused := client(t, address), client(t, address)
	done, requests := make(chan struct{}), make(chan int)
	go func() {
		for n := 1; ; n++ {
			fresh := client(t, address)
			_, first := requestPid(fresh, "a\n")
			if _, number := requestPid(reused, "a\n"); first != 1 || number != n {
				t.Errorf("request %d: lost", n)
			}
			_ = fresh.Close()
			select {
			case <-done:
				requests <- n
				return
			default:
			}
		}
	}()
	fmt.Fprint(busy, strings.Repeat("next node\n", 10))
	mainPid := fmt.Sprintf("MAINPID=%d", process.Pid)
	for i := 1; i <= 11; i++ {
		pid, number := requestPid(busy, "")
		if number != i || mainPid != fmt.Sprintf("MAINPID=%d", pid) {
			t.Fatalf("response %d has process id %d and count %d, and systemd was sent %s", i, pid, number, mainPid)
		}
		if i == 10 {
			fmt.Fprintln(busy, "a")
		}
		if i <= 10 {
			var b [64]byte
			mainPid = string(b[:must(supervisor.Read(b[:]))])
		}
	}
	close(done)
	if n := <-requests; n < 10 {
		t.Errorf("only %d requests of the second client", n)
	}
	fmt.Fprintln(busy, "end")
}

// successorPipe returns the predecessor's end of a control socket, and an environment that makes this process the successor.
func successorPipe() (old *control, getenv func(string) string) {
	old, remote, err := socketPair()
	must(0, err)
	defer remote.Close()
	_ = old.SetReadDeadline(time.Now().Add(time.Minute))
	fd := must(syscall.Dup(int(remote.Fd())))
	return old, func(string) string { return strconv.Itoa(fd) }
}

func TestInvalidHellos(t *testing.T) {
	l := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	defer l.Close()
	for _, tc := range []struct {
		name   string
		hello  any
		socket syscall.Conn
		want   string
	}{
		{"another version", map[int]any{1: 1, 2: "n1", 9: []int{1}}, l, "uses handover version 1, this program version 3"},
		{"state too long", Hello{Version: Version, State: MaxState + 1}, l, "state of 16777217 bytes, at most 16777216"},
		{"negative state length", Hello{Version: Version, State: -1}, l, "state of -1 bytes"},
		{"not a CBOR map", "hello", l, "malformed"},
		{"a connection instead of a listener", Hello{Version: Version}, client(t, l.Addr().String()), "not a listening TCP socket"},
		{"more state than announced", Hello{Version: Version, State: 1}, l, "kind 's' with 2 bytes within the state"},
		{"another address", Hello{Version: Version, Address: "there"}, l, `listen on "there", this one on "here"`},
	} {
		old, getenv := successorPipe()
		must(0, old.sendConn(message{kind: kindHello, body: must(cbor.Marshal(tc.hello))}, tc.socket))
		must(0, old.send(message{kind: kindState, body: []byte("ab")}, noDescriptor))
		_ = old.CloseWrite()
		s, err := Inherited(getenv)
		if err == nil {
			err = s.CheckAddress("here")
		}
		m, _, _ := old.receive()
		if err == nil || !strings.Contains(err.Error(), tc.want) || !strings.Contains(string(m.body), tc.want) {
			t.Errorf("%s: the error is %v, the predecessor receives %c %q", tc.name, err, m.kind, m.body)
		}
	}
	for _, value := range []string{"x", "-1", "0"} {
		if _, err := Inherited(func(string) string { return value }); err == nil {
			t.Errorf("%s=%s is accepted", ControlVariable, value)
		}
	}
	if l, err := SystemdListener(func(string) string { return "1" }); l != nil || err != nil {
		t.Errorf("the listener for process 1 is accepted: %v", err)
	}
}

// A successor receives the messages that its predecessor sent before it exited, even if the predecessor left responses unread.
func TestQueuedMessagesReceivedAfterPredecessorExit(t *testing.T) {
	old, getenv := successorPipe()
	l := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	defer l.Close()
	must(0, old.sendConn(message{kind: kindHello, body: must(cbor.Marshal(Hello{Version: Version}))}, l))
	s := must(Inherited(getenv))
	must(0, old.send(message{kind: kindServe}, noDescriptor))
	must(0, s.Ready())
	for range 3 {
		must(0, old.sendConn(message{kind: kindConn}, client(t, l.Addr().String())))
	}
	received, next := 0, Coordinator{Inherited: s}
	err := s.ReceiveConns(t.Context(), func(*net.TCPConn, []byte) {
		if received++; received == 1 && next.claim() {
			t.Error("it may hand over before its own handover is complete")
		}
		_ = old.Close()
	})
	if received != 3 || !errors.Is(err, ErrPredecessorLost) || !next.claim() {
		t.Errorf("%d connections received, then %v", received, err)
	}
}

func FuzzDecode(f *testing.F) {
	hello := message{kind: kindHello, body: must(cbor.Marshal(Hello{Version, "n1", "127.0.0.1:3000", 5}))}
	for _, b := range [][]byte{
		{},
		[]byte("h1234567"), []byte("?12345678"), hello.encode(),
		message{kind: kindConn, number: 1 << 63, body: make([]byte, MaxNote+1)}.encode(),
	} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b)
		if err == nil && (len(m.body) > m.kind.maxBody() || string(m.encode()) != string(b)) {
			t.Errorf("%q is read as %q", b, m.encode())
		}
		if h, err := decodeHello(m.body); err == nil && (h.Version != Version || h.State < 0 || h.State > MaxState) {
			t.Errorf("%q is read as %+v", m.body, h)
		}
	})
}
