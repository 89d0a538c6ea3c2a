package keeper_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/keeper"
)

// directProposer applies commands to the state machine without a replicated log.
type directProposer struct{ machine *keeper.Machine }

func (d directProposer) Propose(_ context.Context, c figseam.Command) ([]byte, error) {
	return d.machine.Apply(figseam.CommittedCommand{Body: c.Body}), nil
}

// TestHighestVersionIsCurrent puts versions in random order, with snapshots and restores
// in between, and compares the result with a model that keeps the first text put under
// the highest version.
func TestHighestVersionIsCurrent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := keeper.NewMachine()
		wantVersion, wantText := uint64(0), ""
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := keeper.NewStore(directProposer{machine})
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				data, err := machine.Snapshot()
				require.NoError(t, err)
				machine = keeper.NewMachine()
				require.NoError(t, machine.Restore(data))
				continue
			}
			version := rapid.Uint64Range(1, 12).Draw(t, "version")
			text := fmt.Sprintf("text %d of version %d", i, version)
			current, err := k.Put(context.Background(), version, []byte(text))
			require.NoError(t, err)
			if version > wantVersion {
				wantVersion, wantText = version, text
			}
			require.Equal(t, wantVersion, current)
			gotVersion, gotText, err := k.Read(context.Background())
			require.NoError(t, err)
			require.Equal(t, wantVersion, gotVersion)
			require.Equal(t, wantText, string(gotText))
		}
	})
}

func TestChannelClosedOnlyForHigherVersion(t *testing.T) {
	machine := keeper.NewMachine()
	k := keeper.NewStore(directProposer{machine})
	_, changed := machine.Current()
	_, err := k.Put(t.Context(), 3, []byte("a"))
	require.NoError(t, err)
	<-changed
	d, changed := machine.Current()
	require.EqualValues(t, 3, d.Version)
	_, err = k.Put(t.Context(), 2, []byte("b"))
	require.NoError(t, err)
	select {
	case <-changed:
		t.Fatal("a lower version closed the channel")
	default:
	}
}
