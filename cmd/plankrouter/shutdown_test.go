package main

// Users saw dozens of requests without an answer whenever a process of theirs was told to end while the machine was busy: they had been
// accepted late in the shutdown, forwarded to servers that took their time, and were still open when the process was killed.
//
// The order of events: SIGTERM is sent; the process does not run for 0.15 s and then counts its time from when it reads the signal; 0.1 s
// before the end that it reckons with it gives up what is open, in several steps, each of which may be held up again; by then it has been
// killed. The evidence are the rows below, each of which stops a real process at one edge of its shutdown: on the code before, every stop
// that touches the word or the last 0.15 s leaves requests that servers have seen without an answer, and no other does.

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"plankrouter/internal/testbench/fakes"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	holdUp      = 150 * time.Millisecond // of a process, at any step
	holdUpMost  = 165 * time.Millisecond // a stop that the test's own machine made longer says nothing
	shutdownRow = 400 * time.Millisecond // the longest deadline of the rows below
	killMargin  = 700 * time.Millisecond // of SIGKILL after the longest deadline, both from when SIGTERM was sent
	rowTries    = 5                      // of a row whose stops were not those that it asks for
)

// pause is a moment of the shutdown at which the process is stopped for holdUp, counted from SIGTERM, or back from the kill.
type pause struct {
	at         time.Duration
	beforeKill bool
}

func afterSignal(at time.Duration) pause { return pause{at: at} }
func beforeKill(at time.Duration) pause  { return pause{at: at, beforeKill: true} }

// early is a signal that comes so long before SIGTERM.
type early struct {
	syscall.Signal
	by time.Duration
}

// shutdownCase is a row: what befalls a process as it is told to end.
type shutdownCase struct {
	pauses   []pause
	before   []early          // other signals, before SIGTERM
	group    bool             // SIGTERM goes to the whole group: the process may have handed over
	shorter  time.Duration    // the longest deadline that a configuration written before them has; 0 = as it was
	after    []syscall.Signal // sent just after SIGTERM
	halves   bool             // clients that send the rest of a request late
	clients  int              // 0 = 24
	service  time.Duration    // of the servers; 0 = 250 ms
	late     time.Duration    // likewise from SIGTERM on; 0 = as before
	deadline time.Duration    // the longest; 0 = shutdownRow
}

// TestNothingIsLostWhenAProcessEnds stops a real process at the edges of its shutdown, among clients that go on sending on their open
// connections until SIGKILL comes at its earliest, with signals of other kinds close by.
func TestNothingIsLostWhenAProcessEnds(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes")
	}
	for name, row := range map[string]shutdownCase{
		"undisturbed":                      {},
		"the word is seen late":            {pauses: []pause{afterSignal(-5 * time.Millisecond)}},
		"held up 0.55 s before the kill":   {pauses: []pause{beforeKill(550 * time.Millisecond)}},
		"held up 0.4 s before the kill":    {pauses: []pause{beforeKill(400 * time.Millisecond)}},
		"held up 0.3 s before the kill":    {pauses: []pause{beforeKill(300 * time.Millisecond)}},
		"held up 0.25 s before the kill":   {pauses: []pause{beforeKill(250 * time.Millisecond)}},
		"held up 0.2 s before the kill":    {pauses: []pause{beforeKill(200 * time.Millisecond)}},
		"held up over the kill":            {pauses: []pause{beforeKill(120 * time.Millisecond)}},
		"held up until the kill":           {pauses: []pause{beforeKill(160 * time.Millisecond)}},
		"seen late, and before the kill":   {pauses: []pause{afterSignal(-5 * time.Millisecond), beforeKill(250 * time.Millisecond)}},
		"held up three times in a row":     {pauses: []pause{beforeKill(530 * time.Millisecond), beforeKill(360 * time.Millisecond), beforeKill(180 * time.Millisecond)}},
		"long deadlines":                   {deadline: 1500 * time.Millisecond, service: 700 * time.Millisecond, pauses: []pause{afterSignal(-5 * time.Millisecond), beforeKill(200 * time.Millisecond)}},
		"a crowd":                          {clients: 300, pauses: []pause{afterSignal(-5 * time.Millisecond), beforeKill(250 * time.Millisecond)}},
		"halves of requests":               {halves: true},
		"halves, held up until the kill":   {halves: true, pauses: []pause{beforeKill(160 * time.Millisecond)}},
		"halves, held up":                  {halves: true, pauses: []pause{beforeKill(300 * time.Millisecond)}},
		"a shorter deadline is in the way": {deadline: 1200 * time.Millisecond, service: 700 * time.Millisecond, shorter: shutdownRow, before: []early{{syscall.SIGHUP, time.Millisecond}}},
		"a shorter deadline, seen late": {
			deadline: 1200 * time.Millisecond, service: 700 * time.Millisecond, shorter: shutdownRow,
			before: []early{{syscall.SIGHUP, time.Millisecond}}, pauses: []pause{afterSignal(-5 * time.Millisecond)},
		},
		"a reload comes behind it": {after: []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2}, pauses: []pause{afterSignal(-5 * time.Millisecond)}},
		"a handover has begun":     {before: []early{{syscall.SIGUSR2, 5 * time.Millisecond}}},
		"a reload within a handover": {
			deadline: 1200 * time.Millisecond, service: 150 * time.Millisecond, shorter: shutdownRow, group: true, late: 900 * time.Millisecond,
			before: []early{{syscall.SIGUSR2, 300 * time.Millisecond}, {syscall.SIGHUP, 280 * time.Millisecond}},
		},
		"a handover is passing to a crowd": {clients: 300, halves: true, before: []early{{syscall.SIGUSR2, 120 * time.Millisecond}}},
		"a handover is passing":            {before: []early{{syscall.SIGUSR2, 120 * time.Millisecond}}},
		"a handover, a reload, a report": {before: []early{
			{syscall.SIGUSR2, 120 * time.Millisecond},
			{syscall.SIGHUP, 80 * time.Millisecond},
			{syscall.SIGUSR1, 40 * time.Millisecond},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range rowTries {
				lost, valid := row.play(t)
				if !valid {
					continue
				}
				if len(lost) > 0 {
					t.Errorf("%d requests are lost: %s", len(lost), strings.Join(lost[:min(3, len(lost))], "; "))
				}
				return
			}
			t.Skipf("the machine never kept a stop under %s", holdUpMost)
		})
	}
}

// endingWorld is what a row plays in.
type endingWorld struct {
	t        *testing.T
	row      shutdownCase
	address  string
	file     string
	sidecar  fakes.Sidecar
	servers  []*fakes.Provider
	cmd      *exec.Cmd
	log      *os.File
	killedAt time.Time // when SIGKILL was about to be sent; guarded by mu

	mu   sync.Mutex
	lost []string
}

// play plays the row once, and returns what was lost; not valid says that the machine made a stop longer than it was to be.
func (row shutdownCase) play(t *testing.T) (lost []string, valid bool) {
	row.clients, row.service = cmp.Or(row.clients, 24), cmp.Or(row.service, 250*time.Millisecond)
	row.deadline = cmp.Or(row.deadline, shutdownRow)
	w := &endingWorld{t: t, row: row}
	w.start()
	defer w.end()
	var clients sync.WaitGroup
	for i := range row.clients {
		clients.Go(func() { w.client(i) })
	}
	time.Sleep(300 * time.Millisecond) // until all are at work
	if row.halves {
		for i := range 4 {
			clients.Go(func() { w.half(i) })
		}
		time.Sleep(50 * time.Millisecond)
	}
	valid = w.shutDown()
	clients.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost, valid
}

func (w *endingWorld) start() {
	network, t := fakes.Loopback(), w.t
	var members []fakes.Member
	for i := range 4 {
		p, err := fakes.NewProvider(network, fakes.ProviderOptions{
			ID: fmt.Sprint("s", i), Cores: 500, Queue: 10,
			Default: fakes.Service{Mean: w.row.service, Fixed: true, Body: 100},
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		w.servers, members = append(w.servers, p), append(members, p.Member())
	}
	directory, err := fakes.NewDirectory(network, "", members...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(directory.Close)
	l, err := network.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	w.address = l.Addr().String()
	l.Close()
	folder := t.TempDir()
	w.file = filepath.Join(folder, "config.json")
	w.sidecar = fakes.Sidecar{
		Name: "n1", Listen: w.address, Seed: 1, Directory: directory.Address(), Sockets: 4096, MemoryMB: 256,
		Connect: 150 * time.Millisecond, ConnIdle: time.Minute, DrainGrace: 750 * time.Millisecond, Known: fakes.List{Revision: 1, Members: members},
	}
	w.configure(w.row.deadline)
	if w.log, err = os.Create(filepath.Join(folder, "log")); err != nil {
		t.Fatal(err)
	}
	w.cmd = exec.Command(os.Args[0])
	w.cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+w.file, "TMPDIR=", "GW_TRACE=1")
	w.cmd.Stdout, w.cmd.Stderr = w.log, w.log
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a successor is killed with it
	if err := w.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if err := fakes.Ready(t.Context(), network, w.address); err != nil {
		t.Fatal(err)
	}
}

// configure writes the configuration with this deadline of its one class.
func (w *endingWorld) configure(longest time.Duration) {
	tile := fakes.Tile()
	tile.Deadline, tile.Aim = longest, longest
	w.sidecar.Classes = []fakes.Class{tile}
	raw, err := fakes.Config(w.sidecar)
	if err == nil {
		err = errors.Join(os.WriteFile(w.file+".next", raw, 0o600), os.Rename(w.file+".next", w.file))
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// end kills what is left of the processes.
func (w *endingWorld) end() {
	syscall.Kill(-w.cmd.Process.Pid, syscall.SIGKILL)
	w.cmd.Wait()
	w.log.Close()
	if len(w.lost) > 0 {
		if raw, err := os.ReadFile(w.log.Name()); err == nil {
			for _, line := range strings.Split(string(raw), "\n") {
				if (strings.Contains(line, "state=") || strings.Contains(line, "handover=")) && !strings.Contains(line, "trace=") {
					w.t.Log(line)
				}
			}
		}
	}
}

// shutDown sends the row's signals, stops the process at its moments and kills it at the earliest. It reports whether the stops were as
// long as they were to be.
func (w *endingWorld) shutDown() (valid bool) {
	pid, longest := w.cmd.Process.Pid, w.row.deadline
	if w.row.shorter > 0 {
		longest = w.row.shorter
	}
	kill := longest + killMargin
	valid, stopped := true, sync.WaitGroup{}
	var mu sync.Mutex
	word := time.Now().Add(20 * time.Millisecond)
	if len(w.row.before) > 0 {
		word = word.Add(w.row.before[0].by)
	}
	for _, p := range w.row.pauses {
		at := word.Add(p.at)
		if p.beforeKill {
			at = word.Add(kill - p.at)
		}
		stopped.Go(func() {
			time.Sleep(time.Until(at))
			began := time.Now()
			syscall.Kill(pid, syscall.SIGSTOP)
			time.Sleep(holdUp)
			syscall.Kill(pid, syscall.SIGCONT)
			mu.Lock()
			defer mu.Unlock()
			valid = valid && time.Since(began) < holdUpMost
		})
	}
	for _, s := range w.row.before {
		time.Sleep(time.Until(word.Add(-s.by)))
		if s.Signal == syscall.SIGHUP && w.row.shorter > 0 {
			w.configure(w.row.shorter)
		}
		syscall.Kill(pid, s.Signal)
	}
	time.Sleep(time.Until(word))
	sent, to := time.Now(), pid
	if w.row.group {
		to = -pid
	}
	syscall.Kill(to, syscall.SIGTERM)
	if w.row.late > 0 {
		for _, p := range w.servers {
			p.Change(func(b *fakes.Behaviour) { b.Slow = float64(w.row.late) / float64(w.row.service) })
		}
	}
	for _, s := range w.row.after {
		time.Sleep(2 * time.Millisecond)
		syscall.Kill(pid, s)
	}
	time.Sleep(time.Until(sent.Add(kill)))
	w.mu.Lock()
	w.killedAt = time.Now()
	w.mu.Unlock()
	syscall.Kill(-pid, syscall.SIGKILL)
	stopped.Wait()
	return valid
}

func (w *endingWorld) killed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.killedAt.IsZero()
}

func (w *endingWorld) lose(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = append(w.lost, fmt.Sprintf(format, args...))
}

// client sends one request after another on a connection of its own, until there is nobody to send to.
func (w *endingWorld) client(number int) {
	var c net.Conn
	var br *bufio.Reader
	for i := 0; !w.killed(); i++ {
		id := fmt.Sprintf("%d-%d", number, i)
		for again := false; ; again = true { // a request that crosses the end of its connection is sent once more
			fresh := c == nil
			if fresh {
				var err error
				if c, err = net.Dial("tcp", w.address); err != nil {
					return // the process has closed its listener: nobody has taken the request
				}
				br = bufio.NewReader(c)
			}
			sent := time.Now()
			if _, err := io.WriteString(c, w.request(id, "")); err == nil || fresh {
				resp, err := http.ReadResponse(br, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err == nil {
					if resp.Close {
						c.Close()
						c = nil
					}
					if resp.StatusCode != 200 {
						time.Sleep(5 * time.Millisecond)
					}
					break
				}
				if seen := w.seen(id); seen || fresh || w.killed() {
					w.lose("%s, sent %s before the end of its connection, forwarded %t, new connection %t, killed %t: %v", id,
						time.Since(sent).Round(time.Millisecond), seen, fresh, w.killed(), err)
					c.Close()
					return
				}
			}
			c.Close()
			if c = nil; again {
				break
			}
		}
	}
	if c != nil {
		c.Close()
	}
}

// half sends half a request before SIGTERM, and the rest as late as its number says, unless it has had an answer or an end by then.
func (w *endingWorld) half(number int) {
	c, err := net.Dial("tcp", w.address)
	if err != nil {
		w.t.Error(err)
		return
	}
	defer c.Close()
	id, kill := fmt.Sprint("half-", number), w.row.deadline+killMargin
	text := w.request(id, "0.3")
	io.WriteString(c, text[:len(text)-3])
	lead := time.Duration(20+60*number) * time.Millisecond
	c.SetReadDeadline(time.Now().Add(70*time.Millisecond + kill - lead)) // SIGTERM comes 0.07 s from now
	br := bufio.NewReader(c)
	if _, err := br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	if _, err := io.WriteString(c, text[len(text)-3:]); err != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := http.ReadResponse(br, nil); err != nil {
		w.lose("%s, whole %s before the kill, forwarded %t: %v", id, lead, w.seen(id), err)
	}
}

// request words a request; deadline "" = the class's.
func (w *endingWorld) request(id, deadline string) string {
	if deadline != "" {
		deadline = "Req-Deadline: " + deadline + "\r\n"
	}
	return fmt.Sprintf("GET /tile/%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\n%s\r\n", id, id, deadline)
}

// seen reports whether a server has had the request.
func (w *endingWorld) seen(id string) bool {
	for _, p := range w.servers {
		for _, r := range p.Requests() {
			if r.ID == id {
				return true
			}
		}
	}
	return false
}
