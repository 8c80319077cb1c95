package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun is the time after which a case is given up.
const maxRun = 110 * time.Second

var cases = map[string]func(r *record, trouble bool) (broken []string, err error){
	"second-answer": secondAnswer,
	"pieces":        pieces,
	"slow-readers":  slowReaders,

	"trial-slow-answer": slowAnswer,
	"trial-restart":     restart,
	"trial-stay":        stay,
}

// main runs the case named by the first argument, and writes the record to the file named by the second. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case couldn't run.
func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.file.Close()
	go giveUp(r)
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.line("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	}
	for _, b := range broken {
		r.line("BROKEN    %s", b)
	}
	r.line("broken %d times", len(broken))
	fmt.Println("broken", len(broken), "times")
	if len(broken) > 0 {
		fmt.Println(broken[0])
		return 1
	}
	return 0
}

// giveUp ends the sidecar and the case on a signal, or after maxRun.
func giveUp(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-signals:
		r.line("couldn't run: %v", s)
	case <-time.After(maxRun):
		r.line("couldn't run: not done after %v", maxRun)
	}
	if g := current.Load(); g != nil {
		g.stop()
	}
	os.Exit(2)
}
