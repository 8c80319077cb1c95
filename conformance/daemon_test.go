package conformance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"plankrouter"
	"plankrouter/internal/testbench/fakes"
)

// program builds the daemon once, in programDir, which TestMain removes, and returns the path of the executable.
var (
	programDir string
	program    = sync.OnceValues(func() (path string, err error) {
		if programDir, err = os.MkdirTemp("", "conformance"); err != nil {
			return "", err
		}
		path = filepath.Join(programDir, "plankrouter")
		build := exec.Command("go", "build", "-o", path, "plankrouter/cmd/plankrouter")
		if out, err := build.CombinedOutput(); err != nil {
			return path, fmt.Errorf("build: %w: %s", err, out)
		}
		return path, nil
	})
)

// daemon is the driver of the daemon, which runs as a process.
type daemon struct {
	ctx      context.Context
	settings *settings
	cmd      *exec.Cmd
	address  string
	ended    chan error
	idleFDs  int // open descriptors after the start
	reports  int // lines of counters requested by SIGUSR1

	mu  sync.Mutex
	log []string
}

var (
	startedLine  = regexp.MustCompile(`state=started listen=(\S+)`)
	shutdownLine = regexp.MustCompile(`state=(stopping)`)
	acceptedLine = regexp.MustCompile(`counters=core taken=(\d+)`)
)

func (d *daemon) config() ([]byte, error) {
	var classes []fakes.Class
	for _, c := range d.settings.classes {
		classes = append(classes, fakes.Class{
			Name: c.Name, Idempotent: c.Idempotency == plankrouter.Idempotent, LatencyObjective: c.LatencyObjective,
			Deadline: c.Deadline, PriorityWeight: c.PriorityWeight,
		})
	}
	s, ms := d.settings, func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fakes.Config(fakes.SidecarConfig{
		Name: "n1", Listen: "127.0.0.1:0", Discovery: s.discovery.Address(), Seed: 1,
		Known: fakes.List{Revision: 1, Endpoints: s.endpoints}, Classes: classes, MaxConns: s.connections, NoProbes: !s.probes,
		MaxAttempts: s.maxAttempts, ConnIdle: s.connIdle, ConnectTimeout: s.connect, DrainGrace: s.drainGrace,
		Edit: func(document map[string]any) {
			settings := document["settings"].(map[string]any)
			settings["Limits"].(map[string]any)["MaxRetryAfterMs"] = ms(s.maxRetryAfter)
			settings["OverShareWorth"] = s.overQuotaWeight
			settings["Safety"] = map[string]any{
				"StartCapacity": s.slowStart.StartCapacity, "WarmWithinMs": ms(s.slowStart.WarmUpTime),
				"TipMultiple": s.slowStart.OverloadMultiple, "FallMs": ms(s.slowStart.OverloadWindow), "DrainGraceMs": ms(s.drainGrace),
			}
			realms := []any{}
			for _, t := range s.tenants {
				realms = append(realms, map[string]any{"Name": t.Name, "QuotaPerS": t.QuotaPerSecond})
			}
			settings["Realms"] = realms
		},
	})
}

func (d *daemon) Start(s *settings) error {
	d.settings, d.ended = s, make(chan error, 1)
	path, err := program()
	if err != nil {
		return err
	}
	raw, err := d.config()
	if err != nil {
		return err
	}
	file := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	d.cmd = exec.CommandContext(d.ctx, path)
	d.cmd.Env = []string{"GW_CONFIG=" + file}
	lines, err := d.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	go func() {
		for scan := bufio.NewScanner(lines); scan.Scan(); {
			d.mu.Lock()
			d.log = append(d.log, scan.Text())
			d.mu.Unlock()
		}
		d.ended <- d.cmd.Wait()
	}()
	if err := await(d.ctx, func() bool { return len(d.logMatches(startedLine)) > 0 }); err != nil {
		return fmt.Errorf("the daemon did not start: %w", err)
	}
	d.address = d.logMatches(startedLine)[0]
	if err := awaitRevision(d.ctx, s.discovery); err != nil {
		return err
	}
	d.idleFDs, err = d.descriptors()
	return err
}

// logMatches returns the pattern's first group for each log line that matches.
func (d *daemon) logMatches(pattern *regexp.Regexp) (found []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, line := range d.log {
		if m := pattern.FindStringSubmatch(line); m != nil {
			found = append(found, m[1])
		}
	}
	return found
}

func (d *daemon) descriptors() (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	return len(all), err
}

func (d *daemon) Update(changed []fakes.Endpoint, all bool) error {
	return updateDiscovery(d.ctx, d.settings.discovery, changed, all)
}

func (d *daemon) Accepted() (n int, err error) {
	d.reports++
	if err := d.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		return 0, err
	}
	if err := await(d.ctx, func() bool { return len(d.logMatches(acceptedLine)) >= d.reports }); err != nil {
		return 0, fmt.Errorf("the daemon logged no counters: %w", err)
	}
	return strconv.Atoi(d.logMatches(acceptedLine)[d.reports-1])
}

func (d *daemon) ExtraConnections() (int, error) {
	n, err := d.descriptors()
	return n - d.idleFDs, err
}

// Stop sends SIGTERM, after which the daemon serves requests for some more seconds. If soon is true, it sends a second SIGTERM,
// which shortens that to half a second.
func (d *daemon) Stop(soon bool) error {
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil || !soon {
		return err
	}
	if err := await(d.ctx, func() bool { return len(d.logMatches(shutdownLine)) > 0 }); err != nil {
		return fmt.Errorf("the daemon does not stop on SIGTERM: %w", err)
	}
	return d.cmd.Process.Signal(syscall.SIGTERM)
}

func (d *daemon) Closed() bool {
	c, err := net.Dial("tcp", d.address)
	if err == nil {
		c.Close()
	}
	return err != nil
}

func (d *daemon) Wait() error {
	select {
	case err := <-d.ended:
		return err
	case <-time.After(waitLimit):
		return fmt.Errorf("the daemon has not ended within %s", waitLimit)
	}
}

func (d *daemon) Kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		d.cmd.Process.Kill()
	}
}

// message returns the request as a client of the daemon sends it.
func (r *request) message() []byte {
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: api.internal\r\n", r.method, r.target)
	if !r.withoutID {
		b = fmt.Appendf(b, "Req-Id: %s\r\n", r.id)
	}
	switch {
	case r.deadlinePassed:
		b = append(b, "Req-Deadline: 0\r\n"...)
	case r.deadline > 0:
		b = fmt.Appendf(b, "Req-Deadline: %.3f\r\n", r.deadline.Seconds())
	}
	if r.tenant != "" {
		b = fmt.Appendf(b, "Req-Owner: %s\r\n", r.tenant)
	}
	for _, f := range r.fields {
		b = fmt.Appendf(b, "%s: %s\r\n", f[0], f[1])
	}
	if len(r.body) > 0 || r.method == "POST" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(r.body))
	}
	return fmt.Appendf(b, "\r\n%s", r.body)
}

// Do sends the request on a connection of its own.
func (d *daemon) Do(ctx context.Context, r *request) outcome {
	c, err := net.Dial("tcp", d.address)
	if err != nil {
		return outcome{kind: "closed"}
	}
	defer c.Close()
	// A client cancels a request by closing its connection. Here the read half stays open, to see that the daemon closes its end.
	leave := func() { _ = c.(*net.TCPConn).CloseWrite() } // fails if the daemon has closed the connection before
	defer context.AfterFunc(ctx, leave)()
	message := r.message()
	if r.cancelledEarly {
		_, _ = c.Write(message[:len(message)/2])
		leave()
		_, _ = io.Copy(io.Discard, c) // returns when the daemon has closed the connection, with or without an error
		return outcome{kind: "cancelled"}
	}
	_, _ = c.Write(message) // may fail after an early response, which is read below
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	switch {
	case ctx.Err() != nil && err != nil:
		return outcome{kind: "cancelled"}
	case err != nil:
		return outcome{kind: fmt.Sprintf("no response: %v", err)}
	}
	return daemonOutcome(r, resp, body)
}

func daemonOutcome(r *request, resp *http.Response, body []byte) outcome {
	switch resp.StatusCode {
	case 200:
		var fields []string
		for name, values := range resp.Header {
			for _, v := range values {
				if name != "Content-Length" && name != "Connection" {
					fields = append(fields, name+"="+v)
				}
			}
		}
		slices.Sort(fields)
		return served(200, fields, body)
	case 429, 503:
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return rejected(r, time.Duration(s*float64(time.Second)))
	case 502:
		return outcome{kind: "failed"}
	case 409:
		return outcome{kind: "conflict"}
	case 413:
		return outcome{kind: "too large"}
	case 400, 404, 405:
		return outcome{kind: "turned away"}
	}
	return outcome{kind: "status " + strconv.Itoa(resp.StatusCode)}
}

// tail returns the last 20 lines of the log, for the report of a failure.
func (d *daemon) tail() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.log[max(0, len(d.log)-20):], "\n")
}
