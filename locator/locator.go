// Package locator finds the engines that have a prompt in their KV cache.
//
// Load pattern: callers that reconnect to resume their streams after an instance crashed
// or all instances lost power. Engines evict the KV cache of such streams only when they
// need the memory. No prompt has to be prefilled again if the request is sent to an engine
// that still has the cache, or if its engine fetches the cache from there. The mapping of
// prompts to engines is not stored, so the engines are queried.
package locator

import (
	"context"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

const (
	// resultTTLMillis is the time for which a query result is reused.
	resultTTLMillis = 500
	// queryTimeoutMillis is the timeout of a query, and of the wait in [Locator.Find].
	queryTimeoutMillis = 150
)

// QueryFunc returns the prompt parts that an engine has cached.
type QueryFunc func(ctx context.Context, e figseam.ListedEndpoint) ([]figseam.PromptPart, error)

// Locator queries engines for their cached prompt parts and reuses recent results. It
// is safe for concurrent use.
type Locator struct {
	query   QueryFunc
	onError func(e figseam.ListedEndpoint, err error)

	// mu guards everything below.
	mu      sync.Mutex
	results map[string]*result
}

// result is the result of a query, which may still be running. parts contains the IDs of
// the cached parts; it is complete once done is closed, and empty after an error.
type result struct {
	expiresAt figseam.Deadline
	done      chan struct{}
	parts     map[string]struct{}
}

// New returns a locator that queries engines with query and calls onError for each
// query that fails.
func New(query QueryFunc, onError func(e figseam.ListedEndpoint, err error)) *Locator {
	return &Locator{query: query, onError: onError, results: map[string]*result{}}
}

// Find returns those of the engines that have a part cached. It queries all engines
// without a recent result concurrently, and omits engines that do not respond in time.
func (l *Locator) Find(ctx context.Context, engines []figseam.ListedEndpoint, part string) []figseam.ListedEndpoint {
	l.evictExpired()
	results := make([]*result, len(engines))
	for i, e := range engines {
		results[i] = l.result(ctx, e)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeoutMillis*time.Millisecond)
	defer cancel()
	var found []figseam.ListedEndpoint
	for i, r := range results {
		if r.contains(ctx, part) {
			found = append(found, engines[i])
		}
	}
	return found
}

// contains waits until the result is complete or ctx is cancelled, and reports whether
// the engine has the part cached.
func (r *result) contains(ctx context.Context, part string) bool {
	select {
	case <-r.done:
	case <-ctx.Done():
	}
	select {
	case <-r.done:
		_, ok := r.parts[part]
		return ok
	default:
		return false
	}
}

// result returns the recent result for an engine, or that of a query that it starts.
func (l *Locator) result(ctx context.Context, e figseam.ListedEndpoint) *result {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.results[e.ID]; ok {
		return r
	}
	r := &result{expiresAt: figseam.DeadlineAfterMillis(resultTTLMillis), done: make(chan struct{}), parts: map[string]struct{}{}}
	l.results[e.ID] = r
	go l.runQuery(context.WithoutCancel(ctx), r, e)
	return r
}

// runQuery queries the engine and completes the result. Callers share the result, so
// the query is not cancelled with the request that started it.
func (l *Locator) runQuery(ctx context.Context, r *result, e figseam.ListedEndpoint) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(ctx, queryTimeoutMillis*time.Millisecond)
	defer cancel()
	parts, err := l.query(ctx, e)
	if err != nil {
		l.onError(e, err)
		return
	}
	for _, p := range parts {
		r.parts[p.ID] = struct{}{}
	}
}

// evictExpired removes expired results.
func (l *Locator) evictExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.results {
		if r.expiresAt.Passed() {
			delete(l.results, id)
		}
	}
}
