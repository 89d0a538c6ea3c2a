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

func runCompare(args []string, out, errs io.Writer) error {
	flags := flag.NewFlagSet("compare", flag.ContinueOnError)
	flags.SetOutput(errs)
	scenario := flags.String("scenario", "kantamanto", "kantamanto or pilhacasa")
	loads := flags.String("load", "0.7,1.0,1.3", "model requests as multiples of the bound")
	policies := flags.String("policies", "naive,figseam", "policies to compare")
	seeds := flags.String("seeds", "1-3", "seeds, as `FROM-TO` or one")
	faults := flags.String("faults", "none", "what goes wrong during each run")
	length := flags.Int64("length-ms", 20_000, "how long requests arrive in each run")
	early := flags.Float64("early-start", -1, "the pool's early_start; the user's if left out")
	asJSON := flags.Bool("json", false, "print one JSON object")
	logFile := flags.String("log", "", "write the instances' log lines to `FILE`")
	if err := flags.Parse(args); err != nil {
		return err
	}
	s := comparer.Settings{
		Scenario: *scenario, Policies: strings.Split(*policies, ","), FaultPlan: *faults,
		ArrivalPeriodMillis: *length, EarlyStart: *early,
	}
	var err error
	if s.Loads, err = parseLoads(*loads); err != nil {
		return err
	}
	if s.Seeds, err = parseSeeds(*seeds); err != nil {
		return err
	}
	if *logFile != "" {
		f, err := os.Create(*logFile)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		s.Log = f
	}
	report, err := comparer.Run(context.Background(), s)
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(out).Encode(report)
	}
	printReport(out, report)
	return nil
}

func parseLoads(text string) ([]float64, error) {
	var loads []float64
	for _, t := range strings.Split(text, ",") {
		v, err := strconv.ParseFloat(t, 64)
		if err != nil || v <= 0 {
			return nil, fmt.Errorf("-load: expected positive numbers, found %q", t)
		}
		loads = append(loads, v)
	}
	return loads, nil
}

func parseSeeds(text string) ([]uint64, error) {
	from, to, ranged := strings.Cut(text, "-")
	if !ranged {
		to = from
	}
	first, err := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if err != nil || err2 != nil || last < first {
		return nil, fmt.Errorf("-seeds: expected FROM-TO, found %q", text)
	}
	var seeds []uint64
	for s := first; s <= last; s++ {
		seeds = append(seeds, s)
	}
	return seeds, nil
}

func printReport(out io.Writer, r comparer.Report) {
	_, _ = fmt.Fprintf(out, "%s: bound %.1f requests/s (prefill %.1f, decode %.1f)\n", r.Scenario, r.Bound.RequestsPerSecond(), r.Bound.PrefillPerSecond, r.Bound.DecodePerSecond)
	_, _ = fmt.Fprintln(out, "policy   load seed early arrivals good% good/s bound% alive% wasted% refused late failed dropped dup wrong false held  ttft p50/p95/p99     itl p50/p95/p99   cores")
	for _, s := range r.Runs {
		_, _ = fmt.Fprintf(out, "%-8s %4.2f %4d %5.2f %8d %5.1f %6.1f %6.1f %6.1f %7.2f %7d %4d %6d %7d %3d %5d %5d %4d  %5.0f/%5.0f/%5.0f  %5.1f/%5.1f/%5.1f  %5.2f\n",
			s.Policy, s.Load, s.Seed, s.EarlyStart, s.Arrivals, 100*s.GoodputShare, s.GoodputPerS, 100*s.GoodputPerS/s.BoundPerS, 100*s.GoodputPerS/s.HealthyBoundPerS,
			100*s.WastedPrefillShare, s.RefusedNotRun, s.MissedTargets, s.Failed, s.PatientDropped, s.Duplicates, s.WrongAnswers,
			s.ExecutedNotRun, s.UsedPiecesAfterQuiet, s.FirstTokenMillis.P50, s.FirstTokenMillis.P95, s.FirstTokenMillis.P99,
			s.InterTokenMillis.P50, s.InterTokenMillis.P95, s.InterTokenMillis.P99, s.ProcessCores)
		for _, reason := range slices.Sorted(maps.Keys(s.FailureReasons)) {
			_, _ = fmt.Fprintf(out, "    %-36s %d\n", reason, s.FailureReasons[reason])
		}
	}
}
