// Command benchlink lets the bench drive the decision module: batches come in on standard input, each is
// answered by one reply on standard output, and the end of input ends the program.
package main

import (
	"bufio"
	"fmt"
	"os"

	"plankrouter/internal/wire"
)

func main() {
	if err := wire.NewHost().Serve(bufio.NewReaderSize(os.Stdin, 1<<20), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
