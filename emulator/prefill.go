package emulator

import (
	"context"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
)

// Error codes of prefills and finish reasons of sequences that the engine protocol does
// not define. finishCrashed is never sent, because a crashed engine aborts connections.
const (
	finishCrashed   = "dead"
	finishCancelled = "cancelled"
)

// prefill is one request on a prefill engine. The engine's mutex guards it.
type prefill struct {
	request      dialer.PrefillRequest
	tokens       int // tokens of the prompt and of the answer so far
	cachedTokens int
	blocks       []uint64
	// expiresAt is the end of the result's retention, zero before the prefill has ended.
	expiresAt time.Time
	cancelled bool
	// done is closed once errorCode is set, which is empty if the result is available.
	done      chan struct{}
	errorCode string
}

// complete sets the error code unless the prefill is already complete.
func (p *prefill) complete(errorCode string) {
	select {
	case <-p.done:
	default:
		p.errorCode = errorCode
		close(p.done)
	}
}

// enqueuePrefill queues a prompt behind those of the same or a higher priority.
func (e *Engine) enqueuePrefill(request dialer.PrefillRequest) *prefill {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &prefill{
		request: request,
		tokens:  figseam.EstimateTokens(request.Prompt),
		blocks:  figseam.PrefixBlocks(request.Prompt),
		done:    make(chan struct{}),
	}
	if request.GeneratedText != "" {
		p.tokens += figseam.EstimateTokens(request.GeneratedText)
	}
	position := len(e.prefillQueue)
	for position > 0 && e.prefillQueue[position-1].request.Priority < request.Priority {
		position--
	}
	e.prefillQueue = append(e.prefillQueue[:position], append([]*prefill{p}, e.prefillQueue[position:]...)...)
	e.notify()
	return p
}

// runPrefills computes the queued prompts one after another until ctx ends.
func (e *Engine) runPrefills(ctx context.Context) {
	for {
		p := e.dequeuePrefill()
		if p == nil {
			select {
			case <-ctx.Done():
				return
			case <-e.wakeup:
			}
			continue
		}
		seconds := float64(p.tokens-p.cachedTokens) / e.settings.PrefillTokensPerSecond
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(seconds * float64(time.Second))):
		}
		e.completePrefill(p)
	}
}

// dequeuePrefill makes the first queued prompt the active one and returns it, or nil
// if the queue is empty. At least one token of a prompt is computed even if all its
// blocks are cached.
func (e *Engine) dequeuePrefill() *prefill {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.prefillQueue) == 0 {
		return nil
	}
	p := e.prefillQueue[0]
	e.prefillQueue = e.prefillQueue[1:]
	cached := e.cache.prefixLength(p.blocks) * figseam.PrefixBlockTokens
	p.cachedTokens = min(cached, p.tokens-1)
	e.activePrefill = p
	return p
}

// completePrefill records the work of a prefill and, unless it was cancelled, caches
// its blocks and keeps its result for export.
func (e *Engine) completePrefill(p *prefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activePrefill = nil
	e.stats.Prefills = append(e.stats.Prefills, PrefillWork{
		Request: p.request.Request, Attempt: p.request.Attempt, ComputedTokens: p.tokens - p.cachedTokens,
	})
	if p.cancelled {
		p.complete(finishCancelled)
		return
	}
	e.cache.add(p.blocks)
	p.expiresAt = time.Now().Add(time.Duration(e.settings.PrefillResultTTLMillis) * time.Millisecond)
	e.results[p.request.Attempt] = p
	p.complete("")
}

// export transfers a prefill result over the link, removes it and returns it. It
// blocks until the earlier transfers on the link and this one have ended. If it fails,
// it returns an error code of the protocol.
func (e *Engine) export(ctx context.Context, attempt figseam.AttemptID) (*prefill, string) {
	e.mu.Lock()
	p, ok := e.results[attempt]
	if !ok || time.Now().After(p.expiresAt) {
		delete(e.results, attempt)
		e.mu.Unlock()
		return nil, dialer.ErrorAttemptNotFound
	}
	stalled := e.faults.StallTransfers
	rate := e.settings.TransferTokensPerSecond / max(1, e.faults.LinkSlowdownFactor)
	start := time.Now()
	if e.linkFreeAt.After(start) {
		start = e.linkFreeAt
	}
	e.linkFreeAt = start.Add(time.Duration(float64(p.tokens) / rate * float64(time.Second)))
	end := e.linkFreeAt
	e.mu.Unlock()
	if stalled {
		<-ctx.Done()
		return nil, dialer.ErrorAttemptNotFound
	}
	select {
	case <-ctx.Done():
		return nil, dialer.ErrorAttemptNotFound
	case <-time.After(time.Until(end)):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.results, attempt)
	return p, ""
}
