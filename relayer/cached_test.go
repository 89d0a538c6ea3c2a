package relayer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/lister"
	"github.com/figseam/figseam/locator"
	"github.com/figseam/figseam/selector"
)

// TestFindCachedPromptQueriesLocalEnginesFirst guards against a cached prompt that is not
// found when a caller reconnects and the fleet has more engines than may be queried: the
// limit must not exclude engines of the instance's own data centre.
func TestFindCachedPromptQueriesLocalEnginesFirst(t *testing.T) {
	const localEngines, remoteEngines = 100, 200
	synctest.Test(t, func(t *testing.T) {
		var endpoints []figseam.ListedEndpoint
		for i := range remoteEngines + localEngines {
			centre := figseam.DataCentre("there")
			if i >= remoteEngines {
				centre = "here"
			}
			endpoints = append(endpoints, figseam.ListedEndpoint{
				ID: fmt.Sprintf("%03d", i), Service: "s", Stage: figseam.EndpointStageDecode, DataCentre: centre,
			})
		}
		list := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
		list.Merge(lister.Snapshot{Loaded: true, Digest: 1, Endpoints: endpoints})
		r := New(Settings{EndpointList: list, Tracker: selector.NewTracker(), DataCentre: "here"})
		var mu sync.Mutex
		queries := map[figseam.DataCentre]int{}
		r.cacheLocator = locator.New(func(_ context.Context, e figseam.ListedEndpoint) ([]figseam.PromptPart, error) {
			mu.Lock()
			defer mu.Unlock()
			queries[e.DataCentre]++
			if e.ID == "299" {
				return []figseam.PromptPart{{ID: "part"}}, nil
			}
			return nil, nil
		}, r.logCacheQueryFailure)
		reconnected := &task{
			Relayer: r, service: "s", route: &figseam.HostRoute{Semantics: figseam.ResumableStream},
			request: figseam.OpaqueRequest{LastEventID: 3, Prompt: figseam.Prompt{Parts: []figseam.PromptPart{{ID: "shared"}, {ID: "part"}}}},
		}
		reconnected.findCachedPrompt(t.Context())
		require.Equal(t, "299", reconnected.cacheEngineID())
		synctest.Wait()
		require.Equal(t, map[figseam.DataCentre]int{"here": localEngines, "there": maxCacheQueries - localEngines}, queries)
	})
}
