package main

import (
	"net"
	"os"
	"testing"

	"plankrouter/internal/config"
	"plankrouter/internal/sockets"
)

// launch runs the program in the test's own process, with these variables alone as its environment. What it returns sends it
// signals, and tells how it has ended.
func launch(t *testing.T, env map[string]string, front, desk net.Listener, dial sockets.Dialer) (chan os.Signal, chan error) {
	t.Helper()
	getenv := func(key string) string { return env[key] }
	cfg, err := config.Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 4), make(chan error, 1)
	go func() { ended <- serve(cfg, getenv, front, desk, dial, signals, nil) }()
	return signals, ended
}
