package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// longest is how long a case may take: it is ended then, with all its processes.
const longest = 115 * time.Second

// cases are the judges, by the number of their folder.
var cases = map[string]func(*rig) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	r, err := newRig(filepath.Dir(filepath.Dir(folder)), filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := cases[os.Args[1]](r)
		done <- result{code, err}
	}()
	var got result
	select {
	case got = <-done:
	case <-signals:
		got.err = errors.New("ended by a signal")
	case <-time.After(limit(os.Args[1])):
		got.err = errors.New("not ended in time")
	}
	code, err := got.code, got.err
	if err != nil {
		code = cannotRun
		r.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	r.note("exit %d", code)
	r.end()
	os.Exit(code)
}

// limit returns how long a case may take. numbers is no case, since it takes longer.
func limit(name string) time.Duration {
	if name == "numbers" {
		return 2 * longest
	}
	return longest
}
