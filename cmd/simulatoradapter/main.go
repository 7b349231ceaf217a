// Command simulatoradapter puts the decision module on the simulator's wire.
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
