package emulator

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
)

// bufferMillis is how long a finished answer can still be resumed.
const bufferMillis = 5000

// sequence is one running request on a decode engine. The engine's mutex guards
// it.
type sequence struct {
	body    dialer.DecodeRequest
	seed    uint64
	tokens  int // prompt and answer together
	next    int // index of the next token of the answer
	last    int // index behind the answer's last token
	pieces  int
	started time.Time
	finish  string
	// changed is closed and replaced whenever next or finish changes.
	changed chan struct{}
	// reader rises with each reader; an older reader ends.
	reader int
}

func (s *sequence) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sequence) end(finish string) {
	if s.finish == "" {
		s.finish = finish
		s.signal()
	}
}

// reserve takes memory for a request before its transfer starts.
func (e *Engine) reserve(body dialer.DecodeRequest, promptTokens int) (*sequence, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, dialer.ErrorLeaving
	}
	need := e.pieces(promptTokens + 1)
	if e.usedPieces+need > e.settings.MemoryPieces {
		return nil, dialer.ErrorFull
	}
	if old, ok := e.running[body.Attempt]; ok {
		e.release(old, finishCancelled)
	}
	s := &sequence{
		body: body, next: body.Offset, tokens: promptTokens, pieces: need,
		started: time.Now(), changed: make(chan struct{}),
	}
	e.usedPieces += need
	e.running[body.Attempt] = s
	return s, ""
}

// begin lets a transferred request take part in the steps.
func (e *Engine) begin(s *sequence, prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[s.body.Attempt] != s || s.finish != "" {
		return false
	}
	s.seed = xxhash.Sum64String(prompt)
	s.last = AnswerTokenCount(prompt, s.body.MaxTokens)
	e.nudge()
	return true
}

// release ends a request and frees its memory. The caller holds the mutex.
func (e *Engine) release(s *sequence, finish string) {
	if s.finish != "" {
		return
	}
	s.end(finish)
	e.usedPieces -= s.pieces
	s.pieces = 0
}

// runSteps produces a token for every running request in each step.
func (e *Engine) runSteps(ctx context.Context) {
	for {
		n := e.active()
		if n == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		step := e.settings.StepBaseMillis + float64(n)*e.settings.StepPerRequestMillis
		select {
		case <-ctx.Done():
			return
		case <-time.After(millis(step)):
		}
		e.step()
	}
}

func (e *Engine) active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetFinished()
	if e.faults.StallDecode {
		return 0
	}
	n := 0
	for _, s := range e.running {
		if s.producing() {
			n++
		}
	}
	return n
}

func (s *sequence) producing() bool { return s.finish == "" && s.last > 0 }

func (e *Engine) forgetFinished() {
	for id, s := range e.running {
		if s.finish != "" && time.Since(s.started) > bufferMillis*time.Millisecond {
			delete(e.running, id)
		}
	}
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		if s.producing() && e.grow(s) {
			e.produce(s)
		}
	}
}

// grow takes another piece when the request's tokens need one. When there is
// none, the youngest request is evicted.
func (e *Engine) grow(s *sequence) bool {
	need := e.pieces(s.tokens+1) - s.pieces
	if need <= 0 {
		return true
	}
	if e.usedPieces+need > e.settings.MemoryPieces {
		victim := e.youngest()
		e.release(victim, dialer.FinishEvicted)
		e.tally.Evictions++
		if victim == s || e.usedPieces+need > e.settings.MemoryPieces {
			return false
		}
	}
	e.usedPieces += need
	s.pieces += need
	return true
}

func (e *Engine) youngest() *sequence {
	var all []*sequence
	for _, s := range e.running {
		if s.finish == "" {
			all = append(all, s)
		}
	}
	return slices.MaxFunc(all, func(a, b *sequence) int { return a.started.Compare(b.started) })
}

func (e *Engine) produce(s *sequence) {
	s.next++
	s.tokens++
	e.tally.GeneratedTokens++
	if s.next < s.last {
		s.signal()
		return
	}
	finish := "stop"
	if s.body.MaxTokens > 0 && s.last >= s.body.MaxTokens {
		finish = "length"
	}
	e.tally.FinishedAttempts = append(e.tally.FinishedAttempts, s.body.Attempt)
	s.started = time.Now()
	e.release(s, finish)
}

// cancel frees what is held for an attempt, in whatever stage it is.
func (e *Engine) cancel(attempt figseam.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tally.Cancellations++
	if s, ok := e.running[attempt]; ok {
		e.release(s, finishCancelled)
		delete(e.running, attempt)
	}
	delete(e.held, attempt)
	e.prefills = slices.DeleteFunc(e.prefills, func(p *prefill) bool {
		if p.body.Attempt != attempt {
			return false
		}
		p.finish(finishCancelled)
		return true
	})
	if e.prefilling != nil && e.prefilling.body.Attempt == attempt {
		e.prefilling.cancelled = true
	}
}
