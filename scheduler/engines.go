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
	// suspendMillis is how long an engine that failed a job gets no new one.
	suspendMillis = 1000
	// speedGain is the weight of a new measurement in an engine's mean speed.
	speedGain = 0.1
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
	// speed is in prompt tokens per second.
	speed       float64
	blocks      map[uint64]struct{}
	suspendedTo time.Time
}

// cached returns how many leading tokens of the job the engine is believed to
// have. A wrong belief costs a later first token and nothing else.
func (p *prefillEngine) cached(job figseam.Job) int {
	n := 0
	for _, b := range job.Prefix {
		if _, ok := p.blocks[b]; !ok {
			break
		}
		n++
	}
	return min(n*figseam.PrefixBlockTokens, job.PromptTokens-1)
}

// remember notes that the engine computes the job's blocks now.
func (p *prefillEngine) remember(job figseam.Job) {
	if len(p.blocks)+len(job.Prefix) > maxKnownBlocks {
		clear(p.blocks)
	}
	for _, b := range job.Prefix {
		p.blocks[b] = struct{}{}
	}
}

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

// decodeEngine is what a cell believes of a decode engine. The cell's mutex
// guards it.
type decodeEngine struct {
	endpoint    figseam.Endpoint
	ledger      *allocator.Ledger
	suspendedTo time.Time
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CacheEvents corrects what the cell believes of a prefill engine's prefix
// cache. After a gap the beliefs are dropped, since a removal may be missing.
func (c *Cell) CacheEvents(endpoint figseam.EndpointID, page figseam.CachePage) {
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
