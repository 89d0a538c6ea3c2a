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

// TestNearEnginesAreAskedFirst replays a caller that comes back to an instance of a
// fleet with more engines than may be asked for its prompt.
func TestNearEnginesAreAskedFirst(t *testing.T) {
	const near, far = 100, 200
	synctest.Test(t, func(t *testing.T) {
		var endpoints []figseam.ListedEndpoint
		for i := range far + near {
			centre := figseam.DataCentre("there")
			if i >= far {
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
		asked := map[figseam.DataCentre]int{}
		r.caches = locator.New(func(_ context.Context, e figseam.ListedEndpoint) ([]figseam.PromptPart, error) {
			mu.Lock()
			defer mu.Unlock()
			asked[e.DataCentre]++
			if e.ID == "299" {
				return []figseam.PromptPart{{ID: "part"}}, nil
			}
			return nil, nil
		}, r.noteUnasked)
		u := &task{
			Relayer: r, service: "s", route: &figseam.HostRoute{Semantics: figseam.ResumableStream},
			request: figseam.OpaqueRequest{LastEventID: 3, Prompt: figseam.Prompt{Parts: []figseam.PromptPart{{ID: "shared"}, {ID: "part"}}}},
		}
		u.findCached(t.Context())
		require.Equal(t, "299", u.cachedAtID())
		synctest.Wait()
		require.Equal(t, map[figseam.DataCentre]int{"here": near, "there": askedMost - near}, asked)
	})
}
