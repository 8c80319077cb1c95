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

// start starts a node with a listener by socket activation. What it and its successors print comes line by line, until
// the last of them has ended.
func start(t *testing.T) (process *os.Process, address string, out *bufio.Scanner) {
	l := must(net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}))
	defer l.Close()
	f := must(l.File())
	defer f.Close()
	cmd := exec.Command("/bin/sh", "-c", `LISTEN_FDS=1 LISTEN_PID=$$ exec "$0"`, os.Args[0])
	cmd.Env, cmd.ExtraFiles, cmd.Stderr = append(os.Environ(), roleVar+"=node"), []*os.File{f}, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // it and its successors can be ended together
	r := must(cmd.StdoutPipe()).(*os.File)
	_ = r.SetReadDeadline(time.Now().Add(time.Minute))
	must(0, cmd.Start())
	t.Cleanup(func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL); _ = cmd.Wait() })
	return cmd.Process, l.Addr().String(), bufio.NewScanner(r)
}

// waitForLine reads on to a line with that.
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

// client is a connection on which nothing takes longer than a test may.
func client(t *testing.T, address string) *net.TCPConn {
	c := must(net.Dial("tcp", address)).(*net.TCPConn)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	return c
}

// askPid sends what is asked, if anything, and returns who answers and with which number; zeros where nobody does.
func askPid(c net.Conn, line string) (pid, number int) {
	fmt.Fprint(c, line)
	if _, err := fmt.Fscanln(c, &pid, &number); err != nil {
		return 0, 0
	}
	return pid, number
}

func servedBy(t *testing.T, pid int, c net.Conn, line string) {
	t.Helper()
	if got, _ := askPid(c, line); got != pid {
		t.Errorf("answered by %d, not by %d", got, pid)
	}
}

// Whatever becomes of its first successor, the predecessor serves as before, and a second one takes over.
func TestSuccessors(t *testing.T) {
	for role, says := range map[string]string{
		"refuses":         "(exit status 7): it refuses: no room",
		"other version":   "(exit status 7): it refuses: another version",
		"exits":           "(exit status 3): it ended before it was ready",
		"deaf":            "(signal: killed): not ready within 100ms",
		"late":            "(exit status 7): terminated",
		"wrapped":         "start the program directly or by exec",
		"/nowhere":        "start the successor: fork/exec /nowhere",
		"dies":            "lost",
		"dies passing":    "lost",
		"dies at the end": "lost",
		"silent":          "lost",
	} {
		t.Run(role, func(t *testing.T) {
			old, address, out := start(t)
			a, b := client(t, address), client(t, address)
			askPid(b, "a\n")
			fmt.Fprintf(a, "next %s\n", role)
			if role == "late" {
				waitForLine(t, out, "waiting")
				askPid(b, "next node\n")
				waitForLine(t, out, ErrInProgress.Error())
				old.Signal(syscall.SIGTERM)
			}
			waitForLine(t, out, says)
			servedBy(t, old.Pid, a, "")
			left := []net.Conn{client(t, address)}
			for _, c := range []net.Conn{a, b} {
				if pid, _ := askPid(c, "b\n"); pid != 0 {
					left = append(left, c)
				}
			}
			// Those that were taken end with the successor: nobody can tell what that had done with them.
			if lost := 3 - len(left); lost != map[string]int{"dies passing": 1, "dies at the end": 2}[role] {
				t.Errorf("%d connections lost", lost)
			}
			servedBy(t, old.Pid, left[0], "next node\n")
			waitForLine(t, out, "all is mine: <nil>")
			successor, _ := askPid(client(t, address), "c\n")
			for _, c := range left {
				servedBy(t, successor, c, "c\n")
			}
			if successor == old.Pid {
				t.Error("there is no successor")
			}
			fmt.Fprintln(left[0], "end")
		})
	}
}

func TestPredecessorKilledBeforeReady(t *testing.T) {
	old, address, out := start(t)
	fmt.Fprintln(client(t, address), "next late")
	waitForLine(t, out, "waiting")
	old.Kill()
	waitForLine(t, out, ErrCancelled.Error())
	for out.Scan() {
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Error("somebody still listens")
	}
}

func TestPredecessorKilledWhilePassing(t *testing.T) {
	old, address, out := start(t)
	a, b, held := client(t, address), client(t, address), client(t, address)
	fmt.Fprintln(held, "hold") // keeps the predecessor from being done
	waitForLine(t, out, "holding")
	askPid(a, "a\n")
	servedBy(t, old.Pid, b, "next node\n")
	var successor int
	for _, c := range []net.Conn{a, b} {
		for successor = old.Pid; successor == old.Pid; { // until it has been passed: a read under way comes first
			successor, _ = askPid(c, "a\n")
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

// One client has a request under way whenever the listener and its connection move on, and its next ones are sent
// already; another one asks all the time, on a kept connection and on new ones. systemd gets the id of each main process.
func TestTenGenerations(t *testing.T) {
	supervisor := must(net.ListenUnixgram("unixgram", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "notify")}))
	defer func() { _ = supervisor.Close() }()
	_ = supervisor.SetReadDeadline(time.Now().Add(time.Minute))
	t.Setenv("NOTIFY_SOCKET", supervisor.LocalAddr().String())
	process, address, _ := start(t)
	busy, kept := client(t, address), client(t, address)
	over, asked := make(chan struct{}), make(chan int)
	go func() {
		for n := 1; ; n++ {
			fresh := client(t, address)
			_, one := askPid(fresh, "a\n")
			if _, number := askPid(kept, "a\n"); one != 1 || number != n {
				t.Errorf("request %d: lost", n)
			}
			_ = fresh.Close()
			select {
			case <-over:
				asked <- n
				return
			default:
			}
		}
	}()
	fmt.Fprint(busy, strings.Repeat("next node\n", 10))
	told := fmt.Sprintf("MAINPID=%d", process.Pid)
	for i := 1; i <= 11; i++ {
		pid, number := askPid(busy, "")
		if number != i || told != fmt.Sprintf("MAINPID=%d", pid) {
			t.Fatalf("answer %d comes from %d, number %d, and systemd was told %s", i, pid, number, told)
		}
		if i == 10 {
			fmt.Fprintln(busy, "a")
		}
		if i <= 10 {
			var b [64]byte
			told = string(b[:must(supervisor.Read(b[:]))])
		}
	}
	close(over)
	if n := <-asked; n < 10 {
		t.Errorf("only %d requests beside", n)
	}
	fmt.Fprintln(busy, "end")
}

// successorPipe is the control socket of a successor in this process.
func successorPipe() (old *control, getenv func(string) string) {
	old, theirs, err := socketPair()
	must(0, err)
	defer theirs.Close()
	_ = old.SetReadDeadline(time.Now().Add(time.Minute))
	fd := must(syscall.Dup(int(theirs.Fd())))
	return old, func(string) string { return strconv.Itoa(fd) }
}

func TestBadHellos(t *testing.T) {
	l := must(net.Listen("tcp", "127.0.0.1:0")).(*net.TCPListener)
	defer l.Close()
	for _, tc := range []struct {
		name   string
		hello  any
		socket syscall.Conn
		want   string
	}{
		{"another version", map[int]any{1: 1, 2: "n1", 9: []int{1}}, l, "speaks handover version 1, this program version 3"},
		{"too long a state", Hello{Version: Version, State: MaxState + 1}, l, "state of 16777217 bytes, at most 16777216"},
		{"a negative state", Hello{Version: Version, State: -1}, l, "state of -1 bytes"},
		{"no CBOR map", "hello", l, "malformed"},
		{"a connection for a listener", Hello{Version: Version}, client(t, l.Addr().String()), "no listening TCP socket"},
		{"more state than was announced", Hello{Version: Version, State: 1}, l, "kind 's' with 2 bytes within the state"},
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
			t.Errorf("%s: the error is %v, the predecessor gets %c %q", tc.name, err, m.kind, m.body)
		}
	}
	for _, value := range []string{"x", "-1", "0"} {
		if _, err := Inherited(func(string) string { return value }); err == nil {
			t.Errorf("%s=%s is taken", ControlVariable, value)
		}
	}
	if l, err := SystemdListener(func(string) string { return "1" }); l != nil || err != nil {
		t.Errorf("what is meant for process 1 is taken: %v", err)
	}
}

// What a predecessor has sent is taken after its end too, even where that end has left answers unread.
func TestQueueOutlivesPredecessor(t *testing.T) {
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
	taken, next := 0, Coordinator{Inherited: s}
	err := s.ReceiveConns(t.Context(), func(*net.TCPConn, []byte) {
		if taken++; taken == 1 && next.claim() {
			t.Error("it may hand over before it has everything")
		}
		_ = old.Close()
	})
	if taken != 3 || !errors.Is(err, ErrPredecessorLost) || !next.claim() {
		t.Errorf("%d taken, then %v", taken, err)
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
