// Command figload holds stand-ins for engines, services and the platform, and
// runs demonstrations, comparisons and measurements with them.
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
	name  string
	about string
	run   func(args []string, out, errs io.Writer) error
}

var commands = []command{
	{"demo", "start a whole deployment in this process and show what it does", runDemo},
	{"layout", "write the same deployment as separate processes", runLayout},
	{"standins", "serve the stand-ins of a layout", runStandIns},
	{"slopes", "measure how costs grow with size", runSlopes},
	{"compare", "run the same load against several policies", runCompare},
	{"soak", "run processes under faults and check their promises", runSoak},
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) int {
	if len(args) > 0 {
		for _, c := range commands {
			if c.name != args[0] {
				continue
			}
			if err := c.run(args[1:], out, errs); err != nil {
				_, _ = fmt.Fprintln(errs, "figload:", err)
				return exitFailed
			}
			return exitOK
		}
	}
	_, _ = fmt.Fprintln(errs, "usage: figload COMMAND [flags]")
	for _, c := range commands {
		_, _ = fmt.Fprintf(errs, "  %-9s %s\n", c.name, c.about)
	}
	return exitUsage
}

func runDemo(args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(errs)
	leave := flags.Bool("leave", false, "end after the requests")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return presenter.RunDemo(out, *leave)
}
