package lister_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/lister"
)

// TestLeavingRunIsForgottenOnceItHasEnded guards against an endpoint that is used again since a
// list lacked it for a moment, and against statements that are kept for ever.
func TestLeavingRunIsForgottenOnceItHasEnded(t *testing.T) {
	e := figseam.ListedEndpoint{ID: "e", Service: "s", Address: "e:1"}
	other := figseam.ListedEndpoint{ID: "o", Service: "s", Address: "o:1"}
	tests := []struct {
		name       string
		unlisted   time.Duration
		acceptsNow bool
	}{
		{"for a moment", 2 * time.Second, false},
		{"for half a minute", 30 * time.Second, false},
		{"for longer", 61 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := lister.New(nil, nil, zerolog.Nop())
				digest := uint64(1)
				list := func(endpoints ...figseam.ListedEndpoint) {
					time.Sleep(time.Second)
					digest++
					l.Merge(lister.Snapshot{Loaded: true, Digest: digest, Endpoints: endpoints})
				}
				list(e)
				require.True(t, l.AcceptsWork(e))
				l.RecordLeaving(e)
				require.False(t, l.AcceptsWork(e))
				require.Equal(t, 1, l.LeavingCount())
				time.Sleep(2 * time.Minute)
				list(e, other)
				require.False(t, l.AcceptsWork(e), "it is listed all the time")
				list(other)
				require.Zero(t, l.LeavingCount())
				time.Sleep(tt.unlisted)
				list()
				list(e, other)
				require.Equal(t, tt.acceptsNow, l.AcceptsWork(e))
			})
		})
	}
}
