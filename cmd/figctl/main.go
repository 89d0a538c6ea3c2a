// Command figctl is the operators' command: it checks, publishes and shows the
// configuration, and shows instances and endpoints.
//
// Exit codes: 0 done, 1 failed and nothing was changed, 2 wrong usage, 3 faults
// in files or objects, 4 conflict with another change, 5 outcome not known.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/cmd/figctl/client"
	"github.com/figseam/figseam/decoder"
	"github.com/figseam/figseam/explainer"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitFaults
	exitConflict
	exitUnknown
)

// session is one run of a command.
type session struct {
	client    *client.Client
	out, errs io.Writer
	json      bool
	flags     *flag.FlagSet
	publish   publishFlags
}

// command is a subcommand of figctl.
type command struct {
	name  string
	args  string
	about string
	run   func(ctx context.Context, s *session) error
}

var commands = []command{
	{"check", "FILE…", "check objects as a whole set", runCheck},
	{"publish", "FILE…", "publish objects and wait until they are in force", runPublish},
	{"get", "", "print the configuration in force", runGet},
	{"history", "", "list the latest changes", runHistory},
	{"diff", "FILE…", "compare objects with the configuration in force", runDiff},
	{"instances", "", "list instances and their versions", runInstances},
	{"endpoints", "", "list endpoints and their states", runEndpoints},
	{"status", "", "show one instance and its replica", runStatus},
	{"explain", "CODE", "explain a reason code; without one, list them", runExplain},
	{"trace", "ID FILE…", "tell the story of a request from log files", runTrace},
	{"drain", "", "let the instance leave in order", runDrain},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, out, errs io.Writer) int {
	s := &session{out: out, errs: errs}
	top := flag.NewFlagSet("figctl", flag.ContinueOnError)
	top.SetOutput(errs)
	top.Usage = func() { usage(errs) }
	address := top.String("operators", "127.0.0.1:8081", "operators' `ADDRESS` of an instance")
	top.BoolVar(&s.json, "json", false, "print JSON")
	if err := top.Parse(args); err != nil || top.NArg() == 0 {
		usage(errs)
		return exitUsage
	}
	s.client = client.New(*address)
	for _, c := range commands {
		if c.name != top.Arg(0) {
			continue
		}
		s.flags = flag.NewFlagSet(c.name, flag.ContinueOnError)
		s.flags.SetOutput(errs)
		s.flags.BoolVar(&s.json, "json", s.json, "print JSON")
		s.publish.register(c.name, s.flags)
		if s.flags.Parse(top.Args()[1:]) != nil {
			return exitUsage
		}
		return s.exit(c.run(ctx, s))
	}
	usage(errs)
	return exitUsage
}

func usage(errs io.Writer) {
	_, _ = fmt.Fprintln(errs, "usage: figctl [-operators ADDRESS] [-json] COMMAND")
	for _, c := range commands {
		_, _ = fmt.Fprintf(errs, "  %-9s %-7s %s\n", c.name, c.args, c.about)
	}
}

var errUsage = errors.New("wrong usage")

// exit prints an error and returns its exit code.
func (s *session) exit(err error) int {
	if err == nil {
		return exitOK
	}
	if faults, ok := errors.AsType[faultsError](err); ok {
		s.printFaults(faults)
		return exitFaults
	}
	if refused, ok := errors.AsType[*client.RefusedError](err); ok {
		return s.exitRefused(refused)
	}
	_, _ = fmt.Fprintln(s.errs, "figctl:", err)
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, client.ErrUnknownOutcome):
		return exitUnknown
	default:
		return exitFailed
	}
}

func (s *session) exitRefused(r *client.RefusedError) int {
	if len(r.Faults) > 0 {
		s.printFaults(r.Faults)
		return exitFaults
	}
	_, _ = fmt.Fprintln(s.errs, "figctl:", r)
	if e, ok := explainer.Lookup(r.Code); ok {
		_, _ = fmt.Fprintf(s.errs, "  %s\n  What to do: %s\n", e.Description, e.Action)
	}
	switch {
	case r.Code == explainer.VersionConflict:
		return exitConflict
	case r.Outcome == figseam.OutcomeUnknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

// faultsError carries faults found in files.
type faultsError []decoder.Fault

func (f faultsError) Error() string { return fmt.Sprintf("%d faults", len(f)) }

func (s *session) printFaults(faults []decoder.Fault) {
	if s.json {
		s.printJSON(faults)
		return
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(s.errs, f.Error())
	}
}

func (s *session) printJSON(v any) {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

func (s *session) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}
