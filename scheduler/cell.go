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

// Canceller frees what an engine holds for an attempt.
type Canceller interface {
	// Cancel tells the endpoint to free the attempt until it confirms, then
	// calls confirmed, which may be nil.
	Cancel(endpoint figseam.Endpoint, attempt figseam.AttemptID, confirmed func())
}

// grant is a job that was given engines. The cell's mutex guards it.
type grant struct {
	id      figseam.GrantID
	job     figseam.Job
	prefill *prefillEngine
	// decode is nil while the place for decode is only promised.
	decode  *decodeEngine
	pieces  int
	stage   figseam.JobStage
	tokens  int
	began   time.Time // start of the present stage
	endsAt  time.Time // predicted end of the prefill, then of the answer
	counted bool      // counted in prefill.running
	// starting is set while the grant is counted in prefill.unproven.
	starting bool
	// seated is closed when decode is set for a promised grant.
	seated chan struct{}
	// leaseEnd is when the grant is given up unless its holder renews it.
	leaseEnd  figseam.Deadline
	cancelled bool
	// unknown marks memory found on an engine that no holder announced.
	unknown bool
}

// Cell is the owner's side of a group of engines: ledger and queue. Its methods
// are safe for concurrent use.
type Cell struct {
	id        figseam.CellID
	owner     figseam.InstanceID
	states    figseam.EndpointStates
	canceller Canceller
	wake      chan struct{}

	// mu guards everything below.
	mu       sync.Mutex
	pool     figseam.Pool
	prefills []*prefillEngine
	decodes  []*decodeEngine
	grants   map[figseam.GrantID]*grant
	// requests finds a grant by its request, for a caller who comes back.
	requests map[figseam.RequestID]*grant
	promised []*grant
	queue    jobQueue
	closed   bool
	// holdBackTo is until when a new owner gives no grants, while holders
	// announce what they have.
	holdBackTo time.Time
	// sightings counts in how many reports running an engine listed an attempt
	// that no grant covers.
	sightings map[figseam.EndpointID]map[figseam.AttemptID]int
}

// NewCell returns a cell without engines. Until the adoption deadline it places
// nothing, so that holders can announce grants of an earlier owner.
func NewCell(id figseam.CellID, owner figseam.InstanceID, states figseam.EndpointStates, canceller Canceller, adoption figseam.Deadline) *Cell {
	return &Cell{
		id: id, owner: owner, states: states, canceller: canceller,
		wake:       make(chan struct{}, 1),
		grants:     map[figseam.GrantID]*grant{},
		requests:   map[figseam.RequestID]*grant{},
		sightings:  map[figseam.EndpointID]map[figseam.AttemptID]int{},
		holdBackTo: adoption.Time(),
	}
}

// Configure sets the pool and the engines. Engines that stay keep their ledger;
// those that go get no new jobs.
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

func (c *Cell) prefillFor(e figseam.Endpoint) *prefillEngine {
	if p := c.findPrefill(e.Name); p != nil {
		p.endpoint = e
		return p
	}
	return &prefillEngine{
		endpoint: e, speed: c.pool.PrefillTokensPerSecond, link: c.pool.TransferTokensPerSecond,
		blocks: map[uint64]struct{}{},
	}
}

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

// Place queues the job until its prefill may start. See [figseam.Placer].
func (c *Cell) Place(ctx context.Context, job figseam.Job) (figseam.Placement, error) {
	w, err := c.enqueue(job)
	if err != nil {
		return figseam.Placement{}, err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if c.abandon(w) {
			return figseam.Placement{}, ctx.Err()
		}
	}
	switch {
	case w.moved:
		return figseam.Placement{}, errMoved
	case w.refusal != nil:
		return figseam.Placement{}, w.refusal
	}
	return w.result, nil
}

// errMoved tells a job's holder to ask the cell's next owner.
var errMoved = errors.New("cell has another owner")

// RedirectQueue sends the waiting jobs to the cell's next owner.
func (c *Cell) RedirectQueue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendOn()
}

// Close hands the cell over and sends on every job that still comes.
func (c *Cell) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.sendOn()
}

func (c *Cell) sendOn() {
	for _, w := range c.queue {
		w.moved = true
		close(w.done)
	}
	c.queue = nil
}

func (c *Cell) enqueue(job figseam.Job) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errMoved
	}
	now := time.Now()
	w := newWaiter(job, now)
	if g, ok := c.requests[job.Request]; ok && c.resumable(g, job) {
		w.place(c.takeOver(g, job))
		return w, nil
	}
	if len(c.livePrefills(job, now)) == 0 || len(c.liveDecodes(job, now)) == 0 {
		return nil, figseam.NewRefusal(explainer.NoAvailableEngine, "pool %q has no engine of each role that takes work in %s", c.id.Pool, c.id.DataCentre).
			WithRetryAt(figseam.DeadlineAt(now.Add(suspendMillis * time.Millisecond)))
	}
	if r := c.refuseLate(job, w.due, now); r != nil {
		return nil, r
	}
	c.queue.add(w)
	c.dispatch()
	return w, nil
}

// abandon takes a waiter out of the queue. It reports false when the waiter got
// its result at the same moment; the caller then has a grant to give back.
func (c *Cell) abandon(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.remove(w)
}

// resumable reports whether a job's stream still runs and may be taken over. The
// next attempt of a request that failed must not go back to its own old stream,
// whose cancel may not be confirmed yet.
func (c *Cell) resumable(g *grant, job figseam.Job) bool {
	return job.RetryCount == 0 && g.stage == figseam.JobStageDecoding && !g.cancelled && g.decode != nil &&
		c.states.State(g.decode.endpoint.Name) != figseam.EndpointDown
}

// takeOver hands a running stream to a caller who came back through another
// instance, in place of a second prefill.
func (c *Cell) takeOver(g *grant, job figseam.Job) figseam.Placement {
	attempt := g.job.Attempt
	g.job.Holder = job.Holder
	g.leaseEnd = figseam.DeadlineAfterMillis(leaseMillis)
	p := c.placement(g, explainer.StreamResumed, nil)
	p.ResumeAttempt = attempt
	return p
}

// AssignDecode returns the decode engine of a grant, waiting for a promised one. See
// [figseam.Placer].
func (c *Cell) AssignDecode(ctx context.Context, placement figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	seated, err := c.awaitSeat(placement)
	if err != nil {
		return figseam.Placement{}, err
	}
	ctx, cancel := heldUntil.Context(ctx)
	defer cancel()
	select {
	case <-seated:
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

func (c *Cell) awaitSeat(placement figseam.Placement) (<-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.grants[placement.Grant]
	if !ok {
		return nil, figseam.NewRefusal(explainer.OwnerUnavailable, "grant is not known to the ledger")
	}
	if g.decode != nil && g.decode.endpoint.Name == placement.Decode {
		c.unseat(g)
		c.dispatch()
	}
	return g.seated, nil
}

// unseat takes a job off a decode engine that failed it and promises it another.
// Whether that engine or the prefill engine is at fault shows only later.
func (c *Cell) unseat(g *grant) {
	g.decode.ledger.Release(g.id)
	g.job.ExcludedEndpoints = append(slices.Clone(g.job.ExcludedEndpoints), g.decode.endpoint.Name)
	g.decode = nil
	g.seated = make(chan struct{})
	c.promised = append([]*grant{g}, c.promised...)
}

// Report notes how far a job has come. See [figseam.Placer].
func (c *Cell) Report(p figseam.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.grants[p.Grant]
	if !ok {
		return
	}
	now := time.Now()
	c.suspect(p.FailedEndpoint, now)
	g.tokens = max(g.tokens, p.OutputTokens)
	if p.Stage > g.stage {
		c.advance(g, p.Stage, now)
	}
	c.dispatch()
}

func (c *Cell) suspect(id figseam.EndpointID, now time.Time) {
	if p := c.findPrefill(id); p != nil {
		p.fail(now)
	}
	if d := c.findDecode(id); d != nil {
		d.fail(now)
	}
}

func (c *Cell) advance(g *grant, stage figseam.JobStage, now time.Time) {
	if g.stage == figseam.JobStagePrefilling {
		c.endPrefill(g, stage, now)
	}
	if stage >= figseam.JobStageDecoding {
		g.prove()
	}
	began := g.began
	g.stage, g.began = stage, now
	g.endsAt = now.Add(c.answerTime(g.job))
	switch stage {
	case figseam.JobStageDecoding:
		if g.prefill != nil {
			g.prefill.succeed()
			g.prefill.observeLink(g.job.PromptTokens, now.Sub(began))
		}
		if g.decode != nil {
			g.decode.succeed()
		}
	case figseam.JobStageEnded:
		c.free(g)
	}
}

// endPrefill corrects the prefill engine's prediction by what happened.
func (c *Cell) endPrefill(g *grant, stage figseam.JobStage, now time.Time) {
	if !g.counted || g.prefill == nil {
		return
	}
	g.counted = false
	p := g.prefill
	p.running--
	if stage == figseam.JobStagePrefilled && g.job.PromptTokens > 0 {
		p.observe(g.job.PromptTokens-p.cached(g.job), now.Sub(g.began))
		p.remember(g.job)
	}
	if p.running == 0 {
		p.freeAt = now
	}
}

func (c *Cell) answerTime(job figseam.Job) time.Duration {
	return millis(float64(job.OutputTokens) * c.pool.DecodeStepMillis)
}

// prove ends the wait for the job's answer to begin.
func (g *grant) prove() {
	if g.starting && g.prefill != nil {
		g.starting = false
		g.prefill.unproven--
	}
}

// free gives back everything that a grant holds.
func (c *Cell) free(g *grant) {
	g.prove()
	if g.decode != nil {
		g.decode.ledger.Release(g.id)
	}
	c.promised = slices.DeleteFunc(c.promised, func(o *grant) bool { return o == g })
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
