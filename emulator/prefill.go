package emulator

import (
	"context"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
)

// Ends of a prefill or a sequence that are not the protocol's.
const (
	finishDead      = "dead"
	finishCancelled = "cancelled"
)

// prefill is one prompt on a prefill engine.
type prefill struct {
	body      dialer.PrefillRequest
	tokens    int
	cached    int
	blocks    []uint64
	heldUntil time.Time
	cancelled bool
	// done is closed once outcome is set: empty for a result that is held.
	done    chan struct{}
	outcome string
}

func (p *prefill) finish(outcome string) {
	select {
	case <-p.done:
	default:
		p.outcome = outcome
		close(p.done)
	}
}

func (e *Engine) addPrefill(body dialer.PrefillRequest) *prefill {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &prefill{
		body:   body,
		tokens: figseam.EstimateTokens(body.Prompt),
		blocks: figseam.PrefixBlocks(body.Prompt),
		done:   make(chan struct{}),
	}
	if body.Answer != "" {
		p.tokens += figseam.EstimateTokens(body.Answer)
	}
	at := len(e.prefills)
	for at > 0 && e.prefills[at-1].body.Priority < body.Priority {
		at--
	}
	e.prefills = append(e.prefills[:at], append([]*prefill{p}, e.prefills[at:]...)...)
	e.nudge()
	return p
}

// runPrefills serves one prompt after another.
func (e *Engine) runPrefills(ctx context.Context) {
	for {
		p := e.nextPrefill()
		if p == nil {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		work := float64(p.tokens-p.cached) / e.settings.PrefillTokensPerSecond
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(work * float64(time.Second))):
		}
		e.endPrefill(p)
	}
}

func (e *Engine) nextPrefill() *prefill {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.prefills) == 0 {
		return nil
	}
	p := e.prefills[0]
	e.prefills = e.prefills[1:]
	hit := e.cache.match(p.blocks) * figseam.PrefixBlockTokens
	p.cached = min(hit, p.tokens-1)
	e.prefilling = p
	return p
}

func (e *Engine) endPrefill(p *prefill) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefilling = nil
	e.tally.Prefills = append(e.tally.Prefills, PrefillWork{
		Request: p.body.Request, Attempt: p.body.Attempt, ComputedTokens: p.tokens - p.cached,
	})
	if p.cancelled {
		p.finish(finishCancelled)
		return
	}
	e.cache.add(p.blocks)
	p.heldUntil = time.Now().Add(time.Duration(e.settings.PrefillResultTTLMillis) * time.Millisecond)
	e.held[p.body.Attempt] = p
	p.finish("")
}

// export sends a held result over the link and returns what it was made of. It
// blocks for as long as the link needs.
func (e *Engine) export(ctx context.Context, attempt figseam.AttemptID) (*prefill, string) {
	e.mu.Lock()
	p, ok := e.held[attempt]
	if !ok || time.Now().After(p.heldUntil) {
		delete(e.held, attempt)
		e.mu.Unlock()
		return nil, dialer.ErrorNotHeld
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
		return nil, dialer.ErrorNotHeld
	}
	select {
	case <-ctx.Done():
		return nil, dialer.ErrorNotHeld
	case <-time.After(time.Until(end)):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, attempt)
	return p, ""
}
