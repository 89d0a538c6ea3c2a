// Command rig3 runs one case of the review: the project's daemons as processes on loopback
// addresses, with stand-ins of engines, services, the platform's list, clients and the operator.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
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

// running is the deployment that must be ended whatever ends the case.
var running struct {
	mu         sync.Mutex
	deployment *deployment
}

// keep makes a deployment the one that is ended with the case.
func keep(d *deployment) {
	running.mu.Lock()
	defer running.mu.Unlock()
	running.deployment = d
}

// giveUp ends all processes of the case, and the case as one that couldn't run.
func giveUp(r *recorder, why string) {
	r.say("%s", why)
	running.mu.Lock()
	defer running.mu.Unlock()
	if running.deployment != nil {
		running.deployment.end()
	}
	os.Exit(couldNot)
}

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
	time.AfterFunc(caseLimit, func() { giveUp(r, "the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		giveUp(r, "the case was ended from outside")
	}()
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
