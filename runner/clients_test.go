package runner

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/lister"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/throttler"
)

// TestLongHeadsAreRejected guards against an engine or a list whose head takes up the memory
// of a voter, which asks many engines at a time.
func TestLongHeadsAreRejected(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Filler", strings.Repeat("x", 1<<20))
		_, _ = io.WriteString(w, `{"stage":"decode","instances":[]}`)
	}))
	defer server.Close()
	e := figseam.ListedEndpoint{ID: "e", Address: server.Listener.Addr().String()}
	tests := []struct {
		name string
		call func() error
	}{
		{"state of an engine", func() error {
			_, err := platform.NewStageController(newEngineClient(), func(figseam.ListedEndpoint, figseam.EndpointNotice) {}).QueryState(t.Context(), e)
			return err
		}},
		{"order to an engine", func() error {
			_, err := platform.NewStageController(newEngineClient(), func(figseam.ListedEndpoint, figseam.EndpointNotice) {}).ChangeStage(t.Context(), e, figseam.StageChange{})
			return err
		}},
		{"list", func() error {
			_, err := platform.NewEndpointSource(newListClient(), e.Address, zerolog.Nop()).Read(t.Context())
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Error(t, tt.call())
		})
	}
}

// TestEnginesNoticesReachTheList guards against orders to an engine that says in its answers to
// a voter that it leaves, or that asks it for a pause.
func TestEnginesNoticesReachTheList(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	e := figseam.ListedEndpoint{ID: "e", Service: "s", Address: server.Listener.Addr().String()}
	tests := []struct {
		name string
		call func(c *platform.StageController) error
	}{
		{"query of the state", func(c *platform.StageController) error {
			_, err := c.QueryState(t.Context(), e)
			return err
		}},
		{"order", func(c *platform.StageController) error {
			_, err := c.ChangeStage(t.Context(), e, figseam.StageChange{})
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := &Voter{base: &base{list: lister.New(nil, nil, zerolog.Nop())}, pauses: throttler.New("", zerolog.Nop())}
			v.list.Merge(lister.Snapshot{Loaded: true, Digest: 1, Endpoints: []figseam.ListedEndpoint{e}})
			require.False(t, v.list.SaysItLeaves(e))
			_ = tt.call(platform.NewStageController(newEngineClient(), v.recordNotice))
			require.True(t, v.list.SaysItLeaves(e))
			require.False(t, v.list.AcceptsWork(e))
			require.True(t, v.pauses.Paused(e))
		})
	}
}
