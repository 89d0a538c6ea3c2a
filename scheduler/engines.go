package scheduler

import (
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/allocator"
)

const (
	// startAheadMillis is how long before a prefill engine falls idle its next
	// job is sent, so that the engine does not wait for the message.
	startAheadMillis = 25
	// suspendMillis is how long an engine that failed a job gets no new one. The
	// time doubles with each failure in a row up to longestSuspendMillis.
	suspendMillis        = 1000
	longestSuspendMillis = 16_000
	// speedGain is the weight of a new measurement in an engine's mean speed.
	speedGain = 0.1
	// linkGain is the same for a link's mean rate.
	linkGain = 0.2
	// maxKnownBlocks bounds the prefix blocks remembered per engine.
	maxKnownBlocks = 8192
)

// prefillEngine is what a cell believes of a prefill engine. The cell's mutex
// guards it.
type prefillEngine struct {
	endpoint figseam.Endpoint
	// freeAt is when the jobs sent so far are predicted to end.
	freeAt  time.Time
	running int
	// unproven counts the jobs whose answer has not begun yet.
	unproven int
	// speed is in prompt tokens per second, link in transferred tokens per second.
	speed  float64
	link   float64
	blocks map[uint64]struct{}
	suspension
}

// cached returns how many leading tokens of the job the engine is believed to
// have. A wrong belief costs a later first token and nothing else.
func (p *prefillEngine) cached(job figseam.Job) int {
	n := 0
	for _, b := range job.PrefixHashes {
		if _, ok := p.blocks[b]; !ok {
			break
		}
		n++
	}
	return min(n*figseam.PrefixBlockTokens, job.PromptTokens-1)
}

// remember notes that the engine computes the job's blocks now.
func (p *prefillEngine) remember(job figseam.Job) {
	if len(p.blocks)+len(job.PrefixHashes) > maxKnownBlocks {
		clear(p.blocks)
	}
	for _, b := range job.PrefixHashes {
		p.blocks[b] = struct{}{}
	}
}

// onTrial reports whether the engine failed a job, and the one job that tries it
// again is still under way.
func (p *prefillEngine) onTrial() bool { return p.failures > 0 && p.unproven > 0 }

// work returns the predicted length of the job's prefill.
func (p *prefillEngine) work(job figseam.Job) time.Duration {
	return seconds(float64(job.PromptTokens-p.cached(job)) / p.speed)
}

// endIfStarted returns when the job's prefill would end if sent now.
func (p *prefillEngine) endIfStarted(job figseam.Job, now time.Time) time.Time {
	return later(p.freeAt, now).Add(p.work(job))
}

// startable reports whether a job may be sent now: the engine is idle, or its
// only job is about to end.
func (p *prefillEngine) startable(now time.Time) bool {
	if p.running == 0 {
		return true
	}
	return p.running == 1 && !now.Before(p.freeAt.Add(-startAheadMillis*time.Millisecond))
}

// observe corrects the mean speed by one measured prefill.
func (p *prefillEngine) observe(tokens int, took time.Duration) {
	if tokens < figseam.PrefixBlockTokens || took <= 0 {
		return
	}
	measured := float64(tokens) / took.Seconds()
	p.speed += speedGain * (measured - p.speed)
}

// observeLink corrects the link's mean rate by one measured transfer, which
// includes the wait for others on the same link.
func (p *prefillEngine) observeLink(tokens int, took time.Duration) {
	if tokens < figseam.PrefixBlockTokens || took <= 0 {
		return
	}
	measured := float64(tokens) / took.Seconds()
	p.link += linkGain * (measured - p.link)
}

// transfer returns the predicted length of the job's transfer.
func (p *prefillEngine) transfer(job figseam.Job) time.Duration {
	return seconds(float64(job.PromptTokens) / p.link)
}

// readyIfStarted returns when a decode engine would have the job's prompt if its
// prefill were sent now.
func (p *prefillEngine) readyIfStarted(job figseam.Job, now time.Time) time.Time {
	return p.endIfStarted(job, now).Add(p.transfer(job))
}

// decodeEngine is what a cell believes of a decode engine. The cell's mutex
// guards it.
type decodeEngine struct {
	endpoint figseam.Endpoint
	ledger   *allocator.Allocator
	suspension
}

// suspension keeps new jobs from an engine that failed some.
type suspension struct {
	suspendedTo time.Time
	failures    int
}

// fail notes a failed job. Failures of jobs that were under way at the same time
// count once.
func (s *suspension) fail(now time.Time) {
	if now.Before(s.suspendedTo) {
		return
	}
	s.failures++
	pause := min(longestSuspendMillis, suspendMillis<<(min(s.failures, 8)-1))
	s.suspendedTo = now.Add(time.Duration(pause) * time.Millisecond)
}

// succeed notes a job that went well.
func (s *suspension) succeed() { s.failures = 0 }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ApplyCacheEvents corrects what the cell believes of a prefill engine's prefix
// cache. After a gap the beliefs are dropped, since a removal may be missing.
func (c *Cell) ApplyCacheEvents(endpoint figseam.EndpointID, page figseam.CachePage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.findPrefill(endpoint)
	if p == nil {
		return
	}
	if page.Gap {
		clear(p.blocks)
	}
	for _, e := range page.Events {
		if e.Removed {
			delete(p.blocks, e.Block)
		} else {
			p.blocks[e.Block] = struct{}{}
		}
	}
}
