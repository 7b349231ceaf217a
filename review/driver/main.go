// Command driver plays the cases of this review: it starts a gateway by the deploy file's run command among stand-ins
// for clients, instances, discovery and the platform, and checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether its rule held, or an error if it could not run.
var cases = map[string]func(w *world) (held bool, err error){}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case that writes its record to the folder, and returns the exit status.
func play(name, folder string) int {
	w, err := newWorld(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	held, err := cases[name](w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case !held:
		return exitBroken
	}
	return exitHeld
}

// troubled reports whether the disruption is to be played.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }
