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

// Fixes the seed of the random tests, so that every run gives the same verdict.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// bubble hides the deadline of a test, which must not be read in virtual time.
type bubble struct{ rapid.TB }

// states is a list of endpoint states that a test sets.
type states struct {
	mu    sync.Mutex
	state map[figseam.EndpointID]figseam.EndpointState
}

func (s *states) State(id figseam.EndpointID) figseam.EndpointState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state[id]
}

func (s *states) set(id figseam.EndpointID, state figseam.EndpointState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state[id] = state
}

// engines plays the memory of the engines: what was started there and not yet
// freed. It confirms cancels after a while.
type engines struct {
	mu   sync.Mutex
	held map[figseam.EndpointID]map[figseam.AttemptID]int
	most map[figseam.EndpointID]int
}

func newEngines() *engines {
	return &engines{held: map[figseam.EndpointID]map[figseam.AttemptID]int{}, most: map[figseam.EndpointID]int{}}
}

func (e *engines) hold(id figseam.EndpointID, attempt figseam.AttemptID, pieces int) {
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
	e.most[id] = max(e.most[id], total)
}

func (e *engines) free(id figseam.EndpointID, attempt figseam.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held[id], attempt)
}

func (e *engines) attempts(id figseam.EndpointID) []figseam.AttemptID {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []figseam.AttemptID
	for a := range e.held[id] {
		all = append(all, a)
	}
	return all
}

func (e *engines) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, held := range e.held {
		n += len(held)
	}
	return n
}

// Cancel implements scheduler.Canceller.
func (e *engines) Cancel(endpoint figseam.Endpoint, attempt figseam.AttemptID, confirmed func()) {
	go func() {
		time.Sleep(30 * time.Millisecond)
		e.free(endpoint.Name, attempt)
		if confirmed != nil {
			confirmed()
		}
	}()
}

const enginePieces = 10

var testCell = figseam.CellID{Pool: "lm", DataCentre: "a"}

func testPool(early float64) figseam.Pool {
	return figseam.Pool{
		Name: "lm", PieceTokens: 1000, EarlyStart: early, PrefillResultTTLMillis: 800, PrefillTokensPerSecond: 10_000,
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

// bench is a cell with played engines and holders. Its holders carry every
// placed job through prefill, seat and decode.
type bench struct {
	states  *states
	engines *engines
	tasks   sync.WaitGroup

	mu      sync.Mutex
	cell    *scheduler.Cell
	stop    context.CancelFunc
	ended   <-chan struct{}
	early   float64
	next    int
	dead    map[figseam.InstanceID]bool
	held    map[figseam.GrantID]figseam.GrantRecord
	placed  int
	refused int
	unsat   int
	ahead   int // jobs that started without decode memory in hand
	patient int
}

func newBench(early float64) *bench {
	b := &bench{
		states: &states{state: map[figseam.EndpointID]figseam.EndpointState{}}, engines: newEngines(), early: early,
		dead: map[figseam.InstanceID]bool{}, held: map[figseam.GrantID]figseam.GrantRecord{},
	}
	b.own(0)
	return b
}

// own makes a new owner of the cell, which knows nothing of earlier grants.
func (b *bench) own(adoptionMillis int64) {
	b.halt()
	c := scheduler.NewCell(testCell, "owner", b.states, b.engines, figseam.DeadlineAfterMillis(adoptionMillis))
	c.Configure(testPool(b.early), testEngines(2, 2))
	ctx, stop := context.WithCancel(context.Background())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cell, b.stop, b.ended = c, stop, c.Run(ctx)
}

func (b *bench) halt() {
	if b.stop != nil {
		b.cell.Close()
		b.stop()
		<-b.ended
	}
}

func (b *bench) owner() *scheduler.Cell {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cell
}

func (b *bench) isDead(id figseam.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dead[id]
}

func (b *bench) job(holder figseam.InstanceID, prompt, output int, first figseam.Deadline) figseam.Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return figseam.Job{
		Request: figseam.RequestID(fmt.Sprint("r", b.next)), Attempt: figseam.AttemptID(fmt.Sprint("a", b.next)),
		Pool: "lm", Holder: holder, PromptTokens: prompt, OutputTokens: output, FirstTokenDeadline: first,
	}
}

func (b *bench) count(n *int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*n++
}

// submit plays a holder that carries a job through.
func (b *bench) submit(job figseam.Job, answer int) {
	b.tasks.Go(func() {
		p, err := b.owner().Place(context.Background(), job)
		for err != nil && figseam.AsRefusal(err) == nil {
			time.Sleep(50 * time.Millisecond)
			p, err = b.owner().Place(context.Background(), job)
		}
		if err != nil {
			b.count(&b.refused)
			return
		}
		b.count(&b.placed)
		if p.Decode == "" {
			b.count(&b.ahead)
		}
		if job.NoDeadline() {
			b.count(&b.patient)
		}
		b.carry(job, p, answer)
	})
}

func (b *bench) note(h figseam.GrantRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[h.Grant] = h
}

func (b *bench) report(h figseam.GrantRecord, stage figseam.JobStage) {
	h.Stage = stage
	b.mu.Lock()
	b.held[h.Grant] = h
	if stage == figseam.JobStageEnded {
		delete(b.held, h.Grant)
	}
	dead := b.dead[h.Job.Holder]
	b.mu.Unlock()
	if !dead {
		b.owner().Report(figseam.Progress{Grant: h.Grant, Stage: stage})
	}
}

func (b *bench) carry(job figseam.Job, p figseam.Placement, answer int) {
	h := figseam.GrantRecord{Grant: p.Grant, Job: job, Prefill: p.Prefill, Decode: p.Decode, Stage: figseam.JobStagePrefilling}
	b.note(h)
	time.Sleep(time.Duration(job.PromptTokens) * time.Second / 10_000)
	if b.isDead(job.Holder) {
		return
	}
	b.report(h, figseam.JobStagePrefilled)
	if p.Decode == "" {
		seated, err := b.owner().AssignDecode(context.Background(), p, figseam.DeadlineAfterMillis(700))
		if err != nil {
			b.count(&b.unsat)
			b.report(h, figseam.JobStageEnded)
			return
		}
		h.Decode = seated.Decode
	}
	if b.isDead(job.Holder) {
		return
	}
	b.engines.hold(h.Decode, job.Attempt, (job.PromptTokens+job.OutputTokens+999)/1000)
	b.report(h, figseam.JobStageDecoding)
	time.Sleep(time.Duration(answer) * 20 * time.Millisecond)
	if b.isDead(job.Holder) {
		return
	}
	b.engines.free(h.Decode, job.Attempt)
	b.report(h, figseam.JobStageEnded)
}

// renew plays the holders' renewals.
func (b *bench) renew(holder figseam.InstanceID) {
	if b.isDead(holder) {
		return
	}
	b.mu.Lock()
	var digest scheduler.GrantDigest
	var held []figseam.GrantRecord
	for _, h := range b.held {
		if h.Job.Holder == holder {
			digest = digest.With(h.Grant)
			held = append(held, h)
		}
	}
	cell := b.cell
	b.mu.Unlock()
	if !cell.RenewLeases(holder, digest) {
		cell.AnnounceGrants(holder, held)
	}
}

// tend plays the periodic work of holders and owner for a time.
func (b *bench) tend(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(500 * time.Millisecond)
		for _, holder := range []figseam.InstanceID{"h0", "h1"} {
			b.renew(holder)
		}
		c := b.owner()
		c.ExpireLeases(b.isDead)
		for _, e := range testEngines(0, 2) {
			c.Reconcile(e.Name, b.engines.attempts(e.Name))
		}
	}
}

// finish tends until every holder has ended.
func (b *bench) finish(t require.TestingT) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.tasks.Wait()
	}()
	for range 600 {
		b.tend(time.Second)
		select {
		case <-done:
			return
		default:
		}
	}
	require.FailNow(t, "jobs did not end within 10 minutes", "%+v", b.owner().Load())
}

// quietAfter bounds how long memory may stay held after the last holder ended:
// detection, lease, grace and repeated cancels together.
const quietAfter = 20 * time.Second

// TestHeldMemoryIsLiveRequests drives a cell through jobs, dead holders and lost
// owners. After quiet, no memory is held and the ledger is empty; no engine was
// ever given more than it has.
func TestHeldMemoryIsLiveRequests(t *testing.T) {
	placed := 0
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			b := newBench(rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "early"))
			defer b.halt()
			lost := false
			t.Repeat(map[string]func(*rapid.T){
				"burst": func(t *rapid.T) {
					for range rapid.IntRange(1, 20).Draw(t, "jobs") {
						holder := rapid.SampledFrom([]figseam.InstanceID{"h0", "h1"}).Draw(t, "holder")
						if b.isDead(holder) {
							continue
						}
						first := figseam.DeadlineAfterMillis(1300)
						if rapid.IntRange(0, 4).Draw(t, "patient") == 0 {
							first = figseam.Deadline{}
						}
						output := rapid.IntRange(5, 60).Draw(t, "output")
						b.submit(b.job(holder, rapid.IntRange(50, 3000).Draw(t, "prompt"), output, first), output)
					}
				},
				"wait": func(t *rapid.T) { b.tend(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
				"holder dies": func(*rapid.T) {
					b.mu.Lock()
					defer b.mu.Unlock()
					b.dead["h1"] = true
				},
				"owner dies": func(*rapid.T) {
					lost = true
					b.own(600)
				},
			})
			b.finish(t)
			b.tend(quietAfter)
			require.Zero(t, b.engines.total(), "memory is held by nobody's request")
			l := b.owner().Load()
			require.Zero(t, l.Grants)
			require.Equal(t, l.TotalPieces, l.FreePieces)
			if !lost {
				for id, most := range b.engines.most {
					require.LessOrEqual(t, most, enginePieces, "engine %s was given more than it has", id)
				}
			}
			placed += b.placed
		})
	})
	t.Logf("jobs placed: %d", placed)
}

// TestPatientJobsAreNeverDropped floods a cell with more than it can do.
func TestPatientJobsAreNeverDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(0)
		defer b.halt()
		for range 20 {
			b.submit(b.job("h0", 3000, 30, figseam.Deadline{}), 30)
		}
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for range 3 {
				b.submit(b.job("h0", 500, 30, figseam.DeadlineAfterMillis(1300)), 30)
			}
			b.renew("h0")
		}
		require.Equal(t, 20, b.patient, "all patient jobs ran while others kept coming")
		b.tasks.Wait()
		require.Positive(t, b.refused)
	})
}

// TestNoStartWithoutPlace holds that with early_start 0 a prefill never starts
// before its decode memory is in hand.
func TestNoStartWithoutPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(0)
		defer b.halt()
		for range 60 {
			b.submit(b.job("h0", 1000, 50, figseam.DeadlineAfterMillis(5000)), 50)
		}
		b.tasks.Wait()
		require.Zero(t, b.unsat)
		require.Zero(t, b.ahead)
		require.Positive(t, b.placed)
	})
}

// TestRefusalTellsWhenToRetry holds that a late job is refused at once, and that
// the time to retry follows from what runs in front.
func TestRefusalTellsWhenToRetry(t *testing.T) {
	retryMillis := func(answer int) (millis int64) {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(0)
			defer b.halt()
			for range 14 {
				b.submit(b.job("h0", 500, answer, figseam.Deadline{}), answer)
			}
			time.Sleep(time.Second)
			began := time.Now()
			_, err := b.owner().Place(context.Background(), b.job("h0", 500, 50, figseam.DeadlineAfterMillis(300)))
			refusal := figseam.AsRefusal(err)
			require.NotNil(t, refusal, "%v", err)
			require.Equal(t, explainer.DeadlineUnattainable, refusal.Code)
			require.Equal(t, figseam.OutcomeNotRun, refusal.Outcome)
			require.Zero(t, time.Since(began))
			millis = refusal.RetryAt.RemainingMillis()
			b.tasks.Wait()
		})
		return millis
	}
	short, long := retryMillis(100), retryMillis(400)
	require.Greater(t, long, short+3000)
	require.Less(t, long, int64(8000), "answers of 400 tokens take 8 s")
}

// TestLeavingEngineGetsNoWork marks an engine as leaving.
func TestLeavingEngineGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(0.5)
		defer b.halt()
		b.states.set("d0", figseam.EndpointDraining)
		b.states.set("p1", figseam.EndpointDraining)
		for range 30 {
			job := b.job("h0", 500, 20, figseam.Deadline{})
			p, err := b.owner().Place(context.Background(), job)
			require.NoError(t, err)
			require.Equal(t, figseam.EndpointID("p0"), p.Prefill)
			require.NotEqual(t, figseam.EndpointID("d0"), p.Decode)
			b.tasks.Go(func() { b.carry(job, p, 20) })
		}
		b.tasks.Wait()
		require.Empty(t, b.engines.most["d0"])
	})
}

// TestPrefixIsPreferred sends prompts with a shared prefix.
func TestPrefixIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(0)
		defer b.halt()
		prefix := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
		var first figseam.EndpointID
		for i := range 6 {
			job := b.job("h0", 2300, 5, figseam.Deadline{})
			job.PrefixHashes = prefix
			p, err := b.owner().Place(context.Background(), job)
			require.NoError(t, err)
			if i == 0 {
				first = p.Prefill
			}
			require.Equal(t, first, p.Prefill, "job %d", i)
			b.carry(job, p, 5)
		}
	})
}

// TestReturningCallerResumes places a request again while its stream runs.
func TestReturningCallerResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(0)
		defer b.halt()
		job := b.job("h0", 500, 50, figseam.DeadlineAfterMillis(1300))
		b.submit(job, 50)
		time.Sleep(200 * time.Millisecond)
		again := job
		again.Attempt, again.Holder = "other", "h1"
		p, err := b.owner().Place(context.Background(), again)
		require.NoError(t, err)
		require.Equal(t, job.Attempt, p.ResumeAttempt)
		require.Equal(t, explainer.StreamResumed, p.Code)
		b.tasks.Wait()
	})
}

// TestOwnersAndCellsAreStable holds that one more instance takes over about its
// share of the cells, and that cells are of a bounded size.
func TestOwnersAndCellsAreStable(t *testing.T) {
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
