package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/figseam/figseam/platform/soaker"
)

// runSoak runs seeds one after another and prints a report for each.
func runSoak(args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.SetOutput(errs)
	daemon := flags.String("daemon", "bin/figseamd", "program of the instances")
	folder := flags.String("folder", "", "where settings, logs and data go; a temporary folder if empty")
	from := flags.Uint64("from", 1, "first seed")
	seeds := flags.Uint64("seeds", 1, "how many seeds")
	seconds := flags.Float64("seconds", 20, "how long faults are injected for each seed")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *folder == "" {
		made, err := os.MkdirTemp("", "figseam-soak-")
		if err != nil {
			return err
		}
		*folder = made
	}
	broken := 0
	for seed := *from; seed < *from+*seeds; seed++ {
		at := filepath.Join(*folder, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(at, 0o700); err != nil {
			return err
		}
		report, err := soaker.Run(context.Background(), soaker.Options{
			DaemonPath: *daemon, WorkDir: at, Seed: seed, FaultDurationSeconds: *seconds, LogOutput: errs,
		})
		if err != nil {
			return fmt.Errorf("seed %d, logs in %s: %w", seed, at, err)
		}
		if err := json.NewEncoder(out).Encode(report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			broken++
			continue
		}
		_ = os.RemoveAll(at)
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise; logs in %s", broken, *seeds, *folder)
	}
	return nil
}
