package main

import (
	"net"
	"syscall"
	"testing"
	"time"

	"plankrouter/internal/config"
	"plankrouter/internal/connlimit"
)

// usuallyOpen is the number of descriptors that a separate process has open when it begins to serve; the test's own process
// has more. They are the three standard ones, two files from which the runtime reads its CPU limit, two of its poller, the
// platform's listening socket and the process's copy of it, and the admin listener.
const usuallyOpen = 10

// raise queues a signal as if the program had received it now.
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

// launch runs the program in the test's own process, with env as its whole environment. It returns the program's signal
// queues and a channel that receives the error of serve.
func launch(t *testing.T, env map[string]string, frontListener, adminListener net.Listener, dial connlimit.Dialer) (signalQueues, chan error) {
	t.Helper()
	return launchWith(t, func(key string) string { return env[key] }, frontListener, adminListener, dial)
}

func launchWith(t *testing.T, getenv func(string) string, frontListener, adminListener net.Listener, dial connlimit.Dialer) (signalQueues, chan error) {
	t.Helper()
	cfg, err := config.Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := newSignalQueues(), make(chan error, 1)
	options := startOptions{
		cfg: cfg, getenv: getenv, listener: frontListener, adminListener: adminListener, dial: dial, openDescriptors: usuallyOpen,
		signals: signals,
	}
	go func() { ended <- serve(options) }()
	return signals, ended
}
