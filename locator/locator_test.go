package locator_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/locator"
)

// fakeEngines simulates engines with cached parts. The engine with the ID "silent" never
// responds; any other engine that is not in cached is unreachable.
type fakeEngines struct {
	// mu guards everything below.
	mu      sync.Mutex
	cached  map[string][]string
	queries map[string]int
}

func (e *fakeEngines) query(ctx context.Context, engine figseam.ListedEndpoint) ([]figseam.PromptPart, error) {
	e.mu.Lock()
	e.queries[engine.ID]++
	cached, reachable := e.cached[engine.ID]
	e.mu.Unlock()
	if engine.ID == "silent" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(3 * time.Millisecond)
	if !reachable {
		return nil, errors.New("unreachable")
	}
	var parts []figseam.PromptPart
	for _, id := range cached {
		parts = append(parts, figseam.PromptPart{ID: id, Tokens: 10})
	}
	return parts, nil
}

func endpointsOf(ids ...string) (all []figseam.ListedEndpoint) {
	for _, id := range ids {
		all = append(all, figseam.ListedEndpoint{ID: id})
	}
	return all
}

func idsOf(all []figseam.ListedEndpoint) (ids []string) {
	for _, e := range all {
		ids = append(ids, e.ID)
	}
	return ids
}

func TestFindReturnsEnginesThatHavePart(t *testing.T) {
	tests := []struct {
		name    string
		cached  map[string][]string
		engines []string
		want    []string
	}{
		{"no engine has the part", map[string][]string{"a": {"x"}, "b": nil}, []string{"a", "b"}, nil},
		{"one engine has the part", map[string][]string{"a": {"x"}, "b": {"y", "part"}}, []string{"a", "b"}, []string{"b"}},
		{"two engines have the part", map[string][]string{"a": {"part"}, "b": {"part"}}, []string{"a", "b"}, []string{"a", "b"}},
		{"one engine is unreachable", map[string][]string{"b": {"part"}}, []string{"a", "b"}, []string{"b"}},
		{"one engine does not respond", map[string][]string{"a": {"part"}}, []string{"silent", "a"}, []string{"a"}},
		{"no engines", nil, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngines{cached: test.cached, queries: map[string]int{}}
				began := time.Now()
				found := locator.New(e.query, func(figseam.ListedEndpoint, error) {}).Find(t.Context(), endpointsOf(test.engines...), "part")
				require.Equal(t, test.want, idsOf(found))
				require.LessOrEqual(t, time.Since(began), 150*time.Millisecond)
			})
		})
	}
}

// TestConcurrentFindsQueryEachEngineOnce guards against a query per caller when all
// callers reconnect at the same moment. Each engine is queried once, and again after
// the result has expired.
func TestConcurrentFindsQueryEachEngineOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{cached: map[string][]string{"a": {"part"}, "b": {}}, queries: map[string]int{}}
		l := locator.New(e.query, func(figseam.ListedEndpoint, error) {})
		var callers sync.WaitGroup
		for range 50 {
			callers.Go(func() { require.Equal(t, []string{"a"}, idsOf(l.Find(t.Context(), endpointsOf("a", "b"), "part"))) })
		}
		callers.Wait()
		require.Equal(t, map[string]int{"a": 1, "b": 1}, e.queries)

		time.Sleep(time.Second)
		e.mu.Lock()
		e.cached["a"], e.cached["b"] = nil, []string{"part"}
		e.mu.Unlock()
		require.Equal(t, []string{"b"}, idsOf(l.Find(t.Context(), endpointsOf("a", "b"), "part")))
		require.Equal(t, map[string]int{"a": 2, "b": 2}, e.queries)
	})
}

// TestCancelledFindReturnsWhileItsQueryCompletes checks that Find returns when its caller
// disconnects, and that the query completes and its result is reused for other callers.
func TestCancelledFindReturnsWhileItsQueryCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{cached: map[string][]string{"a": {"part"}}, queries: map[string]int{}}
		l := locator.New(e.query, func(figseam.ListedEndpoint, error) {})
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		require.Empty(t, l.Find(cancelled, endpointsOf("a"), "part"))
		require.Equal(t, []string{"a"}, idsOf(l.Find(t.Context(), endpointsOf("a"), "part")))
		require.Equal(t, 1, e.queries["a"])
	})
}
