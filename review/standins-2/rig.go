// Command standins-2 has the stand-ins of the second review: a discovery agent, tile servers and clients on loopback
// addresses, and one judge for each case. run.sh of a case starts it with the case's number.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// rig is one run: the record, the folder for the sidecar's files, and the processes that were started.
type rig struct {
	root    string // of the repository
	tmp     string
	trouble bool
	begun   time.Time

	mu     sync.Mutex
	record *bufio.Writer
	procs  []*process
	ended  bool // no further process may be started
}

func newRig(root, recordPath string) (*rig, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &rig{root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), record: bufio.NewWriter(f)}, nil
}

// note writes one line of the record: what was sent, answered or run, and when, in milliseconds since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.1f ", float64(time.Since(r.begun))/1e6)
	fmt.Fprintf(r.record, format+"\n", args...)
}

// end ends all processes, and writes out the record.
func (r *rig) end() {
	r.mu.Lock()
	r.ended = true
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = os.RemoveAll(r.tmp)
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// process is one process of the project.
type process struct {
	rig  *rig
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

var runKey = regexp.MustCompile(`(?m)^run = "(.*?)"`)

// runCommand returns the value of run in the deploy file.
func (r *rig) runCommand() (string, error) {
	raw, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := runKey.FindSubmatch(raw)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no key run")
	}
	return string(m[1]), nil
}

// start starts a sidecar as the deploy file says. files become its descriptors from 3 on; nil leaves a number unused.
func (r *rig) start(name string, env []string, files ...*os.File) (*process, error) {
	command, err := r.runCommand()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.tmp, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = r.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.tmp}, env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.ExtraFiles = files
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil, errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{rig: r, name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		r.note("process %s ended: %v", name, err)
		log.Close()
		close(p.done)
	}()
	r.procs = append(r.procs, p)
	go r.note("process %s started, pid %d", name, cmd.Process.Pid)
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	p.rig.note("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) kill() {
	if !p.hasEnded() {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// log returns what the process has written.
func (p *process) log() string {
	raw, _ := os.ReadFile(filepath.Join(p.rig.tmp, p.name+".log"))
	return string(raw)
}

// waitReady waits until GET /up on the address returns 200.
func waitReady(address, path string, within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + address + path)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
	}
	return fmt.Errorf("%s%s is not 200 within %v", address, path, within)
}

// member is one entry of the list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// agent is the discovery agent on the sidecar's machine. It answers at once; a watch waits for a change.
type agent struct {
	address string

	mu       sync.Mutex
	revision int
	members  []member
	changed  map[string]int // revision of each server's last change
	wake     chan struct{}  // closed at each change
}

func newAgent(members []member) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{address: l.Addr().String(), revision: 1, members: members, changed: map[string]int{}, wake: make(chan struct{})}
	for _, m := range members {
		a.changed[m.ID] = 1
	}
	go http.Serve(l, http.HandlerFunc(a.serve))
	return a, nil
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("index"))
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	deadline := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		a.mu.Lock()
		wake := a.wake
		out := list{Revision: a.revision, Complete: !watch, Members: []member{}}
		for _, m := range a.members {
			if !watch && m.Phase != "DELETED" || watch && a.changed[m.ID] > after {
				out.Members = append(out.Members, m)
			}
		}
		a.mu.Unlock()
		if !watch || len(out.Members) > 0 || wait == 0 {
			writeJSON(w, out)
			return
		}
		select {
		case <-wake:
		case <-deadline:
			writeJSON(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	raw, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// set adds or changes an entry.
func (a *agent) set(m member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision++
	found := false
	for i := range a.members {
		if a.members[i].ID == m.ID {
			a.members[i] = m
			found = true
		}
	}
	if !found {
		a.members = append(a.members, m)
	}
	a.changed[m.ID] = a.revision
	close(a.wake)
	a.wake = make(chan struct{})
}

// arrival is one request whose last byte has arrived at a tile server.
type arrival struct {
	id       string
	method   string
	target   string
	body     []byte
	deadline time.Duration // that the sidecar states
	at       time.Time
}

// tileServer serves requests over HTTP/1.1. Service is called with each request, in its own goroutine, and returns the body of
// the 200 answer; an empty one means no answer.
type tileServer struct {
	id      string
	address string
	service func(s *tileServer, a arrival) string

	mu       sync.Mutex
	inflight int
	listener net.Listener
}

func newTileServer(id string, service func(*tileServer, arrival) string) (*tileServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &tileServer{id: id, address: l.Addr().String(), service: service, listener: l}
	go (&http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: time.Minute}).Serve(l)
	return s, nil
}

func (s *tileServer) member() member {
	return member{ID: s.id, HostPort: s.address, Locality: "padova-a", Flavor: "std-4", Cell: 1, Phase: "SERVING", Size: 1}
}

func (s *tileServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/alive" || r.URL.Path == "/metrics/load" {
		s.mu.Lock()
		report := map[string]any{"active": s.inflight, "avg_ms": 40}
		s.mu.Unlock()
		writeJSON(w, report)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	seconds, _ := strconv.ParseFloat(r.Header.Get("Req-Deadline"), 64)
	s.mu.Lock()
	s.inflight++
	s.mu.Unlock()
	answer := s.service(s, arrival{
		id: r.Header.Get("Req-Id"), method: r.Method, target: r.RequestURI, body: body,
		deadline: time.Duration(seconds * float64(time.Second)), at: time.Now(),
	})
	s.mu.Lock()
	s.inflight--
	s.mu.Unlock()
	if answer == "" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// class is one class of requests in the settings.
type class struct {
	name, repeat  string
	aim, deadline float64
	credit        float64
}

var padovaClasses = []class{{"tile", "pure", 750, 2500, 1}, {"record", "pure", 500, 1500, 1}, {"order", "side_effect", 300, 1000, 5}}

// writeConfig writes a configuration as the platform does, and returns its path.
func (r *rig) writeConfig(listen, discovery string, known []member, classes []class) (string, error) {
	var requestClasses []map[string]any
	for _, c := range classes {
		requestClasses = append(requestClasses, map[string]any{
			"Name": c.name, "AimMs": c.aim, "HardLimitMs": c.deadline, "Credit": c.credit, "LateWorth": 0, "Repeat": c.repeat,
			"KeyScope": "all", "MemorySpanMs": 5000, "Stream": false,
		})
	}
	config := map[string]any{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  list{Revision: 1, Complete: true, Members: known},
		"settings": map[string]any{
			"Balancers": 2, "Discovery": "pushed", "Dcs": []string{"padova-a", "padova-b"}, "Locality": 0, "Me": 0, "RoundMs": 5,
			"CountedBy": "request", "Family": "mesh", "OverShareWorth": 0.2, "Weights": "nominal",
			"Clients": map[string]any{"MarksRetry": false},
			"Limits": map[string]any{
				"ConnIdleMs": 60000, "ConnectTimeoutMs": 150, "MaxAttempts": 3, "MaxRetryAfterMs": 1200, "MaxStreams": 1,
				"MayCancel": true, "Peers": false, "Probes": true, "RetryAfter": false, "SecondCopies": false, "MostHeld": 40000,
			},
			"Prices": map[string]any{"CrossZone": 0.01, "Probe": 0.0046, "Waste": 0.1, "LateFail": 0.03},
			"Realms": []map[string]any{{"Name": "lib-padova", "QuotaPerS": 400, "Share": 0.6}, {"Name": "lib-bologna", "QuotaPerS": 400, "Share": 0.4}},
			"Report": map[string]any{"How": "probe", "Names": []string{"active", "avg_ms"}},
			"Safety": map[string]any{
				"AnswerSlackMs": 20, "AskEveryMs": 10000, "DrainGraceMs": 750, "FallMs": 3000, "StartCapacity": 0.3, "TipMultiple": 4,
				"WarmWithinMs": 8100,
			},
			"RequestClasses": requestClasses,
		},
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.tmp, "config.json")
	return path, os.WriteFile(path, raw, 0o600)
}

// answer is what a client got for a request.
type answer struct {
	status int
	body   string
	at     time.Time // of its last byte
	closes bool      // the connection ends with it
}

// readAnswer reads one answer from a client's connection.
func readAnswer(reader *bufio.Reader) (a answer, err error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return a, err
	}
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(body), time.Now(), resp.Close}, err
}

// request returns a request as a client writes it.
func request(class, id string, timeout time.Duration, body string) string {
	head := "GET"
	if class == "order" {
		head = "POST"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: lib-padova\r\nReq-Deadline: %.3f\r\n", head, class, id, id, timeout.Seconds())
	if head == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	if head == "GET" {
		body = ""
	}
	return b.String() + "\r\n" + body
}
