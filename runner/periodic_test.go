package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/recoverer"
)

// TestPeriodicTaskRunsOnAfterPanic checks that a task that panics once is called again.
func TestPeriodicTaskRunsOnAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		before, calls := recoverer.Count(), 0
		stopped := runPeriodically(ctx, zerolog.Nop(), "test", 100, func(context.Context) {
			if calls++; calls == 1 {
				panic("first call")
			}
		})
		time.Sleep(350 * time.Millisecond)
		cancel()
		<-stopped
		require.Equal(t, 3, calls)
		require.Equal(t, before+1, recoverer.Count())
	})
}
