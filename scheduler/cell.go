package scheduler

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/allocator"
	"github.com/figseam/figseam/explainer"
)

// Canceller releases the memory that an engine holds for an attempt.
type Canceller interface {
	// Cancel repeats the cancel request to the endpoint until the endpoint confirms it,
	// then calls confirmed, which may be nil.
	Cancel(endpoint figseam.Endpoint, attempt figseam.AttemptID, confirmed func())
}

// grant is a placed job with the engines and memory reserved for it. The cell's mutex
// guards it.
type grant struct {
	id      figseam.GrantID
	job     figseam.Job
	prefill *prefillEngine
	// decode is nil while the grant waits for decode memory.
	decode       *decodeEngine
	pieces       int
	stage        figseam.JobStage
	outputTokens int
	stageStart   time.Time // start of the current stage
	expectedEnd  time.Time // predicted end of the answer
	prefilling   bool      // the grant is counted in prefill.running
	// awaitingFirstToken is set while the grant is counted in prefill.awaitingFirstToken.
	awaitingFirstToken bool
	// decodeAssigned is closed when decode is set.
	decodeAssigned chan struct{}
	// leaseEnd is the time at which the grant is revoked unless the holder renews the lease.
	leaseEnd  figseam.Deadline
	cancelled bool
	// orphaned is set if the grant was created for an attempt that an engine reported and
	// no holder announced.
	orphaned bool
}

// Cell is the memory ledger and job queue of a group of engines. It runs on the
// instance that owns the cell. Its methods are safe for concurrent use.
type Cell struct {
	id         figseam.CellID
	owner      figseam.InstanceID
	states     figseam.EndpointStates
	canceller  Canceller
	workSignal chan struct{}

	// mu guards everything below.
	mu       sync.Mutex
	pool     figseam.Pool
	prefills []*prefillEngine
	decodes  []*decodeEngine
	grants   map[figseam.GrantID]*grant
	// requests maps a request to its latest grant, so that a caller that resends the
	// request can resume its stream.
	requests map[figseam.RequestID]*grant
	// awaitingDecode lists the grants without a decode engine, in the order in which
	// they receive one.
	awaitingDecode []*grant
	queue          jobQueue
	closed         bool
	// adoptionEnd is the time before which a new owner places no jobs, while the
	// holders announce their grants.
	adoptionEnd time.Time
	// orphanReports counts the consecutive load reports in which an engine listed an
	// attempt without a grant.
	orphanReports map[figseam.EndpointID]map[figseam.AttemptID]int
}

// NewCell returns a cell without engines. Until the adoption deadline it places no
// jobs, so that holders can first announce grants of the previous owner.
func NewCell(id figseam.CellID, owner figseam.InstanceID, states figseam.EndpointStates, canceller Canceller, adoption figseam.Deadline) *Cell {
	return &Cell{
		id: id, owner: owner, states: states, canceller: canceller,
		workSignal:    make(chan struct{}, 1),
		grants:        map[figseam.GrantID]*grant{},
		requests:      map[figseam.RequestID]*grant{},
		orphanReports: map[figseam.EndpointID]map[figseam.AttemptID]int{},
		adoptionEnd:   adoption.Time(),
	}
}

// Configure sets the pool and the engines. Retained engines keep their ledger;
// removed engines receive no new jobs.
func (c *Cell) Configure(pool figseam.Pool, endpoints []figseam.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool = pool
	var prefills []*prefillEngine
	var decodes []*decodeEngine
	for _, e := range endpoints {
		if e.Role == figseam.RolePrefill {
			prefills = append(prefills, c.prefillFor(e))
		} else {
			decodes = append(decodes, c.decodeFor(e))
		}
	}
	c.prefills, c.decodes = prefills, decodes
	c.dispatch()
}

// prefillFor returns the cell's engine of this name with the new settings, or a new one
// whose rates are those of the pool.
func (c *Cell) prefillFor(e figseam.Endpoint) *prefillEngine {
	if p := c.findPrefill(e.Name); p != nil {
		p.endpoint = e
		return p
	}
	return &prefillEngine{
		endpoint: e, prefillTokensPerSecond: c.pool.PrefillTokensPerSecond, transferTokensPerSecond: c.pool.TransferTokensPerSecond,
		cachedBlocks: map[uint64]struct{}{},
	}
}

// decodeFor returns the cell's engine of this name with its ledger resized, or a new one
// with an empty ledger.
func (c *Cell) decodeFor(e figseam.Endpoint) *decodeEngine {
	if d := c.findDecode(e.Name); d != nil {
		d.endpoint = e
		d.ledger.Resize(e.MemoryPieces, c.pool.Slots)
		return d
	}
	return &decodeEngine{endpoint: e, ledger: allocator.New(e.MemoryPieces, c.pool.Slots)}
}

func (c *Cell) findPrefill(id figseam.EndpointID) *prefillEngine {
	for _, p := range c.prefills {
		if p.endpoint.Name == id {
			return p
		}
	}
	return nil
}

func (c *Cell) findDecode(id figseam.EndpointID) *decodeEngine {
	for _, d := range c.decodes {
		if d.endpoint.Name == id {
			return d
		}
	}
	return nil
}

// Place queues the job and blocks until its prefill may start. The error is a
// [figseam.Refusal], the context's error, or errNotOwner if the cell has another owner.
// See [figseam.Placer].
func (c *Cell) Place(ctx context.Context, job figseam.Job) (figseam.Placement, error) {
	w, err := c.enqueue(job)
	if err != nil {
		return figseam.Placement{}, err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if c.dequeue(w) {
			return figseam.Placement{}, ctx.Err()
		}
	}
	switch {
	case w.redirected:
		return figseam.Placement{}, errNotOwner
	case w.refusal != nil:
		return figseam.Placement{}, w.refusal
	}
	return w.result, nil
}

// errNotOwner reports that the cell has another owner. On this error the job's holder
// looks up the owner again.
var errNotOwner = errors.New("cell has another owner")

// RedirectQueue fails all queued jobs with errNotOwner, so that their holders send them
// to the cell's new owner.
func (c *Cell) RedirectQueue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.redirectQueued()
}

// Close redirects all queued jobs, and every job that arrives later, to the cell's new
// owner.
func (c *Cell) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.redirectQueued()
}

// redirectQueued fails all queued jobs with errNotOwner. The caller holds the mutex.
func (c *Cell) redirectQueued() {
	for _, w := range c.queue {
		w.redirected = true
		close(w.done)
	}
	c.queue = nil
}

func (c *Cell) enqueue(job figseam.Job) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errNotOwner
	}
	now := time.Now()
	w := newWaiter(job, now)
	if g, ok := c.requests[job.Request]; ok && c.resumable(g, job) {
		w.place(c.resumeGrant(g, job))
		return w, nil
	}
	if len(c.availablePrefills(job, now)) == 0 || len(c.availableDecodes(job, now)) == 0 {
		return nil, figseam.NewRefusal(explainer.NoAvailableEngine, "pool %q has no engine of each role that takes work in %s", c.id.Pool, c.id.DataCentre).
			WithRetryAt(figseam.DeadlineAt(now.Add(suspendMillis * time.Millisecond)))
	}
	if r := c.deadlineRefusal(job, w.due, now); r != nil {
		return nil, r
	}
	c.queue.add(w)
	c.dispatch()
	return w, nil
}

// dequeue removes a waiter from the queue. It reports false if the waiter already has
// its result; the caller must then release the grant.
func (c *Cell) dequeue(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.remove(w)
}

// resumable reports whether the grant's stream is still running and may continue for
// this job. A retry must not resume the stream of its own failed attempt, whose cancel
// may not be confirmed yet.
func (c *Cell) resumable(g *grant, job figseam.Job) bool {
	return job.RetryCount == 0 && g.stage == figseam.JobStageDecoding && !g.cancelled && g.decode != nil &&
		c.states.State(g.decode.endpoint.Name) != figseam.EndpointDown
}

// resumeGrant moves the grant of a running stream to the instance through which its
// caller reconnected, which avoids a second prefill.
func (c *Cell) resumeGrant(g *grant, job figseam.Job) figseam.Placement {
	attempt := g.job.Attempt
	g.job.Holder = job.Holder
	g.leaseEnd = figseam.DeadlineAfterMillis(leaseMillis)
	p := c.placement(g, explainer.StreamResumed, nil)
	p.ResumeAttempt = attempt
	return p
}

// AssignDecode blocks until the grant has a decode engine and returns the placement with
// that engine. The error is a [figseam.Refusal] if the grant is unknown, or has no decode
// engine by heldUntil or the end of ctx. See [figseam.Placer].
func (c *Cell) AssignDecode(ctx context.Context, placement figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	assigned, err := c.decodeAssignment(placement)
	if err != nil {
		return figseam.Placement{}, err
	}
	ctx, cancel := heldUntil.Context(ctx)
	defer cancel()
	select {
	case <-assigned:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.grants[placement.Grant]
	if !ok || g.decode == nil {
		return figseam.Placement{}, figseam.NewRefusal(explainer.NoAvailableEngine, "no decode engine had room before the prefill result was dropped")
	}
	return placement.WithDecode(g.decode.endpoint.Name), nil
}

// decodeAssignment returns a channel that is closed when the grant has a decode engine.
// A placement that names the current decode engine requests another one.
func (c *Cell) decodeAssignment(placement figseam.Placement) (<-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.grants[placement.Grant]
	if !ok {
		return nil, figseam.NewRefusal(explainer.OwnerUnavailable, "grant is not known to the ledger")
	}
	if g.decode != nil && g.decode.endpoint.Name == placement.Decode {
		c.unassignDecode(g)
		c.dispatch()
	}
	return g.decodeAssigned, nil
}

// unassignDecode releases a failed decode engine from the grant and puts the grant first
// in awaitingDecode. The engine is not recorded as failed here: only the result on
// another decode engine shows whether it or the prefill engine is at fault.
func (c *Cell) unassignDecode(g *grant) {
	g.decode.ledger.Release(g.id)
	g.job.ExcludedEndpoints = append(slices.Clone(g.job.ExcludedEndpoints), g.decode.endpoint.Name)
	g.decode = nil
	g.decodeAssigned = make(chan struct{})
	c.awaitingDecode = append([]*grant{g}, c.awaitingDecode...)
}

// ReportProgress records the progress of a job. See [figseam.Placer].
func (c *Cell) ReportProgress(p figseam.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.grants[p.Grant]
	if !ok {
		return
	}
	now := time.Now()
	c.recordFailure(p.FailedEndpoint, now)
	g.outputTokens = max(g.outputTokens, p.OutputTokens)
	if p.Stage > g.stage {
		c.advanceStage(g, p.Stage, now)
	}
	c.dispatch()
}

// recordFailure suspends the engine with this name, if the cell has it.
func (c *Cell) recordFailure(id figseam.EndpointID, now time.Time) {
	if p := c.findPrefill(id); p != nil {
		p.recordFailure(now)
	}
	if d := c.findDecode(id); d != nil {
		d.recordFailure(now)
	}
}

// advanceStage moves the grant to a later stage, updates the engines' estimates, and
// releases the grant at its end.
func (c *Cell) advanceStage(g *grant, stage figseam.JobStage, now time.Time) {
	if g.stage == figseam.JobStagePrefilling {
		c.endPrefill(g, stage, now)
	}
	if stage >= figseam.JobStageDecoding {
		g.markFirstToken()
	}
	previousStart := g.stageStart
	g.stage, g.stageStart = stage, now
	g.expectedEnd = now.Add(c.decodeTime(g.job))
	switch stage {
	case figseam.JobStageDecoding:
		if g.prefill != nil {
			g.prefill.recordSuccess()
			g.prefill.observeTransfer(g.job.PromptTokens, now.Sub(previousStart))
		}
		if g.decode != nil {
			g.decode.recordSuccess()
		}
	case figseam.JobStageEnded:
		c.release(g)
	}
}

// endPrefill updates the prefill engine's estimates with the measured prefill.
func (c *Cell) endPrefill(g *grant, stage figseam.JobStage, now time.Time) {
	if !g.prefilling || g.prefill == nil {
		return
	}
	g.prefilling = false
	p := g.prefill
	p.running--
	if stage == figseam.JobStagePrefilled && g.job.PromptTokens > 0 {
		p.observePrefill(g.job.PromptTokens-p.cachedTokens(g.job), now.Sub(g.stageStart))
		p.addCachedBlocks(g.job)
	}
	if p.running == 0 {
		p.idleAt = now
	}
}

// decodeTime returns the expected duration of the job's answer.
func (c *Cell) decodeTime(job figseam.Job) time.Duration {
	return millis(float64(job.OutputTokens) * c.pool.DecodeStepMillis)
}

// markFirstToken removes the grant from the awaitingFirstToken count of its prefill engine.
func (g *grant) markFirstToken() {
	if g.awaitingFirstToken && g.prefill != nil {
		g.awaitingFirstToken = false
		g.prefill.awaitingFirstToken--
	}
}

// release frees the memory that a grant reserves in the ledger and deletes the grant.
func (c *Cell) release(g *grant) {
	g.markFirstToken()
	if g.decode != nil {
		g.decode.ledger.Release(g.id)
	}
	c.awaitingDecode = slices.DeleteFunc(c.awaitingDecode, func(other *grant) bool { return other == g })
	delete(c.grants, g.id)
	if c.requests[g.job.Request] == g {
		delete(c.requests, g.job.Request)
	}
}

func (c *Cell) placement(g *grant, code figseam.Code, scores []figseam.Score) figseam.Placement {
	p := figseam.Placement{Grant: g.id, Cell: c.id, Owner: c.owner, Code: code, Scores: scores}
	if g.prefill != nil {
		p.Prefill = g.prefill.endpoint.Name
	}
	if g.decode != nil {
		p.Decode = g.decode.endpoint.Name
	}
	return p
}

func newGrantID() figseam.GrantID { return figseam.GrantID(uuid.NewString()) }
