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

// runSoak runs a soak test for each seed, one after another, and prints one report
// per line. It keeps the files of failed seeds and fails if any report has a violation.
func runSoak(args []string, stdout, stderr io.Writer) error {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.SetOutput(stderr)
	daemonPath := flags.String("daemon", "bin/figseamd", "program of the instances")
	workDir := flags.String("folder", "", "where settings, logs and data go; a temporary folder if empty")
	firstSeed := flags.Uint64("from", 1, "first seed")
	seedCount := flags.Uint64("seeds", 1, "how many seeds")
	faultSeconds := flags.Float64("seconds", 20, "how long faults are injected for each seed")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *workDir == "" {
		tempDir, err := os.MkdirTemp("", "figseam-soak-")
		if err != nil {
			return err
		}
		*workDir = tempDir
	}
	failedSeeds := 0
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		seedDir := filepath.Join(*workDir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(seedDir, 0o700); err != nil {
			return err
		}
		report, err := soaker.Run(context.Background(), soaker.Options{
			DaemonPath: *daemonPath, WorkDir: seedDir, Seed: seed, FaultDurationSeconds: *faultSeconds, LogOutput: stderr,
		})
		if err != nil {
			return fmt.Errorf("seed %d, logs in %s: %w", seed, seedDir, err)
		}
		if err := json.NewEncoder(stdout).Encode(report); err != nil {
			return err
		}
		if len(report.Violations) > 0 {
			failedSeeds++
			continue
		}
		_ = os.RemoveAll(seedDir)
	}
	if failedSeeds > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise; logs in %s", failedSeeds, *seedCount, *workDir)
	}
	return nil
}
