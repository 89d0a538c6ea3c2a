package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

const (
	// maxScannedJobs bounds the queued jobs that one dispatch examines.
	maxScannedJobs = 32
	// dispatchIntervalMillis is the interval between dispatches while jobs wait.
	dispatchIntervalMillis = 10
	// overrunFraction is the assumed remaining time of an answer that exceeds its
	// expected length, as a fraction of the expected decode time.
	overrunFraction = 0.15
	// lateMarginMillis is the safety margin that is added to the predicted first token of
	// a new job and to the retry time of a refusal.
	lateMarginMillis = 60
	// maxLoggedScores bounds the prefill engines whose scores are logged.
	maxLoggedScores = 4
)

// Run dispatches queued jobs at fixed intervals until ctx ends. The returned channel is
// closed after the last dispatch.
func (c *Cell) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(dispatchIntervalMillis * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-c.workSignal:
			}
			c.dispatchUntilEmpty(ctx, ticker)
		}
	}()
	return done
}

// dispatchUntilEmpty dispatches at every tick until no job is queued and every grant has
// a decode engine.
func (c *Cell) dispatchUntilEmpty(ctx context.Context, ticker *time.Ticker) {
	for c.dispatchOnce() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dispatchOnce dispatches and reports whether jobs or grants still wait.
func (c *Cell) dispatchOnce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch()
	return len(c.queue) > 0 || len(c.awaitingDecode) > 0
}

// dispatch assigns free memory to the grants in awaitingDecode, then places queued jobs
// in order of due time. The caller holds the mutex.
func (c *Cell) dispatch() {
	now := time.Now()
	c.assignAwaitingDecode(now)
	if !now.Before(c.adoptionEnd) {
		c.placeQueued(now)
	}
	if len(c.queue) > 0 || len(c.awaitingDecode) > 0 {
		c.signalWork()
	}
}

// placeQueued examines up to maxScannedJobs queued jobs and removes those that are placed
// or refused. It stops at a job that blocks all later ones.
func (c *Cell) placeQueued(now time.Time) {
	scanned := 0
	for i := 0; i < len(c.queue) && scanned < maxScannedJobs; scanned++ {
		w := c.queue[i]
		settled, blocked := c.tryPlace(w, now)
		if blocked {
			break
		}
		if !settled {
			i++
			continue
		}
		c.queue = append(c.queue[:i], c.queue[i+1:]...)
	}
}

// signalWork requests dispatches by Run unless a request is already pending.
func (c *Cell) signalWork() {
	select {
	case c.workSignal <- struct{}{}:
	default:
	}
}

// assignAwaitingDecode assigns a decode engine with free memory to each grant in
// awaitingDecode that fits, in order.
func (c *Cell) assignAwaitingDecode(now time.Time) {
	remaining := c.awaitingDecode[:0]
	for _, g := range c.awaitingDecode {
		d := c.leastLoadedDecode(g.job, g.pieces, now)
		if d == nil {
			remaining = append(remaining, g)
			continue
		}
		d.ledger.Reserve(g.id, g.pieces)
		g.decode = d
		close(g.decodeAssigned)
	}
	c.awaitingDecode = remaining
}

// tryPlace places or refuses a queued job if it can. settled reports whether the job has
// its result, blocked that no later job can be placed either.
func (c *Cell) tryPlace(w *waiter, now time.Time) (settled, blocked bool) {
	prefills := c.availablePrefills(w.job, now)
	if len(prefills) == 0 || len(c.availableDecodes(w.job, now)) == 0 {
		if w.job.Refusable() && w.due.Before(now) {
			w.refuse(figseam.NewRefusal(explainer.NoAvailableEngine, "no engine took work before the first token was due"))
			return true, false
		}
		return false, false
	}
	p, scores := c.earliestTransfer(prefills, w.job, now)
	prefillEnd := p.prefillEnd(w.job, now)
	if firstToken := prefillEnd.Add(c.firstTokenDelay(w.job, p)); w.job.Refusable() && firstToken.After(w.job.FirstTokenDeadline.Time()) {
		w.refuse(c.lateRefusal(w.job, firstToken))
		return true, false
	}
	if !p.startable(now) {
		return false, false
	}
	pieces := c.requiredPieces(w.job)
	d := c.leastLoadedDecode(w.job, pieces, now)
	code := explainer.PlacedOnFreeMemory
	if d == nil || len(c.awaitingDecode) > 0 {
		if !c.releaseExpected(prefillEnd) {
			return false, true
		}
		d, code = nil, explainer.PlacedBeforeRelease
	}
	g := c.startJob(w.job, p, d, pieces, now)
	w.place(c.placement(g, code, scores))
	return true, false
}

// startJob creates the grant and reserves the prefill engine. If d is nil, the grant
// waits for a decode engine.
func (c *Cell) startJob(job figseam.Job, p *prefillEngine, d *decodeEngine, pieces int, now time.Time) *grant {
	g := &grant{
		id: newGrantID(), job: job, prefill: p, decode: d, pieces: pieces,
		stage: figseam.JobStagePrefilling, stageStart: later(p.idleAt, now), prefilling: true, awaitingFirstToken: true,
		decodeAssigned: make(chan struct{}), leaseEnd: figseam.DeadlineAfterMillis(leaseMillis),
	}
	p.idleAt = p.prefillEnd(job, now)
	p.running++
	p.awaitingFirstToken++
	g.expectedEnd = p.idleAt.Add(c.firstTokenDelay(job, p) + c.decodeTime(job))
	if d != nil {
		d.ledger.Reserve(g.id, pieces)
		close(g.decodeAssigned)
	} else {
		c.awaitingDecode = append(c.awaitingDecode, g)
	}
	c.grants[g.id] = g
	c.requests[job.Request] = g
	return g
}

// requiredPieces returns the number of memory pieces that the job's prompt and expected
// answer occupy.
func (c *Cell) requiredPieces(job figseam.Job) int {
	tokens := job.PromptTokens + job.OutputTokens
	return max(1, (tokens+c.pool.PieceTokens-1)/max(1, c.pool.PieceTokens))
}

// firstTokenDelay returns the predicted time from the end of a prefill to the first
// token: the transfer and one decode step.
func (c *Cell) firstTokenDelay(job figseam.Job, p *prefillEngine) time.Duration {
	return p.transferTime(job) + millis(c.pool.DecodeStepMillis)
}

// earliestTransfer returns the prefill engine with the earliest predicted end of the
// job's prefill and transfer, and the scores of the first maxLoggedScores engines.
func (c *Cell) earliestTransfer(prefills []*prefillEngine, job figseam.Job, now time.Time) (*prefillEngine, []figseam.Score) {
	best := prefills[0]
	bestEnd := best.transferEnd(job, now)
	scores := make([]figseam.Score, 0, maxLoggedScores)
	for _, p := range prefills {
		end := p.transferEnd(job, now)
		if len(scores) < maxLoggedScores {
			scores = append(scores, figseam.Score{Endpoint: p.endpoint.Name, CostMillis: float64(end.Sub(now).Microseconds()) / 1000})
		}
		if end.Before(bestEnd) {
			best, bestEnd = p, end
		}
	}
	return best, scores
}

// leastLoadedDecode returns the decode engine with the fewest grants among those with
// enough free memory, or nil if there is none.
func (c *Cell) leastLoadedDecode(job figseam.Job, pieces int, now time.Time) *decodeEngine {
	var best *decodeEngine
	for _, d := range c.availableDecodes(job, now) {
		if !d.ledger.Fits(pieces) {
			continue
		}
		if best == nil || d.ledger.GrantCount() < best.ledger.GrantCount() {
			best = d
		}
	}
	return best
}

// releaseExpected reports whether decode memory for one more job is predicted to be
// released in time: after the releases that the grants in awaitingDecode need, and at
// most early_start times the lifetime of a prefill result after prefillEnd.
func (c *Cell) releaseExpected(prefillEnd time.Time) bool {
	slackMillis := c.pool.EarlyStart * float64(c.pool.PrefillResultTTLMillis)
	if c.pool.EarlyStart == 0 {
		return false
	}
	return !c.predictedRelease(len(c.awaitingDecode)).After(prefillEnd.Add(millis(slackMillis)))
}

// predictedRelease returns the predicted time of the n-th release from now, counted from
// 0. If there are no more than n grants with a decode engine, it assumes that their
// sequence of releases repeats.
func (c *Cell) predictedRelease(n int) time.Time {
	now := time.Now()
	var ends []time.Time
	for _, g := range c.grants {
		if g.decode != nil {
			ends = append(ends, c.predictedEnd(g, now))
		}
	}
	if len(ends) == 0 {
		return now
	}
	slices.SortFunc(ends, time.Time.Compare)
	if n < len(ends) {
		return ends[n]
	}
	rounds := n / len(ends)
	span := ends[len(ends)-1].Sub(now)
	return ends[n%len(ends)].Add(span * time.Duration(rounds))
}

// predictedEnd returns the expected end of the grant's answer, or a new estimate from
// overrunFraction if that time has passed.
func (c *Cell) predictedEnd(g *grant, now time.Time) time.Time {
	if g.expectedEnd.After(now) {
		return g.expectedEnd
	}
	return now.Add(time.Duration(overrunFraction * float64(c.decodeTime(g.job))))
}

// deadlineRefusal returns a refusal if the first token of a new job is predicted after
// its deadline, and nil otherwise. The caller holds the mutex.
func (c *Cell) deadlineRefusal(job figseam.Job, due, now time.Time) *figseam.Refusal {
	if !job.Refusable() {
		return nil
	}
	ahead := c.queue.countDueBefore(due)
	firstToken := c.predictFirstToken(job, ahead, now)
	if !firstToken.After(job.FirstTokenDeadline.Time()) {
		return nil
	}
	return c.lateRefusal(job, firstToken)
}

// lateRefusal returns a refusal whose retry time allows for the predicted lateness and a
// margin.
func (c *Cell) lateRefusal(job figseam.Job, firstToken time.Time) *figseam.Refusal {
	late := firstToken.Sub(job.FirstTokenDeadline.Time())
	return figseam.NewRefusal(explainer.DeadlineUnattainable, "first token predicted %d ms after its deadline", late.Milliseconds()).
		WithRetryAt(figseam.DeadlineAt(time.Now().Add(late + lateMarginMillis*time.Millisecond)))
}

// predictFirstToken returns the predicted time of the job's first token if ahead jobs
// precede it in the queue. At least one prefill engine must be available.
func (c *Cell) predictFirstToken(job figseam.Job, ahead int, now time.Time) time.Time {
	prefills := c.availablePrefills(job, now)
	var backlog time.Duration
	for _, p := range prefills {
		backlog += later(p.idleAt, now).Sub(now)
	}
	best, _ := c.earliestTransfer(prefills, job, now)
	for _, w := range c.queue[:ahead] {
		backlog += best.prefillTime(w.job)
	}
	prefillStart := now.Add(backlog / time.Duration(len(prefills)))
	prefillTime := best.prefillTime(job)
	if ahead == 0 {
		prefillStart = later(best.idleAt, now)
	}
	prefillEnd := prefillStart.Add(prefillTime)
	decodeFree := now
	if n := ahead + len(c.awaitingDecode) - c.freeSlots(job, now); n >= 0 {
		decodeFree = c.predictedRelease(n)
	}
	return later(prefillEnd, decodeFree).Add(c.firstTokenDelay(job, best) + lateMarginMillis*time.Millisecond)
}

// freeSlots returns the number of jobs of this size that fit into the free decode memory.
func (c *Cell) freeSlots(job figseam.Job, now time.Time) int {
	n, pieces := 0, c.requiredPieces(job)
	for _, d := range c.availableDecodes(job, now) {
		n += d.ledger.MaxNewGrants(pieces)
	}
	return n
}

func (c *Cell) availablePrefills(job figseam.Job, now time.Time) []*prefillEngine {
	available := make([]*prefillEngine, 0, len(c.prefills))
	for _, p := range c.prefills {
		if c.acceptsJob(p.endpoint.Name, p.suspendedUntil, job, now) && !p.probeInFlight() {
			available = append(available, p)
		}
	}
	return available
}

func (c *Cell) availableDecodes(job figseam.Job, now time.Time) []*decodeEngine {
	available := make([]*decodeEngine, 0, len(c.decodes))
	for _, d := range c.decodes {
		if c.acceptsJob(d.endpoint.Name, d.suspendedUntil, job, now) {
			available = append(available, d)
		}
	}
	return available
}

// acceptsJob reports whether an engine is live, not suspended and not excluded by the
// job. Exclusions are ignored in a cell of at most two engines, which has no
// alternative.
func (c *Cell) acceptsJob(id figseam.EndpointID, suspendedUntil time.Time, job figseam.Job, now time.Time) bool {
	if now.Before(suspendedUntil) || c.states.State(id) != figseam.EndpointLive {
		return false
	}
	return !slices.Contains(job.ExcludedEndpoints, id) || len(c.prefills)+len(c.decodes) <= 2
}

// Load is a snapshot of a cell's queue, grants and decode memory.
type Load struct {
	QueuedJobs  int
	FreePieces  int
	TotalPieces int
	Grants      int
	// AwaitingDecode is the number of grants without a decode engine.
	AwaitingDecode int
}

// Load returns the cell's current load.
func (c *Cell) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Load{QueuedJobs: len(c.queue), Grants: len(c.grants), AwaitingDecode: len(c.awaitingDecode)}
	for _, d := range c.decodes {
		l.TotalPieces += d.ledger.TotalPieces()
		l.FreePieces += max(0, d.ledger.TotalPieces()-d.ledger.UsedPieces())
	}
	return l
}

// sortedGrants returns the grants ordered by identifier.
func (c *Cell) sortedGrants() []*grant {
	all := make([]*grant, 0, len(c.grants))
	for _, g := range c.grants {
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b *grant) int { return cmp.Compare(a.id, b.id) })
	return all
}
