package rebalancer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/rebalancer"
)

func newLoad(prefill, decode int, prefillMillis, decodeTokens float64) rebalancer.Load {
	l := rebalancer.Load{Churn: rebalancer.ChurnLow, EngineMemoryTokens: 1000, OfferedPrefillMillis: prefillMillis, OfferedDecodeTokens: decodeTokens}
	add := func(n int, stage figseam.EndpointStage) {
		for i := range n {
			centre := figseam.DataCentre(fmt.Sprintf("dc%d", i%2))
			l.Engines = append(l.Engines, rebalancer.Engine{Endpoint: figseam.ListedEndpoint{
				ID: fmt.Sprintf("%d-%d", stage, i), Stage: stage, DataCentre: centre,
			}})
		}
	}
	add(prefill, figseam.EndpointStagePrefill)
	add(decode, figseam.EndpointStageDecode)
	return l
}

// withChurn returns the load with a level of churn.
func withChurn(churn rebalancer.Churn, l rebalancer.Load) rebalancer.Load {
	l.Churn = churn
	return l
}

// withChangingEngines returns the load while the last n decode engines still change their
// stage.
func withChangingEngines(l rebalancer.Load, n int) rebalancer.Load {
	for i := range n {
		l.Engines[len(l.Engines)-1-i].ChangingStage = true
	}
	return l
}

func TestPlanChangesRequiresGainAndSpareCapacity(t *testing.T) {
	tests := []struct {
		name string
		load rebalancer.Load
		want figseam.EndpointStage
	}{
		{"balanced", newLoad(4, 8, 1600, 3600), figseam.EndpointStageNone},
		{"long answers", newLoad(6, 6, 500, 6500), figseam.EndpointStageDecode},
		{"long prompts", newLoad(3, 9, 2600, 2000), figseam.EndpointStagePrefill},
		{"low load", newLoad(6, 6, 50, 500), figseam.EndpointStageNone},
		{"minimum of prefill engines is kept", newLoad(2, 10, 100, 9000), figseam.EndpointStageNone},
		{"minimum of decode engines is kept", newLoad(10, 2, 9000, 100), figseam.EndpointStageNone},
		{"no engines of a stage", newLoad(0, 5, 500, 4000), figseam.EndpointStageNone},
		{"burst that raises both loads alike", newLoad(4, 8, 3200, 7200), figseam.EndpointStageNone},
		{"small gain for decode", newLoad(5, 7, 1300, 3900), figseam.EndpointStageDecode},
		{"small gain for prefill", newLoad(3, 9, 1900, 3000), figseam.EndpointStagePrefill},
		{"prefill engines just crashed", withChurn(rebalancer.ChurnHigh, newLoad(2, 7, 2600, 3600)), figseam.EndpointStageNone},
		{"crashed prefill engines have not restarted", withChurn(rebalancer.ChurnModerate, newLoad(2, 7, 2600, 3600)), figseam.EndpointStagePrefill},
		{"small gain during moderate churn", withChurn(rebalancer.ChurnModerate, newLoad(5, 7, 1300, 3900)), figseam.EndpointStageNone},
		{"burst while prefill engines idle", newLoad(5, 7, 1800, 9000), figseam.EndpointStageDecode},
		{"burst on both stages without spare capacity", newLoad(5, 7, 3900, 7400), figseam.EndpointStageNone},
		{"stage that is nearly as busy has no spare capacity", newLoad(5, 7, 3000, 6720), figseam.EndpointStageNone},
		{"limit of concurrent changes is reached", withChangingEngines(newLoad(3, 9, 1300, 4700), 2), figseam.EndpointStageNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			changes := rebalancer.PlanChanges(test.load)
			if test.want == figseam.EndpointStageNone {
				require.Empty(t, changes)
				return
			}
			require.NotEmpty(t, changes)
			require.Len(t, changes, 1, "of a dozen engines one may change at a time")
			require.Equal(t, test.want, changes[0].Stage)
		})
	}
}

// TestRepeatedPlanChangesConverge checks that no load makes engines change their stage
// back and forth.
func TestRepeatedPlanChangesConverge(t *testing.T) {
	for prefillMillis := 200.0; prefillMillis < 8000; prefillMillis += 350 {
		for decodeTokens := 500.0; decodeTokens < 10_000; decodeTokens += 450 {
			l := newLoad(5, 7, prefillMillis, decodeTokens)
			changes := 0
			for c := rebalancer.PlanChanges(l); len(c) > 0; c = rebalancer.PlanChanges(l) {
				for i := range l.Engines {
					if l.Engines[i].Endpoint.ID == c[0].Endpoint.ID {
						l.Engines[i].Endpoint.Stage = c[0].Stage
					}
				}
				changes++
				require.Less(t, changes, 6)
			}
		}
	}
}

// TestLargeFleetChangesAreLimitedByLoadOfSource replays a fleet that starts with a third of
// its engines for prefill, while its traffic consists of long answers. The decode engines
// would be full in the first burst if only a tenth of the engines changed at a time.
func TestLargeFleetChangesAreLimitedByLoadOfSource(t *testing.T) {
	tests := []struct {
		name string
		load rebalancer.Load
		want int
	}{
		{"prefill engines idle", newLoad(20, 36, 3010, 15_800), 10},
		{"prefill engines idle, and a few engines change already", withChangingEngines(newLoad(20, 36, 3010, 15_800), 5), 9},
		{"prefill engines idle, decode engines overloaded", newLoad(20, 36, 3010, 40_000), 14},
		{"prefill engines half idle", newLoad(20, 36, 9000, 40_000), 5},
		{"a dozen engines", newLoad(6, 6, 500, 6500), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Len(t, rebalancer.PlanChanges(test.load), test.want)
		})
	}
}

// TestLargeFleetChangesAreLimitedPerPlan starts a fleet of 60 engines with far too many
// prefill engines: no single change reaches the minimum gain, only several together do.
func TestLargeFleetChangesAreLimitedPerPlan(t *testing.T) {
	l := newLoad(21, 39, 6300, 33_000)
	changes := rebalancer.PlanChanges(l)
	require.Len(t, changes, 6, "a tenth of the engines at once")
	changed := map[string]bool{}
	for _, c := range changes {
		require.Equal(t, figseam.EndpointStageDecode, c.Stage)
		require.False(t, changed[c.Endpoint.ID], "an engine must not be planned twice")
		changed[c.Endpoint.ID] = true
	}
	for i := range l.Engines {
		if changed[l.Engines[i].Endpoint.ID] {
			l.Engines[i].Endpoint.Stage, l.Engines[i].ChangingStage = figseam.EndpointStageDecode, true
		}
	}
	require.Empty(t, rebalancer.PlanChanges(l), "further changes must wait until these have ended")
	for i := range l.Engines {
		l.Engines[i].ChangingStage = false
	}
	require.NotEmpty(t, rebalancer.PlanChanges(l))
}
