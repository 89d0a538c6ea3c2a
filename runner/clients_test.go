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
	"github.com/figseam/figseam/platform"
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
			_, err := platform.NewStageController(newEngineClient()).QueryState(t.Context(), e)
			return err
		}},
		{"order to an engine", func() error {
			_, err := platform.NewStageController(newEngineClient()).ChangeStage(t.Context(), e, figseam.StageChange{})
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
