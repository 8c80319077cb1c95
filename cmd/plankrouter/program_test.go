package main

import (
	"net"
	"syscall"
	"testing"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
)

// usuallyOpen is what a process of its own holds as it begins to serve; a test's has those of the test, too. They are the standard
// ones, two files by which the runtime sees its share of the processor, two of its poller, the platform's listening socket and
// the process's copy, and the operators'.
const usuallyOpen = 10

// raise sends the program a signal.
func (q signalQueues) raise(s syscall.Signal) {
	now := receivedSignal{Signal: s, earliestSent: time.Now(), readAt: time.Now()}
	switch s {
	case syscall.SIGHUP:
		q.lastReload.Store(&now)
		q.reload <- now
	case syscall.SIGUSR1:
		q.report <- s
	case syscall.SIGUSR2:
		q.handOver <- s
	default:
		q.stop <- now
	}
}

// launch runs the program in the test's own process, with these variables alone as its environment. What it returns sends it
// signals, and tells how it has ended.
func launch(t *testing.T, env map[string]string, front, desk net.Listener, dial connlimit.Dialer) (signalQueues, chan error) {
	t.Helper()
	return launchBy(t, func(key string) string { return env[key] }, front, desk, dial)
}

func launchBy(t *testing.T, getenv func(string) string, front, desk net.Listener, dial connlimit.Dialer) (signalQueues, chan error) {
	t.Helper()
	cfg, err := config.Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := newSignalQueues(), make(chan error, 1)
	options := startOptions{
		cfg: cfg, getenv: getenv, listener: front, adminListener: desk, dial: dial, openDescriptors: usuallyOpen,
		signals: signals,
	}
	go func() { ended <- serve(options) }()
	return signals, ended
}
