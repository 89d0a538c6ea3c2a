// Package comparer runs the same arrivals against several placement policies and
// summarises the results of each run.
package comparer

import (
	"context"
	"io"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/cmd/figload/driver"
	"github.com/figseam/figseam/cmd/figload/launcher"
	"github.com/figseam/figseam/cmd/figload/planner"
	"github.com/figseam/figseam/runner"
)

const (
	// requestTimeoutMillis bounds one request, its resends included.
	requestTimeoutMillis = 60_000
	// releaseTimeoutMillis bounds the wait for the engines to release their memory after
	// the last request.
	releaseTimeoutMillis = 8000
	// rampUpMillis is the time until the engines are fully loaded. Answers that end
	// earlier do not count towards the goodput rate. If the arrival period is shorter than
	// 20 s, the ramp-up is a quarter of it.
	rampUpMillis = 5000
	// startDelayMillis is the delay between the start of a deployment and the start of the
	// load.
	startDelayMillis = 1500
)

// Placement policies that can be compared.
const (
	PolicyNaive   = "naive"
	PolicyFigseam = "figseam"
)

// Settings selects the runs of a comparison: one for every load, seed and policy.
type Settings struct {
	Scenario string
	// Loads are rates of model requests as multiples of the capacity bound.
	Loads    []float64
	Policies []string
	Seeds    []uint64
	// FaultPlan is the name of a fault plan.
	FaultPlan string
	// ArrivalPeriodMillis is the time during which requests arrive in one run.
	ArrivalPeriodMillis int64
	// EarlyStart replaces the user's early_start setting unless it is negative.
	EarlyStart float64
	// LogOutput receives the log lines of the instances; nil discards them.
	LogOutput io.Writer
}

// RunSummary is the result of one run. Shares are between 0 and 1.
type RunSummary struct {
	Policy     string  `json:"policy"`
	Load       float64 `json:"load"`
	Seed       uint64  `json:"seed"`
	FaultPlan  string  `json:"faults"`
	EarlyStart float64 `json:"early_start"`
	// Arrivals is the number of model requests whose caller did not disconnect early.
	Arrivals int `json:"arrivals"`
	// GoodputShare is the share of Arrivals that met their targets.
	GoodputShare float64 `json:"goodput_share"`
	// GoodputPerSecond is the rate of answers that met their targets, counted from the end of
	// the ramp-up to the end of the arrivals.
	GoodputPerSecond float64 `json:"goodput_per_s"`
	// BoundPerSecond is the capacity bound of the scenario.
	BoundPerSecond float64 `json:"bound_per_s"`
	// HealthyBoundPerSecond is BoundPerSecond reduced by the estimated share of the capacity
	// that engine faults remove and by the share of callers who disconnect early.
	HealthyBoundPerSecond float64 `json:"alive_bound_per_s"`
	// WastedPrefillShare is the share of computed prompt tokens that did not lead to an
	// answer received by its caller.
	WastedPrefillShare float64 `json:"wasted_prefill_share"`
	// RefusedNotRun counts model requests refused with the outcome not_run, Failed those
	// that ended in any other way without a complete answer.
	RefusedNotRun int `json:"refused_not_run"`
	Failed        int `json:"failed"`
	// MissedTargets counts complete answers to model requests outside their targets.
	MissedTargets int `json:"late"`
	// IncompleteNoDeadline counts requests without a deadline that received no complete
	// answer.
	IncompleteNoDeadline int `json:"patient_dropped"`
	// Duplicates counts non-idempotent service calls that were executed more than once.
	Duplicates int `json:"duplicates"`
	// IncorrectAnswers counts answers that differ from the expected one, including those
	// whose caller disconnected early.
	IncorrectAnswers int `json:"wrong_answers"`
	// ExecutedNotRun counts non-idempotent service calls that were executed although they
	// were refused with the outcome not_run.
	ExecutedNotRun int `json:"false_not_run"`
	// UnreleasedPieces is the engine memory, in pieces, that was still in use
	// releaseTimeoutMillis after the last request.
	UnreleasedPieces int `json:"held_pieces_after_quiet"`
	// FirstTokenMillis excludes requests without a deadline; InterTokenMillis includes them.
	FirstTokenMillis LatencyPercentiles `json:"ttft_ms"`
	InterTokenMillis LatencyPercentiles `json:"inter_token_ms"`
	// ProcessCores is the mean number of cores used by this process, which runs the
	// instances, the emulated engines and the load driver.
	ProcessCores float64 `json:"process_cores"`
	// FailureReasons counts the model requests without a complete answer: those refused
	// with the outcome not_run by reason code, other refusals by reason code and outcome,
	// and the rest, such as interrupted or incorrect streams, as "broken".
	FailureReasons map[string]int `json:"reasons"`
}

// LatencyPercentiles holds percentiles of a latency in milliseconds.
type LatencyPercentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report is the result of a comparison.
type Report struct {
	Scenario string                `json:"scenario"`
	Bounds   driver.CapacityBounds `json:"bound"`
	Runs     []RunSummary          `json:"runs"`
}

// Run runs every policy on the same arrivals, one policy after another for each load
// and seed. If a run fails, the returned report contains the completed runs.
func Run(ctx context.Context, s Settings) (report Report, err error) {
	defer func() { err = eris.Wrap(err, "compare") }()
	scenario, ok := driver.Scenarios()[s.Scenario]
	if !ok {
		return Report{}, eris.Errorf("scenario %q is not known", s.Scenario)
	}
	if _, ok := faultPlans[s.FaultPlan]; !ok {
		return Report{}, eris.Errorf("faults %q are not known", s.FaultPlan)
	}
	if s.EarlyStart >= 0 {
		scenario.User.EarlyStart = s.EarlyStart
	}
	report = Report{Scenario: s.Scenario, Bounds: scenario.CapacityBounds()}
	for _, load := range s.Loads {
		for _, seed := range s.Seeds {
			for _, policy := range s.Policies {
				summary, err := runOnce(ctx, s, scenario, policy, load, seed)
				if err != nil {
					return report, err
				}
				report.Runs = append(report.Runs, summary)
			}
		}
	}
	return report, nil
}

// runOnce starts a deployment, applies the load under the fault plan and summarises the
// results.
func runOnce(ctx context.Context, s Settings, scenario driver.Scenario, policy string, load float64, seed uint64) (RunSummary, error) {
	deployment, err := launcher.Start([]planner.User{scenario.User}, runner.Options{NaivePlacement: policy == PolicyNaive, LogOutput: s.LogOutput})
	if err != nil {
		return RunSummary{}, err
	}
	defer func() { _ = deployment.Close() }()
	time.Sleep(startDelayMillis * time.Millisecond)
	arrivalPeriod := time.Duration(s.ArrivalPeriodMillis) * time.Millisecond
	plan := faultPlans[s.FaultPlan]
	requests := scenario.Arrivals(seed, load, arrivalPeriod, len(deployment.InstanceSettings), plan.abandonShare)
	var injector sync.WaitGroup
	faultCtx, stopFaults := context.WithCancel(ctx)
	injector.Go(func() { plan.inject(faultCtx, deployment, seed, arrivalPeriod) })
	cpuBefore, start := cpuSeconds(), time.Now()
	loadDriver := driver.New(deployment.CallerAddresses, scenario.User.Service, requestTimeoutMillis*time.Millisecond)
	results := loadDriver.Run(ctx, requests)
	usedCores := (cpuSeconds() - cpuBefore) / time.Since(start).Seconds()
	stopFaults()
	injector.Wait()
	summary := RunSummary{
		Policy: policy, Load: load, Seed: seed, FaultPlan: s.FaultPlan, EarlyStart: scenario.User.EarlyStart,
		BoundPerSecond: scenario.CapacityBounds().RequestsPerSecond(), ProcessCores: roundTo4(usedCores),
		HealthyBoundPerSecond: roundTo4(scenario.CapacityBounds().RequestsPerSecond() * (1 - plan.abandonShare) * (1 - plan.lostCapacityShare)),
	}
	summary.UnreleasedPieces = waitForRelease(deployment)
	summary.countResults(results, arrivalPeriod)
	summary.computeWaste(deployment, results)
	summary.countExecutions(deployment, scenario.User, results)
	return summary, nil
}

// waitForRelease waits up to releaseTimeoutMillis until no engine memory is in use and
// returns the pieces that are still in use.
func waitForRelease(d *launcher.Deployment) int {
	deadline := figseam.DeadlineAfterMillis(releaseTimeoutMillis)
	for !deadline.Passed() && d.Fleet.UsedPieces() > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	return d.Fleet.UsedPieces()
}

// countResults fills in the counts, rates and latencies of the results.
func (s *RunSummary) countResults(results []driver.Result, arrivalPeriod time.Duration) {
	s.FailureReasons = map[string]int{}
	firstToken := hdrhistogram.New(1, 120_000_000, 3)
	interToken := hdrhistogram.New(1, 120_000_000, 3)
	metTargets, metInWindow, arrivals := 0, 0, 0
	rampUp := min(rampUpMillis*time.Millisecond, arrivalPeriod/4)
	for _, r := range results {
		if r.Incorrect {
			s.IncorrectAnswers++
		}
		if r.Request.Class.ModelRoute == "" || r.Abandoned {
			continue
		}
		arrivals++
		switch {
		case r.MeetsTargets():
			metTargets++
			if r.EndOffset > rampUp && r.EndOffset <= arrivalPeriod {
				metInWindow++
			}
		case r.Complete:
			s.MissedTargets++
		case r.Outcome == figseam.OutcomeNotRun:
			s.RefusedNotRun++
			s.FailureReasons[r.Reason]++
		case r.Outcome != "":
			s.Failed++
			s.FailureReasons[r.Reason+" "+string(r.Outcome)]++
		default:
			s.Failed++
			s.FailureReasons["broken"]++
		}
		if r.Request.Class.NoDeadline && !r.Complete {
			s.IncompleteNoDeadline++
		}
		if r.FirstTokenMillis > 0 && !r.Request.Class.NoDeadline {
			_ = firstToken.RecordValue(int64(r.FirstTokenMillis * 1000))
		}
		for _, millis := range r.InterTokenMillis {
			_ = interToken.RecordValue(int64(millis * 1000))
		}
	}
	s.Arrivals = arrivals
	s.GoodputShare = roundTo4(float64(metTargets) / float64(max(1, arrivals)))
	// The rate is measured from the end of the ramp-up to the end of the arrivals. Later
	// answers come from engines that receive no new requests.
	s.GoodputPerSecond = roundTo4(float64(metInWindow) / (arrivalPeriod - rampUp).Seconds())
	s.FirstTokenMillis, s.InterTokenMillis = percentiles(firstToken), percentiles(interToken)
}

// percentiles returns the percentiles of a histogram of microseconds.
func percentiles(h *hdrhistogram.Histogram) LatencyPercentiles {
	millisAt := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / 1000 }
	return LatencyPercentiles{P50: millisAt(50), P95: millisAt(95), P99: millisAt(99)}
}

// computeWaste sets the share of computed prompt tokens that did not lead to an answer
// received by its caller. It leaves out the requests whose caller disconnected early,
// because a router cannot predict that.
func (s *RunSummary) computeWaste(d *launcher.Deployment, results []driver.Result) {
	received := map[figseam.RequestID]bool{}
	abandoned := map[figseam.RequestID]bool{}
	for _, r := range results {
		received[r.ID] = received[r.ID] || r.Complete
		abandoned[r.ID] = abandoned[r.ID] || r.Abandoned
	}
	finished := map[figseam.AttemptID]bool{}
	for _, e := range d.Fleet.Engines() {
		for _, a := range e.Stats().FinishedAttempts {
			finished[a] = true
		}
	}
	totalTokens, usefulTokens := 0, 0
	for _, e := range d.Fleet.Engines() {
		for _, prefill := range e.Stats().Prefills {
			if abandoned[prefill.Request] {
				continue
			}
			totalTokens += prefill.ComputedTokens
			if received[prefill.Request] && finished[prefill.Attempt] {
				usefulTokens += prefill.ComputedTokens
			}
		}
	}
	s.WastedPrefillShare = roundTo4(float64(totalTokens-usefulTokens) / float64(max(1, totalTokens)))
}

// countExecutions counts the non-idempotent calls that were executed more than once and
// those that were refused as not run although they were executed.
func (s *RunSummary) countExecutions(d *launcher.Deployment, user planner.User, results []driver.Result) {
	executions := map[string]int{}
	for _, dc := range user.DataCentres {
		for key, n := range d.Fleet.Service(user.ServiceEndpointID(dc)).ExecutionsByKey() {
			executions[key] += n
		}
	}
	for _, r := range results {
		if !r.Request.Class.NonIdempotent {
			continue
		}
		if executions[r.Request.IdempotencyKey] > 1 {
			s.Duplicates++
		}
		if r.Outcome == figseam.OutcomeNotRun && executions[r.Request.IdempotencyKey] > 0 {
			s.ExecutedNotRun++
		}
	}
}

// roundTo4 rounds to 4 decimal places.
func roundTo4(v float64) float64 { return math.Round(v*10_000) / 10_000 }

// cpuSeconds returns the user and system CPU time of this process, or 0 if it cannot
// be read.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Second)
}
