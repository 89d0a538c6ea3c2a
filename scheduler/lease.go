package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figseam/figseam"
)

const (
	// leaseMillis is how long a grant lives without a renewal by its holder.
	leaseMillis = 8000
	// graceMillis is how long the streams of a dead instance go on, so that a
	// caller who comes back through another instance can take them over.
	graceMillis = 3000
	// sightingsBeforeCancel is in how many load reports an attempt that no grant
	// covers must appear before it is cancelled.
	sightingsBeforeCancel = 3
)

// GrantDigest sums up a set of grants so that a holder and an owner can compare
// theirs in one small message.
type GrantDigest struct {
	Count int    `cbor:"1,keyasint"`
	Sum   uint64 `cbor:"2,keyasint"`
}

// With returns the digest of the set with one more grant.
func (d GrantDigest) With(id figseam.GrantID) GrantDigest {
	return GrantDigest{Count: d.Count + 1, Sum: d.Sum ^ xxhash.Sum64String(string(id))}
}

// RenewLeases extends the leases of all grants of a holder. It reports whether the
// owner's grants are those that the holder has; if not, the holder announces
// them in full.
func (c *Cell) RenewLeases(holder figseam.InstanceID, held GrantDigest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var mine GrantDigest
	for id, g := range c.grants {
		if g.job.Holder == holder && !g.cancelled {
			mine = mine.With(id)
			g.leaseEnd = figseam.DeadlineAfterMillis(leaseMillis)
		}
	}
	return mine == held
}

// AnnounceGrants replaces what the owner knows of a holder's grants. Grants that the
// owner lacks are adopted, whether they fit or not; grants that the holder no
// longer has are given up.
func (c *Cell) AnnounceGrants(holder figseam.InstanceID, held []figseam.GrantRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := map[figseam.GrantID]bool{}
	for _, h := range held {
		keep[h.Grant] = true
		c.adopt(h)
	}
	for _, g := range c.sortedGrants() {
		fresh := time.Since(g.began) < leaseMillis*time.Millisecond && g.stage == figseam.JobStagePrefilling
		if g.job.Holder == holder && !keep[g.id] && !g.unknown && !fresh {
			c.giveUp(g)
		}
	}
	c.dispatch()
}

func (c *Cell) adopt(h figseam.GrantRecord) {
	if g, ok := c.grants[h.Grant]; ok {
		g.tokens = max(g.tokens, h.OutputTokens)
		g.leaseEnd = figseam.DeadlineAfterMillis(leaseMillis)
		return
	}
	if old, ok := c.grants[figseam.GrantID(h.Job.Attempt)]; ok {
		c.free(old)
	}
	g := &grant{
		id: h.Grant, job: h.Job, stage: h.Stage, tokens: h.OutputTokens, pieces: c.need(h.Job),
		prefill: c.findPrefill(h.Prefill), decode: c.findDecode(h.Decode),
		began: time.Now(), endsAt: time.Now().Add(c.answerTime(h.Job)),
		seated: make(chan struct{}), leaseEnd: figseam.DeadlineAfterMillis(leaseMillis),
	}
	if g.decode != nil {
		g.decode.ledger.ForceReserve(g.id, g.pieces)
		close(g.seated)
	} else {
		c.promised = append(c.promised, g)
	}
	c.grants[g.id] = g
	c.requests[g.job.Request] = g
}

// giveUp cancels a grant whose holder is gone. Its memory stays in the ledger
// until the engines confirm.
func (c *Cell) giveUp(g *grant) {
	if g.cancelled {
		return
	}
	g.cancelled = true
	c.promised = without(c.promised, g)
	c.cancelOn(g)
}

// cancelOn tells the engines of a grant to free its memory, and frees the grant
// when the decode engine has confirmed. The caller holds the mutex.
func (c *Cell) cancelOn(g *grant) {
	if g.prefill != nil && g.stage <= figseam.JobStagePrefilled {
		c.canceller.Cancel(g.prefill.endpoint, g.job.Attempt, nil)
	}
	if g.decode == nil {
		c.settle(g)
		return
	}
	c.canceller.Cancel(g.decode.endpoint, g.job.Attempt, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.settle(g)
		c.dispatch()
	})
}

// settle frees a cancelled grant.
func (c *Cell) settle(g *grant) {
	if g.counted && g.prefill != nil {
		g.counted = false
		g.prefill.running--
	}
	c.free(g)
}

// ExpireLeases gives up the grants whose lease ended, and shortens the leases of
// holders that are known to be dead to the grace for returning callers.
func (c *Cell) ExpireLeases(dead func(figseam.InstanceID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	grace := figseam.DeadlineAfterMillis(graceMillis)
	for _, g := range c.sortedGrants() {
		if g.cancelled || g.unknown {
			continue
		}
		if dead(g.job.Holder) {
			g.leaseEnd = g.leaseEnd.Min(grace)
		}
		if g.leaseEnd.Passed() {
			c.giveUp(g)
		}
	}
}

// Reconcile compares an engine's own list of attempts with the ledger. An
// attempt that no grant covers in several reports belongs to an instance that
// died together with the owner; it is counted, cancelled and then freed.
func (c *Cell) Reconcile(endpoint figseam.EndpointID, attempts []figseam.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.findDecode(endpoint)
	if d == nil {
		return
	}
	known := map[figseam.AttemptID]bool{}
	for _, g := range c.grants {
		known[g.job.Attempt] = true
	}
	before, now := c.sightings[endpoint], map[figseam.AttemptID]int{}
	for _, a := range attempts {
		if known[a] {
			continue
		}
		now[a] = before[a] + 1
		if now[a] >= sightingsBeforeCancel {
			delete(now, a)
			c.cancelUnknown(d, a)
		}
	}
	c.sightings[endpoint] = now
}

func (c *Cell) cancelUnknown(d *decodeEngine, attempt figseam.AttemptID) {
	g := &grant{
		id: figseam.GrantID(attempt), decode: d, pieces: 1, unknown: true, cancelled: true,
		stage: figseam.JobStageDecoding, job: figseam.Job{Attempt: attempt, Request: figseam.RequestID(attempt)},
		seated: make(chan struct{}),
	}
	d.ledger.ForceReserve(g.id, g.pieces)
	c.grants[g.id] = g
	c.cancelOn(g)
}

func without(all []*grant, g *grant) []*grant {
	kept := make([]*grant, 0, len(all))
	for _, o := range all {
		if o != g {
			kept = append(kept, o)
		}
	}
	return kept
}
