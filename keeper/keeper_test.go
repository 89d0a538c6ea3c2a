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

// direct applies commands at once.
type direct struct{ machine *keeper.Machine }

func (d direct) Propose(_ context.Context, c figseam.Command) ([]byte, error) {
	return d.machine.Apply(figseam.CommittedCommand{Body: c.Body}), nil
}

// TestHighestVersionIsInForce puts versions in any order, with snapshots between,
// against an oracle that keeps the first content of the highest version.
func TestHighestVersionIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := keeper.NewMachine()
		highest, content := uint64(0), ""
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := keeper.NewStore(direct{machine})
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				data, err := machine.Snapshot()
				require.NoError(t, err)
				machine = keeper.NewMachine()
				require.NoError(t, machine.Restore(data))
				continue
			}
			version := rapid.Uint64Range(1, 12).Draw(t, "version")
			text := fmt.Sprintf("text %d of version %d", i, version)
			inForce, err := k.Put(context.Background(), version, []byte(text))
			require.NoError(t, err)
			if version > highest {
				highest, content = version, text
			}
			require.Equal(t, highest, inForce)
			got, read, err := k.Read(context.Background())
			require.NoError(t, err)
			require.Equal(t, highest, got)
			require.Equal(t, content, string(read))
		}
	})
}

func TestChangeIsTold(t *testing.T) {
	machine := keeper.NewMachine()
	k := keeper.NewStore(direct{machine})
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
		t.Fatal("an older version was taken for a change")
	default:
	}
}
