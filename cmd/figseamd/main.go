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

	"github.com/figseam/figseam"
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

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("figseamd", flag.ContinueOnError)
	flags.SetOutput(errs)
	file := flags.String("settings", "", "settings `FILE` (JSON)")
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
	settings, faults, err := loader.Load(*file)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "figseamd:", err)
		return exitFailed
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(errs, f.Error())
	}
	if len(faults) > 0 {
		return exitFaults
	}
	if *check {
		_, _ = fmt.Fprintln(out, "settings are sound")
		return exitOK
	}
	return serve(settings, out, errs)
}

// serve runs the instance. SIGTERM and the first interrupt make it leave in
// order; a second one ends it at once.
func serve(settings loader.Settings, out, errs io.Writer) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	instance, err := runner.Start(ctx, settings, runner.Options{Log: out})
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
		case err := <-instance.Ended():
			if err != nil {
				_, _ = fmt.Fprintln(errs, "figseamd:", err)
				return exitFailed
			}
			return exitOK
		}
	}
}
