// Command simadapter connects the simulator to the policy: it reads batches from standard input and writes one reply for
// each to standard output. It exits at the end of input.
package main

import (
	"bufio"
	"fmt"
	"os"

	"plankrouter/internal/simwire"
)

func main() {
	if err := simwire.NewHost().Serve(bufio.NewReaderSize(os.Stdin, 1<<20), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
