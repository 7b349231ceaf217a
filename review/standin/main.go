// Command standin plays the cases of the review: it starts gateways as separate processes among stand-ins for clients,
// servers, discovery and the rollout controller, and judges what these have seen by one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// play is one run of a case.
type play struct {
	record  *record
	folder  string // temporary
	trouble bool   // whether the disruption is played
	atEnd   []func()
}

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*play) (broken bool, err error){
	"discovery-returns": discoveryReturns,
	"late-connections":  lateConnections,
	"discovery-moves":   discoveryMoves,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD FOLDER, with ROOT, RUN and TROUBLE in the environment")
		return exitCouldNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNotRun
	}
	defer rec.close()
	p := &play{record: rec, folder: os.Args[3], trouble: os.Getenv("TROUBLE") != "0"}
	result := make(chan int, 1)
	go func() {
		broken, err := cases[os.Args[1]](p)
		switch {
		case err != nil:
			rec.say("could not run: %v", err)
			result <- exitCouldNotRun
		case broken:
			rec.say("the rule was broken")
			result <- exitBroken
		default:
			rec.say("the rule held")
			result <- exitHeld
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	code := exitCouldNotRun
	select {
	case code = <-result:
	case <-stop:
	}
	for _, end := range p.atEnd {
		end()
	}
	return code
}
