// Command figctl is the operators' command-line tool. It validates, publishes and prints the
// configuration, lists instances and endpoints, explains reason codes, traces requests in
// log files and drains instances.
//
// Exit codes: 0 success, 1 failure without a change, 2 wrong usage, 3 faults in files or
// objects, 4 conflict with another change, 5 unknown outcome.
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

// Exit codes; the package comment describes them.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitFaults
	exitConflict
	exitUnknownOutcome
)

// session is the state of one run of a subcommand.
type session struct {
	client         *client.Client
	stdout, stderr io.Writer
	jsonOutput     bool
	flags          *flag.FlagSet
	publish        publishFlags
}

// command is a subcommand of figctl.
type command struct {
	name    string
	args    string
	summary string
	run     func(ctx context.Context, s *session) error
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

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	s := &session{stdout: stdout, stderr: stderr}
	globalFlags := flag.NewFlagSet("figctl", flag.ContinueOnError)
	globalFlags.SetOutput(stderr)
	globalFlags.Usage = func() { printUsage(stderr) }
	address := globalFlags.String("operators", "127.0.0.1:8081", "operators' `ADDRESS` of an instance")
	globalFlags.BoolVar(&s.jsonOutput, "json", false, "print JSON")
	if err := globalFlags.Parse(args); err != nil || globalFlags.NArg() == 0 {
		printUsage(stderr)
		return exitUsage
	}
	s.client = client.New(*address)
	for _, c := range commands {
		if c.name != globalFlags.Arg(0) {
			continue
		}
		s.flags = flag.NewFlagSet(c.name, flag.ContinueOnError)
		s.flags.SetOutput(stderr)
		s.flags.BoolVar(&s.jsonOutput, "json", s.jsonOutput, "print JSON")
		s.publish.register(c.name, s.flags)
		if s.flags.Parse(globalFlags.Args()[1:]) != nil {
			return exitUsage
		}
		return s.reportError(c.run(ctx, s))
	}
	printUsage(stderr)
	return exitUsage
}

func printUsage(stderr io.Writer) {
	_, _ = fmt.Fprintln(stderr, "usage: figctl [-operators ADDRESS] [-json] COMMAND")
	for _, c := range commands {
		_, _ = fmt.Fprintf(stderr, "  %-9s %-7s %s\n", c.name, c.args, c.summary)
	}
}

var errUsage = errors.New("wrong usage")

// reportError prints an error, if there is one, and returns the exit code.
func (s *session) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	if faults, ok := errors.AsType[faultsError](err); ok {
		s.printFaults(faults)
		return exitFaults
	}
	if refused, ok := errors.AsType[*client.RefusedError](err); ok {
		return s.reportRefusal(refused)
	}
	_, _ = fmt.Fprintln(s.stderr, "figctl:", err)
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, client.ErrUnknownOutcome):
		return exitUnknownOutcome
	default:
		return exitFailed
	}
}

func (s *session) reportRefusal(r *client.RefusedError) int {
	if len(r.Faults) > 0 {
		s.printFaults(r.Faults)
		return exitFaults
	}
	_, _ = fmt.Fprintln(s.stderr, "figctl:", r)
	if e, ok := explainer.Lookup(r.Code); ok {
		_, _ = fmt.Fprintf(s.stderr, "  %s\n  What to do: %s\n", e.Description, e.Action)
	}
	switch {
	case r.Code == explainer.VersionConflict:
		return exitConflict
	case r.Outcome == figseam.OutcomeUnknown:
		return exitUnknownOutcome
	default:
		return exitFailed
	}
}

// faultsError lists the faults found in files or objects.
type faultsError []decoder.Fault

func (f faultsError) Error() string { return fmt.Sprintf("%d faults", len(f)) }

func (s *session) printFaults(faults []decoder.Fault) {
	if s.jsonOutput {
		s.printJSON(faults)
		return
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(s.stderr, f.Error())
	}
}

func (s *session) printJSON(v any) {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}

func (s *session) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(s.stdout, format+"\n", args...)
}
