package main

import (
	"fmt"
	"os"
	"path/filepath"
)

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
	code, err := cases[os.Args[1]](r)
	if err != nil {
		code = cannotRun
		r.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	r.note("exit %d", code)
	r.end()
	os.Exit(code)
}
