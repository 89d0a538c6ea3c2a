package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/figseam/figseam/cmd/figload/comparer"
)

func runCompare(args []string, stdout, stderr io.Writer) error {
	flags := flag.NewFlagSet("compare", flag.ContinueOnError)
	flags.SetOutput(stderr)
	scenario := flags.String("scenario", "kantamanto", "kantamanto or pilhacasa")
	loads := flags.String("load", "0.7,1.0,1.3", "model requests as multiples of the bound")
	policies := flags.String("policies", "naive,figseam", "policies to compare")
	seeds := flags.String("seeds", "1-3", "seeds, as `FROM-TO` or one")
	faultPlan := flags.String("faults", "none", "what goes wrong during each run")
	arrivalPeriodMillis := flags.Int64("length-ms", 20_000, "how long requests arrive in each run")
	earlyStart := flags.Float64("early-start", -1, "the pool's early_start; the user's if left out")
	asJSON := flags.Bool("json", false, "print one JSON object")
	logPath := flags.String("log", "", "write the instances' log lines to `FILE`")
	if err := flags.Parse(args); err != nil {
		return err
	}
	settings := comparer.Settings{
		Scenario: *scenario, Policies: strings.Split(*policies, ","), FaultPlan: *faultPlan,
		ArrivalPeriodMillis: *arrivalPeriodMillis, EarlyStart: *earlyStart,
	}
	var err error
	if settings.Loads, err = parseLoads(*loads); err != nil {
		return err
	}
	if settings.Seeds, err = parseSeeds(*seeds); err != nil {
		return err
	}
	if *logPath != "" {
		logFile, err := os.Create(*logPath)
		if err != nil {
			return err
		}
		defer func() { _ = logFile.Close() }()
		settings.LogOutput = logFile
	}
	report, err := comparer.Run(context.Background(), settings)
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(stdout).Encode(report)
	}
	printReport(stdout, report)
	return nil
}

// parseLoads parses comma-separated positive numbers.
func parseLoads(text string) ([]float64, error) {
	var loads []float64
	for _, field := range strings.Split(text, ",") {
		load, err := strconv.ParseFloat(field, 64)
		if err != nil || load <= 0 {
			return nil, fmt.Errorf("-load: expected positive numbers, found %q", field)
		}
		loads = append(loads, load)
	}
	return loads, nil
}

// parseSeeds parses a single seed or an inclusive range FROM-TO.
func parseSeeds(text string) ([]uint64, error) {
	firstText, lastText, isRange := strings.Cut(text, "-")
	if !isRange {
		lastText = firstText
	}
	first, firstErr := strconv.ParseUint(firstText, 10, 64)
	last, lastErr := strconv.ParseUint(lastText, 10, 64)
	if firstErr != nil || lastErr != nil || last < first {
		return nil, fmt.Errorf("-seeds: expected FROM-TO, found %q", text)
	}
	var seeds []uint64
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// printReport prints one line for each run, followed by the counts of its failure
// reasons. good% is the goodput as a percentage of the arrivals; bound% and alive% are the
// goodput rate as percentages of BoundPerSecond and HealthyBoundPerSecond.
func printReport(stdout io.Writer, r comparer.Report) {
	_, _ = fmt.Fprintf(stdout, "%s: bound %.1f requests/s (prefill %.1f, decode %.1f)\n", r.Scenario, r.Bounds.RequestsPerSecond(), r.Bounds.PrefillPerSecond, r.Bounds.DecodePerSecond)
	_, _ = fmt.Fprintln(stdout, "policy   load seed early arrivals good% good/s bound% alive% wasted% refused late failed dropped dup wrong false held  ttft p50/p95/p99     itl p50/p95/p99   cores")
	for _, run := range r.Runs {
		_, _ = fmt.Fprintf(stdout, "%-8s %4.2f %4d %5.2f %8d %5.1f %6.1f %6.1f %6.1f %7.2f %7d %4d %6d %7d %3d %5d %5d %4d  %5.0f/%5.0f/%5.0f  %5.1f/%5.1f/%5.1f  %5.2f\n",
			run.Policy, run.Load, run.Seed, run.EarlyStart, run.Arrivals, 100*run.GoodputShare, run.GoodputPerSecond, 100*run.GoodputPerSecond/run.BoundPerSecond, 100*run.GoodputPerSecond/run.HealthyBoundPerSecond,
			100*run.WastedPrefillShare, run.RefusedNotRun, run.MissedTargets, run.Failed, run.IncompleteNoDeadline, run.Duplicates, run.IncorrectAnswers,
			run.ExecutedNotRun, run.UnreleasedPieces, run.FirstTokenMillis.P50, run.FirstTokenMillis.P95, run.FirstTokenMillis.P99,
			run.InterTokenMillis.P50, run.InterTokenMillis.P95, run.InterTokenMillis.P99, run.ProcessCores)
		for _, reason := range slices.Sorted(maps.Keys(run.FailureReasons)) {
			_, _ = fmt.Fprintf(stdout, "    %-36s %d\n", reason, run.FailureReasons[reason])
		}
	}
}
