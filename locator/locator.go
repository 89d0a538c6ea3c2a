// Package locator finds the engines that have a prompt in their cache.
//
// Load pattern: callers that come back for the rest of a stream after an instance
// crashed, or all of them lost power. Engines evict what those streams left only when
// the memory is needed, so nothing has to be read again where a request goes to such an
// engine, or has the prompt fetched from there. Nobody remembers which engine that is,
// so the engines are asked.
package locator

import (
	"context"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

const (
	// validMillis is how long what an engine said of its cache is believed.
	validMillis = 500
	// askMillis bounds the question to an engine.
	askMillis = 150
)

// QueryFunc returns the parts of prompts that an engine has cached.
type QueryFunc func(ctx context.Context, e figseam.ListedEndpoint) ([]figseam.PromptPart, error)

// Locator keeps what engines said of their caches. It is safe for concurrent use.
type Locator struct {
	ask    QueryFunc
	failed func(e figseam.ListedEndpoint, err error)

	// mu guards everything below.
	mu      sync.Mutex
	answers map[string]*answer
}

// answer is what an engine has cached, by the ID of the part. It is complete once done is
// closed.
type answer struct {
	until figseam.Deadline
	done  chan struct{}
	parts map[string]struct{}
}

// New returns a locator that asks engines with ask and reports to failed who did not
// answer.
func New(ask QueryFunc, failed func(e figseam.ListedEndpoint, err error)) *Locator {
	return &Locator{ask: ask, failed: failed, answers: map[string]*answer{}}
}

// Find returns those of the engines that have a part cached. It asks the engines of which it
// knows nothing recent, all at once, and passes over those that do not answer in time.
func (l *Locator) Find(ctx context.Context, engines []figseam.ListedEndpoint, part string) []figseam.ListedEndpoint {
	l.forget()
	answers := make([]*answer, len(engines))
	for i, e := range engines {
		answers[i] = l.answer(ctx, e)
	}
	ctx, cancel := context.WithTimeout(ctx, askMillis*time.Millisecond)
	defer cancel()
	var found []figseam.ListedEndpoint
	for i, a := range answers {
		if a.names(ctx, part) {
			found = append(found, engines[i])
		}
	}
	return found
}

// names waits for the answer until ctx ends and reports whether it names a part.
func (a *answer) names(ctx context.Context, part string) bool {
	select {
	case <-a.done:
	case <-ctx.Done():
	}
	select {
	case <-a.done:
		_, ok := a.parts[part]
		return ok
	default:
		return false
	}
}

// answer returns what the engine said lately, or asks it.
func (l *Locator) answer(ctx context.Context, e figseam.ListedEndpoint) *answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.answers[e.ID]; ok {
		return a
	}
	a := &answer{until: figseam.DeadlineAfterMillis(validMillis), done: make(chan struct{}), parts: map[string]struct{}{}}
	l.answers[e.ID] = a
	go l.fill(context.WithoutCancel(ctx), a, e)
	return a
}

// fill asks the engine and completes the answer, also for others than the caller who
// asked first.
func (l *Locator) fill(ctx context.Context, a *answer, e figseam.ListedEndpoint) {
	defer close(a.done)
	ctx, cancel := context.WithTimeout(ctx, askMillis*time.Millisecond)
	defer cancel()
	parts, err := l.ask(ctx, e)
	if err != nil {
		l.failed(e, err)
		return
	}
	for _, p := range parts {
		a.parts[p.ID] = struct{}{}
	}
}

// forget drops what is out of date.
func (l *Locator) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.answers {
		if a.until.Passed() {
			delete(l.answers, id)
		}
	}
}
