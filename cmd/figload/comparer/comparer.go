// Package comparer runs the same arrivals against several policies and sums up
// what became of them.
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
	// patienceMillis bounds one request.
	patienceMillis = 60_000
	// quietMillis is how long after the last request memory is looked at.
	quietMillis = 8000
	// fillMillis is how long the engines take to fill; answers before do not
	// count for the rate.
	fillMillis = 5000
	// warmMillis is the pause between a start and the load.
	warmMillis = 1500
)

// Policies that can be compared.
const (
	PolicyNaive   = "naive"
	PolicyFigseam = "figseam"
)

// Settings of a comparison.
type Settings struct {
	Scenario  string
	Loads     []float64
	Policies  []string
	Seeds     []uint64
	FaultPlan string
	// ArrivalPeriodMillis is how long requests arrive in one run.
	ArrivalPeriodMillis int64
	// EarlyStart replaces the scenario's setting if it is not negative.
	EarlyStart float64
	Log        io.Writer
}

// RunSummary sums up one run.
type RunSummary struct {
	Policy       string  `json:"policy"`
	Load         float64 `json:"load"`
	Seed         uint64  `json:"seed"`
	FaultPlan    string  `json:"faults"`
	EarlyStart   float64 `json:"early_start"`
	Arrivals     int     `json:"arrivals"`
	GoodputShare float64 `json:"goodput_share"`
	GoodputPerS  float64 `json:"goodput_per_s"`
	BoundPerS    float64 `json:"bound_per_s"`
	// HealthyBoundPerS is the bound of the engines that are not at fault, on average
	// over the run, for the callers who do not leave early.
	HealthyBoundPerS     float64            `json:"alive_bound_per_s"`
	WastedPrefillShare   float64            `json:"wasted_prefill_share"`
	RefusedNotRun        int                `json:"refused_not_run"`
	Failed               int                `json:"failed"`
	MissedTargets        int                `json:"late"`
	PatientDropped       int                `json:"patient_dropped"`
	Duplicates           int                `json:"duplicates"`
	WrongAnswers         int                `json:"wrong_answers"`
	ExecutedNotRun       int                `json:"false_not_run"`
	UsedPiecesAfterQuiet int                `json:"held_pieces_after_quiet"`
	FirstTokenMillis     LatencyPercentiles `json:"ttft_ms"`
	InterTokenMillis     LatencyPercentiles `json:"inter_token_ms"`
	ProcessCores         float64            `json:"process_cores"`
	// FailureReasons counts what ended without an answer: the reason code of a refusal
	// and its outcome, or "broken" for a stream that broke off.
	FailureReasons map[string]int `json:"reasons"`
}

// LatencyPercentiles is the distribution of a latency in milliseconds.
type LatencyPercentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report is the outcome of a comparison.
type Report struct {
	Scenario string               `json:"scenario"`
	Bound    driver.CapacityBound `json:"bound"`
	Runs     []RunSummary         `json:"runs"`
}

// Run runs every policy on the same arrivals, alternating between them.
func Run(ctx context.Context, s Settings) (report Report, err error) {
	defer func() { err = eris.Wrap(err, "compare") }()
	scenario, ok := driver.Scenarios()[s.Scenario]
	if !ok {
		return Report{}, eris.Errorf("scenario %q is not known", s.Scenario)
	}
	if _, ok := faults[s.FaultPlan]; !ok {
		return Report{}, eris.Errorf("faults %q are not known", s.FaultPlan)
	}
	if s.EarlyStart >= 0 {
		scenario.User.EarlyStart = s.EarlyStart
	}
	report = Report{Scenario: s.Scenario, Bound: scenario.CapacityBound()}
	for _, load := range s.Loads {
		for _, seed := range s.Seeds {
			for _, policy := range s.Policies {
				sum, err := run(ctx, s, scenario, policy, load, seed)
				if err != nil {
					return report, err
				}
				report.Runs = append(report.Runs, sum)
			}
		}
	}
	return report, nil
}

func run(ctx context.Context, s Settings, scenario driver.Scenario, policy string, load float64, seed uint64) (RunSummary, error) {
	d, err := launcher.Start([]planner.User{scenario.User}, runner.Options{NaivePlacement: policy == PolicyNaive, LogOutput: s.Log})
	if err != nil {
		return RunSummary{}, err
	}
	defer func() { _ = d.Close() }()
	time.Sleep(warmMillis * time.Millisecond)
	length := time.Duration(s.ArrivalPeriodMillis) * time.Millisecond
	fault := faults[s.FaultPlan]
	requests := scenario.Arrivals(seed, load, length, len(d.InstanceSettings), fault.cancels)
	var tasks sync.WaitGroup
	faultCtx, stopFaults := context.WithCancel(ctx)
	tasks.Go(func() { fault.inject(faultCtx, d, seed, length) })
	before, began := cpuSeconds(), time.Now()
	load2 := driver.New(d.CallerAddresses, scenario.User.Service, patienceMillis*time.Millisecond)
	results := load2.Run(ctx, requests)
	cores := (cpuSeconds() - before) / time.Since(began).Seconds()
	stopFaults()
	tasks.Wait()
	sum := RunSummary{
		Policy: policy, Load: load, Seed: seed, FaultPlan: s.FaultPlan, EarlyStart: scenario.User.EarlyStart,
		BoundPerS: scenario.CapacityBound().RequestsPerSecond(), ProcessCores: round(cores),
		HealthyBoundPerS: round(scenario.CapacityBound().RequestsPerSecond() * (1 - fault.cancels) * (1 - fault.lost)),
	}
	sum.UsedPiecesAfterQuiet = quiet(d)
	sum.count(results, length)
	sum.waste(d, results)
	sum.executions(d, scenario.User, results)
	return sum, nil
}

// quiet waits until no memory is held, for a bounded time, and returns what is
// held then.
func quiet(d *launcher.Deployment) int {
	deadline := figseam.DeadlineAfterMillis(quietMillis)
	for !deadline.Passed() && d.Fleet.UsedPieces() > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	return d.Fleet.UsedPieces()
}

func (s *RunSummary) count(results []driver.Result, length time.Duration) {
	s.FailureReasons = map[string]int{}
	first := hdrhistogram.New(1, 120_000_000, 3)
	between := hdrhistogram.New(1, 120_000_000, 3)
	good, inTime, counted := 0, 0, 0
	warm := min(fillMillis*time.Millisecond, length/4)
	for _, r := range results {
		if r.Incorrect {
			s.WrongAnswers++
		}
		if r.Request.Class.ModelRoute == "" || r.Abandoned {
			continue
		}
		counted++
		switch {
		case r.MeetsTargets():
			good++
			if r.EndOffset > warm && r.EndOffset <= length {
				inTime++
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
		if r.Request.Class.Patient && !r.Complete {
			s.PatientDropped++
		}
		if r.FirstTokenMillis > 0 && !r.Request.Class.Patient {
			_ = first.RecordValue(int64(r.FirstTokenMillis * 1000))
		}
		for _, g := range r.InterTokenMillis {
			_ = between.RecordValue(int64(g * 1000))
		}
	}
	s.Arrivals = counted
	s.GoodputShare = round(float64(good) / float64(max(1, counted)))
	// The rate is taken between the time when the engines have filled and the last
	// arrival; what ends later is served by engines that nothing else asks for.
	s.GoodputPerS = round(float64(inTime) / (length - warm).Seconds())
	s.FirstTokenMillis, s.InterTokenMillis = spread(first), spread(between)
}

func spread(h *hdrhistogram.Histogram) LatencyPercentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return LatencyPercentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// waste works out the share of computed prompt tokens that did not end in an
// answer that its caller received. A caller who left early got nothing of use,
// yet nobody could know; its first attempt is not counted as waste.
func (s *RunSummary) waste(d *launcher.Deployment, results []driver.Result) {
	received := map[figseam.RequestID]bool{}
	left := map[figseam.RequestID]bool{}
	for _, r := range results {
		received[r.ID] = received[r.ID] || r.Complete
		left[r.ID] = left[r.ID] || r.Abandoned
	}
	finished := map[figseam.AttemptID]bool{}
	for _, e := range d.Fleet.Engines() {
		for _, a := range e.Stats().FinishedAttempts {
			finished[a] = true
		}
	}
	total, useful := 0, 0
	for _, e := range d.Fleet.Engines() {
		for _, w := range e.Stats().Prefills {
			if left[w.Request] {
				continue
			}
			total += w.ComputedTokens
			if received[w.Request] && finished[w.Attempt] {
				useful += w.ComputedTokens
			}
		}
	}
	s.WastedPrefillShare = round(float64(total-useful) / float64(max(1, total)))
}

// executions counts the calls that ran twice, and those refused as not run that
// did run.
func (s *RunSummary) executions(d *launcher.Deployment, u planner.User, results []driver.Result) {
	count := map[string]int{}
	for _, dc := range u.DataCentres {
		for key, n := range d.Fleet.Service(u.ServiceEndpointID(dc)).ExecutionsByKey() {
			count[key] += n
		}
	}
	for _, r := range results {
		if !r.Request.Class.NonIdempotent {
			continue
		}
		if count[r.Request.IdempotencyKey] > 1 {
			s.Duplicates++
		}
		if r.Outcome == figseam.OutcomeNotRun && count[r.Request.IdempotencyKey] > 0 {
			s.ExecutedNotRun++
		}
	}
}

func round(v float64) float64 { return math.Round(v*10_000) / 10_000 }

// cpuSeconds returns the processor time of this process so far.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / float64(time.Second)
}
