// Command simulatoradapter runs gateways in the simulator, whose protocol it speaks on standard input and output.
package main

import (
	"fmt"
	"os"

	"laurelring/internal/simulatoradapter"
)

func main() {
	if err := simulatoradapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulatoradapter:", err)
		os.Exit(1)
	}
}
