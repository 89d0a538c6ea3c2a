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

// engines are stand-ins that say what they keep.
type engines struct {
	// mu guards everything below.
	mu     sync.Mutex
	cached map[string][]string
	asked  map[string]int
}

func (e *engines) ask(ctx context.Context, engine figseam.ListedEndpoint) ([]figseam.PromptPart, error) {
	e.mu.Lock()
	e.asked[engine.ID]++
	cached, well := e.cached[engine.ID]
	e.mu.Unlock()
	if engine.ID == "silent" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(3 * time.Millisecond)
	if !well {
		return nil, errors.New("unreachable")
	}
	var parts []figseam.PromptPart
	for _, id := range cached {
		parts = append(parts, figseam.PromptPart{ID: id, Tokens: 10})
	}
	return parts, nil
}

func listed(ids ...string) (all []figseam.ListedEndpoint) {
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

func TestFind(t *testing.T) {
	tests := []struct {
		name    string
		cached  map[string][]string
		engines []string
		want    []string
	}{
		{"nobody keeps it", map[string][]string{"a": {"x"}, "b": nil}, []string{"a", "b"}, nil},
		{"one keeps it", map[string][]string{"a": {"x"}, "b": {"y", "part"}}, []string{"a", "b"}, []string{"b"}},
		{"two keep it", map[string][]string{"a": {"part"}, "b": {"part"}}, []string{"a", "b"}, []string{"a", "b"}},
		{"one cannot be reached", map[string][]string{"b": {"part"}}, []string{"a", "b"}, []string{"b"}},
		{"one does not answer", map[string][]string{"a": {"part"}}, []string{"silent", "a"}, []string{"a"}},
		{"no engines", nil, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &engines{cached: test.cached, asked: map[string]int{}}
				began := time.Now()
				found := locator.New(e.ask, func(figseam.ListedEndpoint, error) {}).Find(t.Context(), listed(test.engines...), "part")
				require.Equal(t, test.want, idsOf(found))
				require.LessOrEqual(t, time.Since(began), 150*time.Millisecond)
			})
		})
	}
}

// TestEnginesAreAskedOnce replays the return of all callers at the same moment: the
// engines are asked once, and again when their answers are out of date.
func TestEnginesAreAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{cached: map[string][]string{"a": {"part"}, "b": {}}, asked: map[string]int{}}
		l := locator.New(e.ask, func(figseam.ListedEndpoint, error) {})
		var callers sync.WaitGroup
		for range 50 {
			callers.Go(func() { require.Equal(t, []string{"a"}, idsOf(l.Find(t.Context(), listed("a", "b"), "part"))) })
		}
		callers.Wait()
		require.Equal(t, map[string]int{"a": 1, "b": 1}, e.asked)

		time.Sleep(time.Second)
		e.mu.Lock()
		e.cached["a"], e.cached["b"] = nil, []string{"part"}
		e.mu.Unlock()
		require.Equal(t, []string{"b"}, idsOf(l.Find(t.Context(), listed("a", "b"), "part")))
		require.Equal(t, map[string]int{"a": 2, "b": 2}, e.asked)
	})
}

// TestCallerWhoLeavesIsNotHeld holds that a caller who leaves ends the search, and
// that others still get the answers.
func TestCallerWhoLeavesIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{cached: map[string][]string{"a": {"part"}}, asked: map[string]int{}}
		l := locator.New(e.ask, func(figseam.ListedEndpoint, error) {})
		gone, leave := context.WithCancel(t.Context())
		leave()
		require.Empty(t, l.Find(gone, listed("a"), "part"))
		require.Equal(t, []string{"a"}, idsOf(l.Find(t.Context(), listed("a"), "part")))
		require.Equal(t, 1, e.asked["a"])
	})
}
