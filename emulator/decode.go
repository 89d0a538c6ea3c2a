package emulator

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
)

// finishedRetentionMillis is the time for which the stream of a finished sequence
// can still be resumed.
const finishedRetentionMillis = 5000

// sequence is one request on a decode engine. The engine's mutex guards it.
type sequence struct {
	request dialer.DecodeRequest
	// seed is the hash of the prompt, from which the answer's tokens are derived.
	seed        uint64
	totalTokens int // tokens of prompt and answer together
	nextToken   int // index of the answer's next token
	endToken    int // index after the answer's last token; 0 until the transfer has ended
	pieces      int
	// stateSince is the time of the reservation or, once the answer is complete, the time
	// of its last token.
	stateSince time.Time
	// finishReason is empty while the sequence runs.
	finishReason string
	// changed is closed and replaced whenever nextToken or finishReason changes.
	changed chan struct{}
	// latestReader is the number of the newest reader of the stream; the streams of
	// earlier readers are aborted.
	latestReader int
}

func (s *sequence) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setFinishReason ends the sequence unless it has ended already.
func (s *sequence) setFinishReason(reason string) {
	if s.finishReason == "" {
		s.finishReason = reason
		s.notifyReaders()
	}
}

// reserve reserves memory for a sequence before its transfer starts. It replaces an
// earlier sequence of the same attempt. If it fails, it returns an error code of the
// protocol.
func (e *Engine) reserve(request dialer.DecodeRequest, promptTokens int) (*sequence, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return nil, dialer.ErrorDraining
	}
	need := e.piecesFor(promptTokens + 1)
	if e.usedPieces+need > e.settings.MemoryPieces {
		return nil, dialer.ErrorFull
	}
	if old, ok := e.sequences[request.Attempt]; ok {
		e.release(old, finishCancelled)
	}
	s := &sequence{
		request: request, nextToken: request.Offset, totalTokens: promptTokens, pieces: need,
		stateSince: time.Now(), changed: make(chan struct{}),
	}
	e.usedPieces += need
	e.sequences[request.Attempt] = s
	return s, ""
}

// start includes a transferred sequence in the decode steps. It reports false if the
// sequence has ended in the meantime.
func (e *Engine) start(s *sequence, prompt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sequences[s.request.Attempt] != s || s.finishReason != "" {
		return false
	}
	s.seed = xxhash.Sum64String(prompt)
	s.endToken = AnswerTokenCount(prompt, s.request.MaxTokens)
	e.notify()
	return true
}

// release ends a sequence and frees its memory. The caller holds the mutex.
func (e *Engine) release(s *sequence, reason string) {
	if s.finishReason != "" {
		return
	}
	s.setFinishReason(reason)
	e.usedPieces -= s.pieces
	s.pieces = 0
}

// runDecodes produces one token for each running sequence per step until ctx ends.
func (e *Engine) runDecodes(ctx context.Context) {
	for {
		n := e.countDecoding()
		if n == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.wakeup:
			}
			continue
		}
		step := e.settings.StepBaseMillis + float64(n)*e.settings.StepPerRequestMillis
		select {
		case <-ctx.Done():
			return
		case <-time.After(millisToDuration(step)):
		}
		e.decodeStep()
	}
}

// countDecoding returns the number of sequences in the next step, which is 0 while
// decoding is stalled. It also removes expired sequences.
func (e *Engine) countDecoding() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired()
	if e.faults.StallDecode {
		return 0
	}
	n := 0
	for _, s := range e.sequences {
		if s.decoding() {
			n++
		}
	}
	return n
}

func (s *sequence) decoding() bool { return s.finishReason == "" && s.endToken > 0 }

// removeExpired removes the sequences whose retention time has passed. The caller
// holds the mutex.
func (e *Engine) removeExpired() {
	for id, s := range e.sequences {
		if s.finishReason != "" && time.Since(s.stateSince) > finishedRetentionMillis*time.Millisecond {
			delete(e.sequences, id)
		}
	}
}

func (e *Engine) decodeStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		if s.decoding() && e.growMemory(s) {
			e.produceToken(s)
		}
	}
}

// growMemory reserves another piece if the sequence's next token needs one. If no
// piece is free, it evicts the newest sequence. It reports whether the sequence can
// continue. The caller holds the mutex.
func (e *Engine) growMemory(s *sequence) bool {
	need := e.piecesFor(s.totalTokens+1) - s.pieces
	if need <= 0 {
		return true
	}
	if e.usedPieces+need > e.settings.MemoryPieces {
		victim := e.newestSequence()
		e.release(victim, dialer.FinishEvicted)
		e.stats.Evictions++
		if victim == s || e.usedPieces+need > e.settings.MemoryPieces {
			return false
		}
	}
	e.usedPieces += need
	s.pieces += need
	return true
}

// newestSequence returns the running sequence with the latest reservation. The caller
// holds the mutex and ensures that a sequence is running.
func (e *Engine) newestSequence() *sequence {
	var running []*sequence
	for _, s := range e.sequences {
		if s.finishReason == "" {
			running = append(running, s)
		}
	}
	return slices.MaxFunc(running, func(a, b *sequence) int { return a.stateSince.Compare(b.stateSince) })
}

// produceToken adds a token to the answer and ends the sequence after the last one.
// The caller holds the mutex.
func (e *Engine) produceToken(s *sequence) {
	s.nextToken++
	s.totalTokens++
	e.stats.GeneratedTokens++
	if s.nextToken < s.endToken {
		s.notifyReaders()
		return
	}
	reason := "stop"
	if s.request.MaxTokens > 0 && s.endToken >= s.request.MaxTokens {
		reason = "length"
	}
	e.stats.FinishedAttempts = append(e.stats.FinishedAttempts, s.request.Attempt)
	s.stateSince = time.Now()
	e.release(s, reason)
}

// cancel ends an attempt at any stage, frees its memory and discards its result.
func (e *Engine) cancel(attempt figseam.AttemptID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancellations++
	if s, ok := e.sequences[attempt]; ok {
		e.release(s, finishCancelled)
		delete(e.sequences, attempt)
	}
	delete(e.results, attempt)
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, func(p *prefill) bool {
		if p.request.Attempt != attempt {
			return false
		}
		p.complete(finishCancelled)
		return true
	})
	if e.activePrefill != nil && e.activePrefill.request.Attempt == attempt {
		e.activePrefill.cancelled = true
	}
}
