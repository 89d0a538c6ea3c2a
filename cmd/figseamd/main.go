// Command figseamd is one instance of figseam.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/decoder"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/runner"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitFaults
)

// goOn is no exit code.
const goOn = -1

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("figseamd", flag.ContinueOnError)
	flags.SetOutput(errs)
	file := flags.String("settings", "", "settings `FILE` (JSON)")
	role := flags.String("role", "", "`ROLE` of an instance that relays opaque requests: entry or voter")
	check := flags.Bool("check", false, "only check the settings")
	version := flags.Bool("version", false, "print the version")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *version {
		_, _ = fmt.Fprintln(out, "figseamd", figseam.Version)
		return exitOK
	}
	if *file == "" || flags.NArg() > 0 {
		flags.Usage()
		return exitUsage
	}
	zerolog.TimeFieldFormat = runner.LogTimeFormat
	switch *role {
	case "":
		return runInstance(*file, *check, out, errs)
	case roleEntry, roleVoter:
		return runRelay(*file, *role, *check, out, errs)
	}
	_, _ = fmt.Fprintf(errs, "figseamd: -role: expected %s or %s, found %q\n", roleEntry, roleVoter, *role)
	return exitUsage
}

func runInstance(file string, check bool, out, errs io.Writer) int {
	settings, faults, err := loader.Load(file)
	if code := report(faults, err, check, out, errs); code != goOn {
		return code
	}
	return serve(settings, out, errs)
}

// report tells what is wrong with the settings. It returns goOn if the instance
// is to run.
func report(faults []decoder.Fault, err error, check bool, out, errs io.Writer) int {
	if err != nil {
		_, _ = fmt.Fprintln(errs, "figseamd:", err)
		return exitFailed
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(errs, f.Error())
	}
	switch {
	case len(faults) > 0:
		return exitFaults
	case check:
		_, _ = fmt.Fprintln(out, "settings are sound")
		return exitOK
	}
	return goOn
}

// serve runs the instance. SIGTERM and the first interrupt make it leave in
// order; a second one ends it at once.
func serve(settings loader.Settings, out, errs io.Writer) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	instance, err := runner.Start(ctx, settings, runner.Options{LogOutput: out})
	if err != nil {
		_, _ = fmt.Fprintln(errs, "figseamd:", err)
		return exitFailed
	}
	for asked := false; ; asked = true {
		select {
		case <-signals:
			if asked {
				cancel()
			}
			instance.Drain()
		case err := <-instance.Done():
			if err != nil {
				_, _ = fmt.Fprintln(errs, "figseamd:", err)
				return exitFailed
			}
			return exitOK
		}
	}
}
