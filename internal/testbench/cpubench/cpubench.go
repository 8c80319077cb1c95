// Package cpubench holds helpers for CPU benchmarks: servers and proxies in processes of their own, so that their work
// doesn't count as work of the measured code, and the CPU time of a process.
package cpubench

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"plankrouter/internal/testbench/process"
)

// RoleVariable is the environment variable with the role that Serve executes, followed by its arguments.
const RoleVariable = "PLANKROUTER_COST_ROLE"

// Roles for Serve.
const (
	// The argument is the number of servers. Their addresses are written to standard output, one per line.
	RoleServers = "servers"
	RoleProxy   = "proxy" // net/http/httputil's reverse proxy, to a random one of the addresses that follow
	RoleRelay   = "relay" // copies bytes between each connection and one to a random one of the addresses that follow
)

// Body is the body of a server's response.
const Body = "a tile of 1 KB is what most answers are like; this one is shorter, since the relay of bytes is not the point\n"

// Serve executes the role in RoleVariable until the end of standard input, and then exits the process. It returns if there
// is no role. A TestMain whose test program is started with Start must call it first.
func Serve() {
	role := strings.Fields(os.Getenv(RoleVariable))
	if len(role) == 0 {
		return
	}
	var err error
	switch role[0] {
	case RoleServers:
		n, _ := strconv.Atoi(role[1])
		for range n {
			var l net.Listener
			if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
				break
			}
			fmt.Println(l.Addr())
			go serveAll(l, respond)
		}
	case RoleProxy, RoleRelay:
		var l net.Listener
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err == nil {
			fmt.Println(l.Addr())
			if role[0] == RoleRelay {
				go serveAll(l, func(c net.Conn) { relay(c, pick(role[1:])) })
			} else {
				go func() { _ = http.Serve(l, proxy(role[1:])) }()
			}
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

// pick returns a random address.
func pick(addresses []string) string { return addresses[rand.IntN(len(addresses))] }

// serveAll accepts connections until l is closed, and calls serve for each in a goroutine.
func serveAll(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// respond is a minimal server: it reads request headers and responds to each request with the same bytes, or with a load report.
func respond(c net.Conn) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 4096)
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(Body), Body)
	loadReport := []byte("HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"active\":1,\"avg_ms\":10.0}")
	for {
		requestLine, err := br.ReadSlice('\n')
		if err != nil {
			return
		}
		out := response
		if strings.Contains(string(requestLine), "/metrics/load") {
			out = loadReport
		}
		for {
			line, err := br.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) <= 2 {
				break
			}
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// relay copies bytes between c and a connection to the address to.
func relay(c net.Conn, to string) {
	defer c.Close()
	d, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer d.Close()
	go func() { _, _ = io.Copy(d, c) }() // the error is ignored, since the benchmark's client sees that the connection is closed
	_, _ = io.Copy(c, d)
}

// proxy returns a reverse proxy to random addresses.
func proxy(addresses []string) http.Handler {
	transport := Transport()
	return &httputil.ReverseProxy{Transport: transport, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: pick(addresses)})
	}}
}

// Transport returns a net/http transport that keeps enough idle connections for a benchmark.
func Transport() *http.Transport {
	return &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 1024, DisableCompression: true}
}

// Process is a child process that executes a role.
type Process struct {
	Addresses []string // that it listens on
	cmd       *exec.Cmd
	stdin     io.WriteCloser
}

// Start starts this program as a child process in a role and reads n addresses from its output.
func Start(role string, n int, env ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return Run(exec.Command(self), n, append(env, RoleVariable+"="+role)...)
}

// Run starts a command and reads n addresses from its output, one per line.
func Run(cmd *exec.Cmd, n int, env ...string) (*Process, error) {
	cmd.Env = append(os.Environ(), env...)
	if cmd.Stderr == nil {
		cmd.Stderr = os.Stderr
	}
	p := &Process{cmd: cmd}
	var err error
	if p.stdin, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	for len(p.Addresses) < n && lines.Scan() {
		p.Addresses = append(p.Addresses, lines.Text())
	}
	if len(p.Addresses) < n {
		p.Stop()
		return nil, fmt.Errorf("%s: %d of %d addresses: %w", cmd, len(p.Addresses), n, io.ErrUnexpectedEOF)
	}
	return p, nil
}

// Stop kills the child process.
func (p *Process) Stop() {
	p.stdin.Close()
	p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// CPU returns the CPU time that the child process has used so far.
func (p *Process) CPU() (time.Duration, error) { return process.CPUTime(p.cmd.Process.Pid) }

// OwnCPU returns the CPU time that this process has used so far; 0 if it can't be read.
func OwnCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
