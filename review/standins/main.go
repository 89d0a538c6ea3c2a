// Command standins plays the cases of the review: it starts figseamd as separate processes on
// loopback addresses and acts as the platform, the engines, the clients and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name, each added in its own file. Each reports whether the rule was
// broken.
var cases = map[string]func(*bed) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case and returns the exit code.
func play(name, folder string) int {
	b, err := newBed(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		return exitNotRun
	}
	defer b.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
		<-signals
		b.notef("case could not run: it was ended from outside")
		b.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[name](b)
	if err != nil {
		b.notef("case could not run: %v", err)
		return exitNotRun
	}
	if broken {
		b.notef("result: the rule was BROKEN")
		return exitBroken
	}
	b.notef("result: the rule held")
	return exitHeld
}
