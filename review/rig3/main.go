// Command rig3 runs one case of the review: the project's daemons as processes on loopback
// addresses, with stand-ins of engines, services, the platform's list, clients and the operator.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	caseLimit = 115 * time.Second
)

// cases holds the cases by name.
var cases = map[string]func(r *recorder, trouble bool) (bool, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(couldNot)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(couldNot)
	}
	r, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	time.AfterFunc(caseLimit, func() {
		r.say("the case took too long")
		os.Exit(couldNot)
	})
	isBroken, err := run(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		os.Exit(couldNot)
	case isBroken:
		r.say("the rule was broken")
		os.Exit(broken)
	}
	r.say("the rule held")
	os.Exit(held)
}
