// Command figseamd runs one instance of figseam.
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

// continueRunning is returned instead of an exit code if the process is to continue. It
// differs from all exit codes.
const continueRunning = -1

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("figseamd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings `FILE` (JSON)")
	role := flags.String("role", "", "`ROLE` of an instance that relays opaque requests: entry or voter")
	check := flags.Bool("check", false, "only check the settings")
	version := flags.Bool("version", false, "print the version")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *version {
		_, _ = fmt.Fprintln(stdout, "figseamd", figseam.Version)
		return exitOK
	}
	if *file == "" || flags.NArg() > 0 {
		flags.Usage()
		return exitUsage
	}
	zerolog.TimeFieldFormat = runner.LogTimeFormat
	switch *role {
	case "":
		return runInstance(*file, *check, stdout, stderr)
	case roleEntry, roleVoter:
		return runRelay(*file, *role, *check, stdout, stderr)
	}
	_, _ = fmt.Fprintf(stderr, "figseamd: -role: expected %s or %s, found %q\n", roleEntry, roleVoter, *role)
	return exitUsage
}

func runInstance(file string, check bool, stdout, stderr io.Writer) int {
	settings, faults, err := loader.Load(file)
	if code := reportSettings(faults, err, check, stdout, stderr); code != continueRunning {
		return code
	}
	return serve(settings, stdout, stderr)
}

// reportSettings prints the error or the faults of the settings and returns the exit code,
// or continueRunning if the settings are valid and the instance is to run.
func reportSettings(faults []decoder.Fault, err error, check bool, stdout, stderr io.Writer) int {
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "figseamd:", err)
		return exitFailed
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(stderr, f.Error())
	}
	switch {
	case len(faults) > 0:
		return exitFaults
	case check:
		_, _ = fmt.Fprintln(stdout, "settings are sound")
		return exitOK
	}
	return continueRunning
}

// serve runs the instance until it ends and returns the exit code. The first SIGTERM or
// interrupt starts a graceful shutdown; a second one stops the instance at once.
func serve(settings loader.Settings, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	instance, err := runner.Start(ctx, settings, runner.Options{LogOutput: stdout})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "figseamd:", err)
		return exitFailed
	}
	for draining := false; ; draining = true {
		select {
		case <-signals:
			if draining {
				cancel()
			}
			instance.Drain()
		case err := <-instance.Done():
			if err != nil {
				_, _ = fmt.Fprintln(stderr, "figseamd:", err)
				return exitFailed
			}
			return exitOK
		}
	}
}
