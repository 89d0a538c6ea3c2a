package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figseam/figseam"
)

const (
	// leaseMillis is the duration of a grant's lease.
	leaseMillis = 8000
	// deadHolderGraceMillis is the time for which the streams of a dead instance keep
	// running, so that a caller that reconnects through another instance can resume them.
	deadHolderGraceMillis = 3000
	// orphanReportsBeforeCancel is the number of consecutive load reports that must list
	// an attempt without a grant before it is cancelled.
	orphanReportsBeforeCancel = 3
)

// GrantDigest is an order-independent digest of a set of grants. It lets a holder and an
// owner compare their sets in one small message.
type GrantDigest struct {
	Count int    `cbor:"1,keyasint"`
	Sum   uint64 `cbor:"2,keyasint"`
}

// With returns the digest of the set with id added.
func (d GrantDigest) With(id figseam.GrantID) GrantDigest {
	return GrantDigest{Count: d.Count + 1, Sum: d.Sum ^ xxhash.Sum64String(string(id))}
}

// RenewLeases extends the leases of all grants of a holder. It reports whether the cell
// has the same grants for the holder as the digest; if not, the holder announces its
// full list.
func (c *Cell) RenewLeases(holder figseam.InstanceID, held GrantDigest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var known GrantDigest
	for id, g := range c.grants {
		if g.job.Holder == holder && !g.cancelled {
			known = known.With(id)
			g.leaseEnd = figseam.DeadlineAfterMillis(leaseMillis)
		}
	}
	return known == held
}

// AnnounceGrants replaces the cell's record of a holder's grants. Unknown grants are
// adopted even if they exceed the engine's memory. Grants that the holder no longer has
// are revoked, except grants in their prefill that are younger than a lease: the holder
// may have sent the list before it received them.
func (c *Cell) AnnounceGrants(holder figseam.InstanceID, held []figseam.GrantRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	announced := map[figseam.GrantID]bool{}
	for _, record := range held {
		announced[record.Grant] = true
		c.adopt(record)
	}
	for _, g := range c.sortedGrants() {
		recent := time.Since(g.stageStart) < leaseMillis*time.Millisecond && g.stage == figseam.JobStagePrefilling
		if g.job.Holder == holder && !announced[g.id] && !g.orphaned && !recent {
			c.revoke(g)
		}
	}
	c.dispatch()
}

// adopt adds an announced grant to the ledger, or renews its lease if the ledger has it.
// It replaces an orphaned grant of the same attempt.
func (c *Cell) adopt(record figseam.GrantRecord) {
	if g, ok := c.grants[record.Grant]; ok {
		g.outputTokens = max(g.outputTokens, record.OutputTokens)
		g.leaseEnd = figseam.DeadlineAfterMillis(leaseMillis)
		return
	}
	if orphan, ok := c.grants[figseam.GrantID(record.Job.Attempt)]; ok {
		c.release(orphan)
	}
	g := &grant{
		id: record.Grant, job: record.Job, stage: record.Stage, outputTokens: record.OutputTokens, pieces: c.requiredPieces(record.Job),
		prefill: c.findPrefill(record.Prefill), decode: c.findDecode(record.Decode),
		stageStart: time.Now(), expectedEnd: time.Now().Add(c.decodeTime(record.Job)),
		decodeAssigned: make(chan struct{}), leaseEnd: figseam.DeadlineAfterMillis(leaseMillis),
	}
	if g.decode != nil {
		g.decode.ledger.ForceReserve(g.id, g.pieces)
		close(g.decodeAssigned)
	} else {
		c.awaitingDecode = append(c.awaitingDecode, g)
	}
	c.grants[g.id] = g
	c.requests[g.job.Request] = g
}

// revoke cancels a grant whose holder no longer has it or did not renew its lease. Its
// memory stays reserved until the decode engine confirms the cancel.
func (c *Cell) revoke(g *grant) {
	if g.cancelled {
		return
	}
	g.cancelled = true
	c.awaitingDecode = removeGrant(c.awaitingDecode, g)
	c.cancelOnEngines(g)
}

// cancelOnEngines cancels the grant's attempt on its engines and releases the grant when
// the decode engine confirms, or at once if there is none. The caller holds the mutex.
func (c *Cell) cancelOnEngines(g *grant) {
	if g.prefill != nil && g.stage <= figseam.JobStagePrefilled {
		c.canceller.Cancel(g.prefill.endpoint, g.job.Attempt, nil)
	}
	if g.decode == nil {
		c.releaseCancelled(g)
		return
	}
	c.canceller.Cancel(g.decode.endpoint, g.job.Attempt, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.releaseCancelled(g)
		c.dispatch()
	})
}

// releaseCancelled releases a cancelled grant and removes it from the running count of
// its prefill engine.
func (c *Cell) releaseCancelled(g *grant) {
	if g.prefilling && g.prefill != nil {
		g.prefilling = false
		g.prefill.running--
	}
	c.release(g)
}

// ExpireLeases revokes the grants whose lease has ended. It first shortens the leases of
// dead holders to deadHolderGraceMillis.
func (c *Cell) ExpireLeases(isDead func(figseam.InstanceID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	grace := figseam.DeadlineAfterMillis(deadHolderGraceMillis)
	for _, g := range c.sortedGrants() {
		if g.cancelled || g.orphaned {
			continue
		}
		if isDead(g.job.Holder) {
			g.leaseEnd = g.leaseEnd.Min(grace)
		}
		if g.leaseEnd.Passed() {
			c.revoke(g)
		}
	}
}

// Reconcile compares the attempts that an engine reports with the ledger. An attempt
// without a grant in orphanReportsBeforeCancel consecutive reports belongs to an instance
// that died together with the owner. Such an attempt is added to the ledger, cancelled,
// and released when the engine confirms.
func (c *Cell) Reconcile(endpoint figseam.EndpointID, attempts []figseam.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.findDecode(endpoint)
	if d == nil {
		return
	}
	granted := map[figseam.AttemptID]bool{}
	for _, g := range c.grants {
		granted[g.job.Attempt] = true
	}
	previous, current := c.orphanReports[endpoint], map[figseam.AttemptID]int{}
	for _, a := range attempts {
		if granted[a] {
			continue
		}
		current[a] = previous[a] + 1
		if current[a] >= orphanReportsBeforeCancel {
			delete(current, a)
			c.cancelOrphan(d, a)
		}
	}
	c.orphanReports[endpoint] = current
}

// cancelOrphan creates a grant for an attempt that has none and cancels the attempt. The
// grant reserves one memory piece, since the size of the attempt is unknown.
func (c *Cell) cancelOrphan(d *decodeEngine, attempt figseam.AttemptID) {
	g := &grant{
		id: figseam.GrantID(attempt), decode: d, pieces: 1, orphaned: true, cancelled: true,
		stage: figseam.JobStageDecoding, job: figseam.Job{Attempt: attempt, Request: figseam.RequestID(attempt)},
		decodeAssigned: make(chan struct{}),
	}
	d.ledger.ForceReserve(g.id, g.pieces)
	c.grants[g.id] = g
	c.cancelOnEngines(g)
}

// removeGrant returns a copy of grants without g.
func removeGrant(grants []*grant, g *grant) []*grant {
	remaining := make([]*grant, 0, len(grants))
	for _, other := range grants {
		if other != g {
			remaining = append(remaining, other)
		}
	}
	return remaining
}
