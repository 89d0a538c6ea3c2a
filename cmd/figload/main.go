// Command figload emulates engines, services and the platform, and runs demonstrations,
// comparisons of placement policies, benchmarks and soak tests.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/figseam/figseam/cmd/figload/presenter"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// command is a subcommand of figload.
type command struct {
	name    string
	summary string
	run     func(args []string, stdout, stderr io.Writer) error
}

var commands = []command{
	{"demo", "start a whole deployment in this process and show what it does", runDemo},
	{"layout", "write the same deployment as separate processes", runLayout},
	{"standins", "serve the stand-ins of a layout", runEmulators},
	{"slopes", "measure how costs grow with size", runSlopes},
	{"compare", "run the same load against several policies", runCompare},
	{"soak", "run processes under faults and check their promises", runSoak},
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 {
		for _, c := range commands {
			if c.name != args[0] {
				continue
			}
			if err := c.run(args[1:], stdout, stderr); err != nil {
				_, _ = fmt.Fprintln(stderr, "figload:", err)
				return exitFailed
			}
			return exitOK
		}
	}
	_, _ = fmt.Fprintln(stderr, "usage: figload COMMAND [flags]")
	for _, c := range commands {
		_, _ = fmt.Fprintf(stderr, "  %-9s %s\n", c.name, c.summary)
	}
	return exitUsage
}

func runDemo(args []string, stdout, stderr io.Writer) error {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(stderr)
	exitAfterRequests := flags.Bool("leave", false, "end after the requests")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return presenter.RunDemo(stdout, *exitAfterRequests)
}
