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
	// dispatchDepth bounds how many waiting jobs one pass looks at.
	dispatchDepth = 32
	// tickMillis is how often a cell looks at its queue without an event.
	tickMillis = 10
	// overdueShare is the part of its expected length that an answer is assumed
	// to go on for when it has outrun the expectation.
	overdueShare = 0.15
	// lateMarginMillis is kept between a predicted first token and its deadline.
	lateMarginMillis = 60
	// maxScores bounds the alternatives kept for the log line.
	maxScores = 4
)

// Run looks at the queue at fixed intervals, until ctx ends. It returns a
// channel that is closed at the end.
func (c *Cell) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(tickMillis * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-c.wake:
			}
			c.drainQueue(ctx, ticker)
		}
	}()
	return done
}

// drainQueue dispatches at every tick until nothing waits. An idle cell sleeps.
func (c *Cell) drainQueue(ctx context.Context, ticker *time.Ticker) {
	for c.pass() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Cell) pass() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch()
	return len(c.queue) > 0 || len(c.promised) > 0
}

// dispatch gives free memory to promised jobs, then places waiting jobs in the
// order in which they are due. The caller holds the mutex.
func (c *Cell) dispatch() {
	now := time.Now()
	c.seatPromised(now)
	if !now.Before(c.holdBackTo) {
		c.placeWaiting(now)
	}
	if len(c.queue) > 0 || len(c.promised) > 0 {
		c.wakeLater()
	}
}

func (c *Cell) placeWaiting(now time.Time) {
	looked := 0
	for i := 0; i < len(c.queue) && looked < dispatchDepth; looked++ {
		w := c.queue[i]
		placed, blocked := c.tryPlace(w, now)
		if blocked {
			break
		}
		if !placed {
			i++
			continue
		}
		c.queue = append(c.queue[:i], c.queue[i+1:]...)
	}
}

func (c *Cell) wakeLater() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// seatPromised gives free memory to jobs that were started ahead of a release,
// those whose prefill ends first before the others.
func (c *Cell) seatPromised(now time.Time) {
	kept := c.promised[:0]
	for _, g := range c.promised {
		d := c.roomiest(g.job, g.pieces, now)
		if d == nil {
			kept = append(kept, g)
			continue
		}
		d.ledger.Reserve(g.id, g.pieces)
		g.decode = d
		close(g.seated)
	}
	c.promised = kept
}

// tryPlace settles one waiting job if it can. blocked means that no later job
// can be placed either.
func (c *Cell) tryPlace(w *waiter, now time.Time) (settled, blocked bool) {
	prefills := c.livePrefills(w.job, now)
	if len(prefills) == 0 || len(c.liveDecodes(w.job, now)) == 0 {
		if w.job.Refusable() && w.due.Before(now) {
			w.refuse(figseam.NewRefusal(explainer.NoAvailableEngine, "no engine took work before the first token was due"))
			return true, false
		}
		return false, false
	}
	p, scores := c.quickest(prefills, w.job, now)
	end := p.endIfStarted(w.job, now)
	if first := end.Add(c.afterPrefill(w.job, p)); w.job.Refusable() && first.After(w.job.FirstTokenDeadline.Time()) {
		w.refuse(c.lateRefusal(w.job, first))
		return true, false
	}
	if !p.startable(now) {
		return false, false
	}
	pieces := c.need(w.job)
	d := c.roomiest(w.job, pieces, now)
	code := explainer.PlacedOnFreeMemory
	if d == nil || len(c.promised) > 0 {
		if !c.releaseComes(end) {
			return false, true
		}
		d, code = nil, explainer.PlacedBeforeRelease
	}
	g := c.start(w.job, p, d, pieces, now)
	w.place(c.placement(g, code, scores))
	return true, false
}

// start makes the grant and books the prefill engine.
func (c *Cell) start(job figseam.Job, p *prefillEngine, d *decodeEngine, pieces int, now time.Time) *grant {
	g := &grant{
		id: newGrantID(), job: job, prefill: p, decode: d, pieces: pieces,
		stage: figseam.JobStagePrefilling, began: later(p.freeAt, now), counted: true, starting: true,
		seated: make(chan struct{}), leaseEnd: figseam.DeadlineAfterMillis(leaseMillis),
	}
	p.freeAt = p.endIfStarted(job, now)
	p.running++
	p.unproven++
	g.endsAt = p.freeAt.Add(c.afterPrefill(job, p) + c.answerTime(job))
	if d != nil {
		d.ledger.Reserve(g.id, pieces)
		close(g.seated)
	} else {
		c.promised = append(c.promised, g)
	}
	c.grants[g.id] = g
	c.requests[job.Request] = g
	return g
}

// need returns the pieces to reserve for a job.
func (c *Cell) need(job figseam.Job) int {
	tokens := job.PromptTokens + job.OutputTokens
	return max(1, (tokens+c.pool.PieceTokens-1)/max(1, c.pool.PieceTokens))
}

// afterPrefill is the predicted time from the end of a prefill to the first
// token: the transfer and one step.
func (c *Cell) afterPrefill(job figseam.Job, p *prefillEngine) time.Duration {
	return p.transfer(job) + millis(c.pool.DecodeStepMillis)
}

// quickest returns the engine from which a decode engine would have the job's
// prompt first.
func (c *Cell) quickest(prefills []*prefillEngine, job figseam.Job, now time.Time) (*prefillEngine, []figseam.Score) {
	best := prefills[0]
	bestEnd := best.readyIfStarted(job, now)
	scores := make([]figseam.Score, 0, maxScores)
	for _, p := range prefills {
		end := p.readyIfStarted(job, now)
		if len(scores) < maxScores {
			scores = append(scores, figseam.Score{Endpoint: p.endpoint.Name, CostMillis: float64(end.Sub(now).Microseconds()) / 1000})
		}
		if end.Before(bestEnd) {
			best, bestEnd = p, end
		}
	}
	return best, scores
}

// roomiest returns the decode engine with the fewest grants that has room.
func (c *Cell) roomiest(job figseam.Job, pieces int, now time.Time) *decodeEngine {
	var best *decodeEngine
	for _, d := range c.liveDecodes(job, now) {
		if !d.ledger.Fits(pieces) {
			continue
		}
		if best == nil || d.ledger.GrantCount() < best.ledger.GrantCount() {
			best = d
		}
	}
	return best
}

// releaseComes reports whether, beside those promised already, one more release
// is predicted in time for a prefill that ends at end.
func (c *Cell) releaseComes(end time.Time) bool {
	slack := c.pool.EarlyStart * float64(c.pool.PrefillResultTTLMillis)
	if c.pool.EarlyStart == 0 {
		return false
	}
	return !c.release(len(c.promised)).After(end.Add(millis(slack)))
}

// release returns when the n-th next release (from 0) is predicted.
func (c *Cell) release(n int) time.Time {
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

func (c *Cell) predictedEnd(g *grant, now time.Time) time.Time {
	if g.endsAt.After(now) {
		return g.endsAt
	}
	return now.Add(time.Duration(overdueShare * float64(c.answerTime(g.job))))
}

// refuseLate predicts a new job's first token and refuses the job when it would
// come too late. The caller holds the mutex.
func (c *Cell) refuseLate(job figseam.Job, due, now time.Time) *figseam.Refusal {
	if !job.Refusable() {
		return nil
	}
	ahead := c.queue.position(due)
	first := c.predictFirst(job, ahead, now)
	if !first.After(job.FirstTokenDeadline.Time()) {
		return nil
	}
	return c.lateRefusal(job, first)
}

func (c *Cell) lateRefusal(job figseam.Job, first time.Time) *figseam.Refusal {
	late := first.Sub(job.FirstTokenDeadline.Time())
	return figseam.NewRefusal(explainer.DeadlineUnattainable, "first token predicted %d ms after its deadline", late.Milliseconds()).
		WithRetryAt(figseam.DeadlineAt(time.Now().Add(late + lateMarginMillis*time.Millisecond)))
}

// predictFirst predicts the first token of a job with a number of jobs ahead.
func (c *Cell) predictFirst(job figseam.Job, ahead int, now time.Time) time.Time {
	prefills := c.livePrefills(job, now)
	var backlog time.Duration
	for _, p := range prefills {
		backlog += later(p.freeAt, now).Sub(now)
	}
	best, _ := c.quickest(prefills, job, now)
	for _, w := range c.queue[:ahead] {
		backlog += best.work(w.job)
	}
	start := now.Add(backlog / time.Duration(len(prefills)))
	own := best.work(job)
	if ahead == 0 {
		start = later(best.freeAt, now)
	}
	end := start.Add(own)
	seat := now
	if n := ahead + len(c.promised) - c.freeSlots(job, now); n >= 0 {
		seat = c.release(n)
	}
	return later(end, seat).Add(c.afterPrefill(job, best) + lateMarginMillis*time.Millisecond)
}

func (c *Cell) freeSlots(job figseam.Job, now time.Time) int {
	n, pieces := 0, c.need(job)
	for _, d := range c.liveDecodes(job, now) {
		n += d.ledger.MaxNewGrants(pieces)
	}
	return n
}

func (c *Cell) livePrefills(job figseam.Job, now time.Time) []*prefillEngine {
	live := make([]*prefillEngine, 0, len(c.prefills))
	for _, p := range c.prefills {
		if c.takesWork(p.endpoint.Name, p.suspendedTo, job, now) && !p.onTrial() {
			live = append(live, p)
		}
	}
	return live
}

func (c *Cell) liveDecodes(job figseam.Job, now time.Time) []*decodeEngine {
	live := make([]*decodeEngine, 0, len(c.decodes))
	for _, d := range c.decodes {
		if c.takesWork(d.endpoint.Name, d.suspendedTo, job, now) {
			live = append(live, d)
		}
	}
	return live
}

func (c *Cell) takesWork(id figseam.EndpointID, suspendedTo time.Time, job figseam.Job, now time.Time) bool {
	if now.Before(suspendedTo) || c.states.State(id) != figseam.EndpointLive {
		return false
	}
	return !slices.Contains(job.ExcludedEndpoints, id) || len(c.prefills)+len(c.decodes) <= 2
}

// Load summarises a cell for choices between cells.
type Load struct {
	QueuedJobs     int
	FreePieces     int
	TotalPieces    int
	Grants         int
	AwaitingDecode int
}

// Load returns the cell's present load.
func (c *Cell) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Load{QueuedJobs: len(c.queue), Grants: len(c.grants), AwaitingDecode: len(c.promised)}
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
