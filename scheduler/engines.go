package scheduler

import (
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/allocator"
)

const (
	// startAheadMillis is the time before the predicted end of a prefill engine's only job
	// at which the next job is sent, so that the engine is not idle while the message is in
	// transit.
	startAheadMillis = 25
	// suspendMillis is the duration of an engine's suspension after a failure, during which
	// it receives no new jobs. It doubles with each consecutive failure, up to
	// maxSuspendMillis.
	suspendMillis    = 1000
	maxSuspendMillis = 16_000
	// prefillRateGain is the weight of a new measurement in the moving average of an
	// engine's prefill rate.
	prefillRateGain = 0.1
	// transferRateGain is the same weight for the transfer rate.
	transferRateGain = 0.2
	// maxTrackedBlocks bounds the prefix blocks tracked per engine. When a job's blocks
	// would exceed it, all tracked blocks are dropped.
	maxTrackedBlocks = 8192
)

// prefillEngine holds a cell's estimates for a prefill engine. The cell's mutex guards
// it.
type prefillEngine struct {
	endpoint figseam.Endpoint
	// idleAt is the predicted end of the prefills sent so far.
	idleAt  time.Time
	running int
	// awaitingFirstToken counts the grants whose answer has not started.
	awaitingFirstToken int
	// prefillTokensPerSecond and transferTokensPerSecond are moving averages.
	prefillTokensPerSecond  float64
	transferTokensPerSecond float64
	cachedBlocks            map[uint64]struct{}
	suspension
}

// cachedTokens returns the estimated number of leading prompt tokens in the engine's
// prefix cache. A wrong estimate only delays the first token.
func (p *prefillEngine) cachedTokens(job figseam.Job) int {
	n := 0
	for _, b := range job.PrefixHashes {
		if _, ok := p.cachedBlocks[b]; !ok {
			break
		}
		n++
	}
	return min(n*figseam.PrefixBlockTokens, job.PromptTokens-1)
}

// addCachedBlocks records that the engine has computed the job's blocks.
func (p *prefillEngine) addCachedBlocks(job figseam.Job) {
	if len(p.cachedBlocks)+len(job.PrefixHashes) > maxTrackedBlocks {
		clear(p.cachedBlocks)
	}
	for _, b := range job.PrefixHashes {
		p.cachedBlocks[b] = struct{}{}
	}
}

// probeInFlight reports whether the engine has failed before and a job sent to it has not
// produced its first token yet. Until then the engine receives no other jobs.
func (p *prefillEngine) probeInFlight() bool {
	return p.consecutiveFailures > 0 && p.awaitingFirstToken > 0
}

// prefillTime returns the predicted duration of the job's prefill.
func (p *prefillEngine) prefillTime(job figseam.Job) time.Duration {
	return seconds(float64(job.PromptTokens-p.cachedTokens(job)) / p.prefillTokensPerSecond)
}

// prefillEnd returns the predicted end of the job's prefill if it is sent now.
func (p *prefillEngine) prefillEnd(job figseam.Job, now time.Time) time.Time {
	return later(p.idleAt, now).Add(p.prefillTime(job))
}

// startable reports whether a job may be sent now: the engine is idle, or its only job
// is predicted to end within startAheadMillis.
func (p *prefillEngine) startable(now time.Time) bool {
	if p.running == 0 {
		return true
	}
	return p.running == 1 && !now.Before(p.idleAt.Add(-startAheadMillis*time.Millisecond))
}

// observePrefill updates the prefill rate with one measurement. Prompts shorter than a
// prefix block are ignored.
func (p *prefillEngine) observePrefill(tokens int, elapsed time.Duration) {
	if tokens < figseam.PrefixBlockTokens || elapsed <= 0 {
		return
	}
	measured := float64(tokens) / elapsed.Seconds()
	p.prefillTokensPerSecond += prefillRateGain * (measured - p.prefillTokensPerSecond)
}

// observeTransfer updates the transfer rate with one measurement, which includes the
// wait for other transfers on the same link. Prompts shorter than a prefix block are
// ignored.
func (p *prefillEngine) observeTransfer(tokens int, elapsed time.Duration) {
	if tokens < figseam.PrefixBlockTokens || elapsed <= 0 {
		return
	}
	measured := float64(tokens) / elapsed.Seconds()
	p.transferTokensPerSecond += transferRateGain * (measured - p.transferTokensPerSecond)
}

// transferTime returns the predicted duration of the job's transfer.
func (p *prefillEngine) transferTime(job figseam.Job) time.Duration {
	return seconds(float64(job.PromptTokens) / p.transferTokensPerSecond)
}

// transferEnd returns the predicted end of the transfer of the job's prefill result if
// the prefill is sent now.
func (p *prefillEngine) transferEnd(job figseam.Job, now time.Time) time.Time {
	return p.prefillEnd(job, now).Add(p.transferTime(job))
}

// decodeEngine is the memory ledger of a decode engine. The cell's mutex guards it.
type decodeEngine struct {
	endpoint figseam.Endpoint
	ledger   *allocator.Allocator
	suspension
}

// suspension is the backoff state of an engine that failed jobs.
type suspension struct {
	suspendedUntil      time.Time
	consecutiveFailures int
}

// recordFailure suspends the engine. Failures during a suspension are ignored, so that
// jobs that were running at the same time count as one failure.
func (s *suspension) recordFailure(now time.Time) {
	if now.Before(s.suspendedUntil) {
		return
	}
	s.consecutiveFailures++
	backoffMillis := min(maxSuspendMillis, suspendMillis<<(min(s.consecutiveFailures, 8)-1))
	s.suspendedUntil = now.Add(time.Duration(backoffMillis) * time.Millisecond)
}

// recordSuccess resets the backoff.
func (s *suspension) recordSuccess() { s.consecutiveFailures = 0 }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ApplyCacheEvents updates the tracked blocks of a prefill engine's prefix cache. After a
// gap in the events all tracked blocks are dropped, since a removal may be missing.
func (c *Cell) ApplyCacheEvents(endpoint figseam.EndpointID, page figseam.CachePage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.findPrefill(endpoint)
	if p == nil {
		return
	}
	if page.Gap {
		clear(p.cachedBlocks)
	}
	for _, e := range page.Events {
		if e.Removed {
			delete(p.cachedBlocks, e.Block)
		} else {
			p.cachedBlocks[e.Block] = struct{}{}
		}
	}
}
