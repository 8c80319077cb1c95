// Package cpubench has what the benchmarks of cost share: servers in a process of their own, so that their work is not taken for
// that of what is measured, and the CPU time of a process.
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

// RoleVariable makes a process that calls Serve a server or a proxy.
const RoleVariable = "PLANKROUTER_COST_ROLE"

// The roles.
const (
	RoleServers = "servers" // as many as the second word says; their addresses go to standard output, one a line
	RoleProxy   = "proxy"   // net/http/httputil's, which picks at random among the addresses that follow
	RoleRelay   = "relay"   // copies bytes between each connection and one to a random address
)

// Body is a server's answer to a request.
const Body = "a tile of 1 KB is what most answers are like; this one is shorter, since the relay of bytes is not the point\n"

// Serve plays the role that the environment names, until standard input ends, and then ends the process. Without a role it
// returns. It belongs into TestMain.
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
			go serveAll(l, answer)
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

func pick(addresses []string) string { return addresses[rand.IntN(len(addresses))] }

func serveAll(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// answer is as little of a server as can be: it reads heads, and answers each with the same bytes.
func answer(c net.Conn) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 4096)
	reply := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(Body), Body)
	load := []byte("HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"active\":1,\"avg_ms\":10.0}")
	for {
		first, err := br.ReadSlice('\n')
		if err != nil {
			return
		}
		out := reply
		if strings.Contains(string(first), "/metrics/load") {
			out = load
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

func relay(c net.Conn, to string) {
	defer c.Close()
	d, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer d.Close()
	go func() { _, _ = io.Copy(d, c) }() // a benchmark's client notices a relay that broke
	_, _ = io.Copy(c, d)
}

func proxy(addresses []string) http.Handler {
	transport := Transport()
	return &httputil.ReverseProxy{Transport: transport, Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: pick(addresses)})
	}}
}

// Transport is net/http's with room for the connections of a benchmark.
func Transport() *http.Transport {
	return &http.Transport{MaxIdleConns: 4096, MaxIdleConnsPerHost: 1024, DisableCompression: true}
}

// Process is a child that plays a role.
type Process struct {
	Addresses []string
	cmd       *exec.Cmd
	in        io.WriteCloser
}

// Start starts this program again in a role and reads its first n lines.
func Start(role string, n int, env ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return Run(exec.Command(self), n, append(env, RoleVariable+"="+role)...)
}

// Run starts a command whose first n lines are addresses.
func Run(cmd *exec.Cmd, n int, env ...string) (*Process, error) {
	cmd.Env = append(os.Environ(), env...)
	if cmd.Stderr == nil {
		cmd.Stderr = os.Stderr
	}
	p := &Process{cmd: cmd}
	var err error
	if p.in, err = cmd.StdinPipe(); err != nil {
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

// Stop ends the child.
func (p *Process) Stop() {
	p.in.Close()
	p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// CPU is the time that the child has used so far.
func (p *Process) CPU() (time.Duration, error) { return process.CPUTime(p.cmd.Process.Pid) }

// Own is the CPU time that this process has used so far.
func Own() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
