// Command simadapter lets the simulator drive the policy: batches come in on standard input, each is answered by one
// reply on standard output, and the end of input ends the program.
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
