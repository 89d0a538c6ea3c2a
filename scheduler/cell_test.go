package scheduler_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/scheduler"
)

// init fixes the seed of the random tests, so that every run draws the same values.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// noDeadlineTB hides Deadline, which rapid must not call under synctest: the deadline is
// in real time.
type noDeadlineTB struct{ rapid.TB }

// endpointStates holds the endpoint states that a test sets.
type endpointStates struct {
	mu    sync.Mutex
	state map[figseam.EndpointID]figseam.EndpointState
}

func (s *endpointStates) State(id figseam.EndpointID) figseam.EndpointState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state[id]
}

func (s *endpointStates) set(id figseam.EndpointID, state figseam.EndpointState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state[id] = state
}

// fakeEngines simulates the memory of the engines: the attempts that were started and not
// yet released. It implements scheduler.Canceller and confirms cancels after 30 ms.
type fakeEngines struct {
	mu   sync.Mutex
	held map[figseam.EndpointID]map[figseam.AttemptID]int
	peak map[figseam.EndpointID]int
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{held: map[figseam.EndpointID]map[figseam.AttemptID]int{}, peak: map[figseam.EndpointID]int{}}
}

func (e *fakeEngines) reserve(id figseam.EndpointID, attempt figseam.AttemptID, pieces int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[id] == nil {
		e.held[id] = map[figseam.AttemptID]int{}
	}
	e.held[id][attempt] = pieces
	total := 0
	for _, n := range e.held[id] {
		total += n
	}
	e.peak[id] = max(e.peak[id], total)
}

func (e *fakeEngines) release(id figseam.EndpointID, attempt figseam.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held[id], attempt)
}

func (e *fakeEngines) attempts(id figseam.EndpointID) []figseam.AttemptID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []figseam.AttemptID
	for a := range e.held[id] {
		all = append(all, a)
	}
	return all
}

func (e *fakeEngines) heldAttempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, held := range e.held {
		n += len(held)
	}
	return n
}

// Cancel implements scheduler.Canceller.
func (e *fakeEngines) Cancel(endpoint figseam.Endpoint, attempt figseam.AttemptID, confirmed func()) {
	go func() {
		time.Sleep(30 * time.Millisecond)
		e.release(endpoint.Name, attempt)
		if confirmed != nil {
			confirmed()
		}
	}()
}

const enginePieces = 10

var testCell = figseam.CellID{Pool: "lm", DataCentre: "a"}

func testPool(earlyStart float64) figseam.Pool {
	return figseam.Pool{
		Name: "lm", PieceTokens: 1000, EarlyStart: earlyStart, PrefillResultTTLMillis: 800, PrefillTokensPerSecond: 10_000,
		DecodeStepMillis: 20, TransferTokensPerSecond: 100_000, Slots: 5,
	}
}

func testEngines(prefill, decode int) []figseam.Endpoint {
	var all []figseam.Endpoint
	for i := range prefill {
		all = append(all, figseam.Endpoint{Name: figseam.EndpointID(fmt.Sprint("p", i)), Pool: "lm", Role: figseam.RolePrefill, DataCentre: "a", MemoryPieces: enginePieces})
	}
	for i := range decode {
		all = append(all, figseam.Endpoint{Name: figseam.EndpointID(fmt.Sprint("d", i)), Pool: "lm", Role: figseam.RoleDecode, DataCentre: "a", MemoryPieces: enginePieces})
	}
	return all
}

// cellHarness is a cell with fake engines and holders. The holders run every placed job
// through prefill, assignment of a decode engine, and decode.
type cellHarness struct {
	states  *endpointStates
	engines *fakeEngines
	holders sync.WaitGroup

	mu               sync.Mutex
	cell             *scheduler.Cell
	stop             context.CancelFunc
	done             <-chan struct{}
	earlyStart       float64
	nextRequest      int
	dead             map[figseam.InstanceID]bool
	held             map[figseam.GrantID]figseam.GrantRecord
	placed           int
	refused          int
	decodeTimeouts   int
	earlyStarts      int // jobs that were placed before their decode memory was free
	noDeadlinePlaced int
}

func newCellHarness(earlyStart float64) *cellHarness {
	h := &cellHarness{
		states: &endpointStates{state: map[figseam.EndpointID]figseam.EndpointState{}}, engines: newFakeEngines(), earlyStart: earlyStart,
		dead: map[figseam.InstanceID]bool{}, held: map[figseam.GrantID]figseam.GrantRecord{},
	}
	h.replaceOwner(0)
	return h
}

// replaceOwner replaces the cell by one of a new owner, with an empty ledger.
func (h *cellHarness) replaceOwner(adoptionMillis int64) {
	h.stopCell()
	c := scheduler.NewCell(testCell, "owner", h.states, h.engines, figseam.DeadlineAfterMillis(adoptionMillis))
	c.Configure(testPool(h.earlyStart), testEngines(2, 2))
	ctx, stop := context.WithCancel(context.Background())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cell, h.stop, h.done = c, stop, c.Run(ctx)
}

func (h *cellHarness) stopCell() {
	if h.stop != nil {
		h.cell.Close()
		h.stop()
		<-h.done
	}
}

func (h *cellHarness) currentCell() *scheduler.Cell {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cell
}

func (h *cellHarness) isDead(id figseam.InstanceID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead[id]
}

func (h *cellHarness) newJob(holder figseam.InstanceID, prompt, output int, firstToken figseam.Deadline) figseam.Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextRequest++
	return figseam.Job{
		Request: figseam.RequestID(fmt.Sprint("r", h.nextRequest)), Attempt: figseam.AttemptID(fmt.Sprint("a", h.nextRequest)),
		Pool: "lm", Holder: holder, PromptTokens: prompt, OutputTokens: output, FirstTokenDeadline: firstToken,
	}
}

func (h *cellHarness) increment(n *int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*n++
}

// submit starts a holder that places the job and runs it. answer is the length of the
// answer in tokens.
func (h *cellHarness) submit(job figseam.Job, answer int) {
	h.holders.Go(func() {
		p, err := h.currentCell().Place(context.Background(), job)
		for err != nil && figseam.AsRefusal(err) == nil {
			time.Sleep(50 * time.Millisecond)
			p, err = h.currentCell().Place(context.Background(), job)
		}
		if err != nil {
			h.increment(&h.refused)
			return
		}
		h.increment(&h.placed)
		if p.Decode == "" {
			h.increment(&h.earlyStarts)
		}
		if job.NoDeadline() {
			h.increment(&h.noDeadlinePlaced)
		}
		h.runJob(job, p, answer)
	})
}

func (h *cellHarness) recordGrant(record figseam.GrantRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[record.Grant] = record
}

// reportStage records the stage and sends it to the owner, unless the holder is dead.
func (h *cellHarness) reportStage(record figseam.GrantRecord, stage figseam.JobStage) {
	record.Stage = stage
	h.mu.Lock()
	h.held[record.Grant] = record
	if stage == figseam.JobStageEnded {
		delete(h.held, record.Grant)
	}
	dead := h.dead[record.Job.Holder]
	h.mu.Unlock()
	if !dead {
		h.currentCell().ReportProgress(figseam.Progress{Grant: record.Grant, Stage: stage})
	}
}

// runJob runs a placed job through all stages. It stops at the first check that finds the
// holder dead.
func (h *cellHarness) runJob(job figseam.Job, p figseam.Placement, answer int) {
	record := figseam.GrantRecord{Grant: p.Grant, Job: job, Prefill: p.Prefill, Decode: p.Decode, Stage: figseam.JobStagePrefilling}
	h.recordGrant(record)
	time.Sleep(time.Duration(job.PromptTokens) * time.Second / 10_000)
	if h.isDead(job.Holder) {
		return
	}
	h.reportStage(record, figseam.JobStagePrefilled)
	if p.Decode == "" {
		assigned, err := h.currentCell().AssignDecode(context.Background(), p, figseam.DeadlineAfterMillis(700))
		if err != nil {
			h.increment(&h.decodeTimeouts)
			h.reportStage(record, figseam.JobStageEnded)
			return
		}
		record.Decode = assigned.Decode
	}
	if h.isDead(job.Holder) {
		return
	}
	h.engines.reserve(record.Decode, job.Attempt, (job.PromptTokens+job.OutputTokens+999)/1000)
	h.reportStage(record, figseam.JobStageDecoding)
	time.Sleep(time.Duration(answer) * 20 * time.Millisecond)
	if h.isDead(job.Holder) {
		return
	}
	h.engines.release(record.Decode, job.Attempt)
	h.reportStage(record, figseam.JobStageEnded)
}

// renewLeases renews a holder's leases and announces its grants if the owner's differ.
func (h *cellHarness) renewLeases(holder figseam.InstanceID) {
	if h.isDead(holder) {
		return
	}
	h.mu.Lock()
	var digest scheduler.GrantDigest
	var held []figseam.GrantRecord
	for _, record := range h.held {
		if record.Job.Holder == holder {
			digest = digest.With(record.Grant)
			held = append(held, record)
		}
	}
	cell := h.cell
	h.mu.Unlock()
	if !cell.RenewLeases(holder, digest) {
		cell.AnnounceGrants(holder, held)
	}
}

// runMaintenance runs the periodic work of the holders and the owner for a duration.
func (h *cellHarness) runMaintenance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(500 * time.Millisecond)
		for _, holder := range []figseam.InstanceID{"h0", "h1"} {
			h.renewLeases(holder)
		}
		c := h.currentCell()
		c.ExpireLeases(h.isDead)
		for _, e := range testEngines(0, 2) {
			c.Reconcile(e.Name, h.engines.attempts(e.Name))
		}
	}
}

// awaitJobs runs the periodic work until every holder has ended.
func (h *cellHarness) awaitJobs(t require.TestingT) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.holders.Wait()
	}()
	for range 600 {
		h.runMaintenance(time.Second)
		select {
		case <-done:
			return
		default:
		}
	}
	require.FailNow(t, "jobs did not end within 10 minutes", "%+v", h.currentCell().Load())
}

// maxReleaseTime bounds the time until all memory is released after the last holder has
// ended. It covers failure detection, the lease, the grace period and repeated cancels.
const maxReleaseTime = 20 * time.Second

// TestHolderAndOwnerFailuresReleaseAllMemory runs random jobs on a cell while a holder
// dies and owners are replaced. After maxReleaseTime the engines hold no memory and the
// ledger is empty. If no owner was replaced, no engine was ever assigned more memory than
// it has.
func TestHolderAndOwnerFailuresReleaseAllMemory(t *testing.T) {
	placed := 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			h := newCellHarness(rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "early"))
			defer h.stopCell()
			ownerReplaced := false
			t.Repeat(map[string]func(*rapid.T){
				"burst": func(t *rapid.T) {
					for range rapid.IntRange(1, 20).Draw(t, "jobs") {
						holder := rapid.SampledFrom([]figseam.InstanceID{"h0", "h1"}).Draw(t, "holder")
						if h.isDead(holder) {
							continue
						}
						firstToken := figseam.DeadlineAfterMillis(1300)
						if rapid.IntRange(0, 4).Draw(t, "patient") == 0 {
							firstToken = figseam.Deadline{}
						}
						output := rapid.IntRange(5, 60).Draw(t, "output")
						h.submit(h.newJob(holder, rapid.IntRange(50, 3000).Draw(t, "prompt"), output, firstToken), output)
					}
				},
				"wait": func(t *rapid.T) {
					h.runMaintenance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				},
				"holder dies": func(*rapid.T) {
					h.mu.Lock()
					defer h.mu.Unlock()
					h.dead["h1"] = true
				},
				"owner dies": func(*rapid.T) {
					ownerReplaced = true
					h.replaceOwner(600)
				},
			})
			h.awaitJobs(t)
			h.runMaintenance(maxReleaseTime)
			require.Zero(t, h.engines.heldAttempts(), "engines hold memory after all requests ended")
			load := h.currentCell().Load()
			require.Zero(t, load.Grants)
			require.Equal(t, load.TotalPieces, load.FreePieces)
			if !ownerReplaced {
				for id, peak := range h.engines.peak {
					require.LessOrEqual(t, peak, enginePieces, "engine %s was assigned more memory than it has", id)
				}
			}
			placed += h.placed
		})
	})
	t.Logf("jobs placed: %d", placed)
}

// TestJobsWithoutDeadlineRunUnderOverload submits more jobs with deadlines than the cell
// can run. They must not starve the jobs without one.
func TestJobsWithoutDeadlineRunUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newCellHarness(0)
		defer h.stopCell()
		for range 20 {
			h.submit(h.newJob("h0", 3000, 30, figseam.Deadline{}), 30)
		}
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for range 3 {
				h.submit(h.newJob("h0", 500, 30, figseam.DeadlineAfterMillis(1300)), 30)
			}
			h.renewLeases("h0")
		}
		require.Equal(t, 20, h.noDeadlinePlaced, "all jobs without a deadline ran while others kept arriving")
		h.holders.Wait()
		require.Positive(t, h.refused)
	})
}

// TestWithoutEarlyStartPrefillWaitsForDecodeMemory checks that with early_start 0 no
// prefill starts before its decode memory is reserved.
func TestWithoutEarlyStartPrefillWaitsForDecodeMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newCellHarness(0)
		defer h.stopCell()
		for range 60 {
			h.submit(h.newJob("h0", 1000, 50, figseam.DeadlineAfterMillis(5000)), 50)
		}
		h.holders.Wait()
		require.Zero(t, h.decodeTimeouts)
		require.Zero(t, h.earlyStarts)
		require.Positive(t, h.placed)
	})
}

// TestLateJobIsRefusedWithRetryTimeOfNextRelease checks that a job that would miss its
// deadline is refused at once, with a retry time that depends on the remaining length of
// the running answers.
func TestLateJobIsRefusedWithRetryTimeOfNextRelease(t *testing.T) {
	retryMillis := func(answer int) (millis int64) {
		synctest.Test(t, func(t *testing.T) {
			h := newCellHarness(0)
			defer h.stopCell()
			for range 14 {
				h.submit(h.newJob("h0", 500, answer, figseam.Deadline{}), answer)
			}
			time.Sleep(time.Second)
			start := time.Now()
			_, err := h.currentCell().Place(context.Background(), h.newJob("h0", 500, 50, figseam.DeadlineAfterMillis(300)))
			refusal := figseam.AsRefusal(err)
			require.NotNil(t, refusal, "%v", err)
			require.Equal(t, explainer.DeadlineUnattainable, refusal.Code)
			require.Equal(t, figseam.OutcomeNotRun, refusal.Outcome)
			require.Zero(t, time.Since(start))
			millis = refusal.RetryAt.RemainingMillis()
			h.holders.Wait()
		})
		return millis
	}
	short, long := retryMillis(100), retryMillis(400)
	require.Greater(t, long, short+3000)
	require.Less(t, long, int64(8000), "answers of 400 tokens take 8 s")
}

// TestDrainingEngineReceivesNoJobs marks one engine of each role as draining.
func TestDrainingEngineReceivesNoJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newCellHarness(0.5)
		defer h.stopCell()
		h.states.set("d0", figseam.EndpointDraining)
		h.states.set("p1", figseam.EndpointDraining)
		for range 30 {
			job := h.newJob("h0", 500, 20, figseam.Deadline{})
			p, err := h.currentCell().Place(context.Background(), job)
			require.NoError(t, err)
			require.Equal(t, figseam.EndpointID("p0"), p.Prefill)
			require.NotEqual(t, figseam.EndpointID("d0"), p.Decode)
			h.holders.Go(func() { h.runJob(job, p, 20) })
		}
		h.holders.Wait()
		require.Empty(t, h.engines.peak["d0"])
	})
}

// TestSharedPrefixSelectsSamePrefillEngine places prompts with a shared prefix, one after
// another.
func TestSharedPrefixSelectsSamePrefillEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newCellHarness(0)
		defer h.stopCell()
		prefix := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
		var first figseam.EndpointID
		for i := range 6 {
			job := h.newJob("h0", 2300, 5, figseam.Deadline{})
			job.PrefixHashes = prefix
			p, err := h.currentCell().Place(context.Background(), job)
			require.NoError(t, err)
			if i == 0 {
				first = p.Prefill
			}
			require.Equal(t, first, p.Prefill, "job %d", i)
			h.runJob(job, p, 5)
		}
	})
}

// TestResentRequestResumesRunningStream places a request again from another instance
// while its stream is running.
func TestResentRequestResumesRunningStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newCellHarness(0)
		defer h.stopCell()
		job := h.newJob("h0", 500, 50, figseam.DeadlineAfterMillis(1300))
		h.submit(job, 50)
		time.Sleep(200 * time.Millisecond)
		resent := job
		resent.Attempt, resent.Holder = "other", "h1"
		p, err := h.currentCell().Place(context.Background(), resent)
		require.NoError(t, err)
		require.Equal(t, job.Attempt, p.ResumeAttempt)
		require.Equal(t, explainer.StreamResumed, p.Code)
		h.holders.Wait()
	})
}

// TestCellSizeIsBoundedAndNewMemberOwnsItsShare checks that the size of cells is bounded
// and that an additional instance becomes the owner of about its share of the cells.
func TestCellSizeIsBoundedAndNewMemberOwnsItsShare(t *testing.T) {
	config := &figseam.Config{Endpoints: map[figseam.EndpointID]figseam.Endpoint{}}
	for i := range 750 {
		id := figseam.EndpointID(fmt.Sprint("e", i))
		config.Endpoints[id] = figseam.Endpoint{Name: id, Pool: "lm", DataCentre: "a", Role: figseam.RoleDecode}
	}
	cells := scheduler.PartitionPool(config, "lm", "a")
	require.Len(t, cells, 12)
	for id, engines := range cells {
		require.Less(t, len(engines), 2*scheduler.TargetCellEngines, "cell %v", id)
	}
	var members []figseam.Member
	for i := range 40 {
		members = append(members, figseam.Member{ID: figseam.InstanceID(fmt.Sprint("i", i)), DataCentre: "a", State: figseam.InstanceAlive})
	}
	moved, total := 0, 2000
	for i := range total {
		cell := figseam.CellID{Pool: "lm", DataCentre: "a", Index: i}
		if scheduler.CellOwner(cell, members) != scheduler.CellOwner(cell, members[1:]) {
			moved++
		}
	}
	require.Less(t, math.Abs(float64(moved)/float64(total)-1.0/40), 0.02)
}
