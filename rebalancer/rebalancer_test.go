package rebalancer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/rebalancer"
)

func load(prefill, decode int, prefillMillis, decodeTokens float64) rebalancer.Load {
	l := rebalancer.Load{Churn: rebalancer.ChurnLow, MemoryTokens: 1000, OfferedPrefillMillis: prefillMillis, OfferedDecodeTokens: decodeTokens}
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

// after returns the load some time after an engine came or went.
func after(turnover rebalancer.Churn, l rebalancer.Load) rebalancer.Load {
	l.Churn = turnover
	return l
}

// away returns the load while the last n decode engines still change their stage.
func away(l rebalancer.Load, n int) rebalancer.Load {
	for i := range n {
		l.Engines[len(l.Engines)-1-i].ChangingStage = true
	}
	return l
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name string
		load rebalancer.Load
		want figseam.EndpointStage
	}{
		{"balanced", load(4, 8, 1600, 3600), figseam.EndpointStageNone},
		{"long answers", load(6, 6, 500, 6500), figseam.EndpointStageDecode},
		{"long prompts", load(3, 9, 2600, 2000), figseam.EndpointStagePrefill},
		{"hardly any load", load(6, 6, 50, 500), figseam.EndpointStageNone},
		{"a few prefill engines stay", load(2, 10, 100, 9000), figseam.EndpointStageNone},
		{"a few decode engines stay", load(10, 2, 9000, 100), figseam.EndpointStageNone},
		{"no engines of a stage", load(0, 5, 500, 4000), figseam.EndpointStageNone},
		{"a burst that raises both alike", load(4, 8, 3200, 7200), figseam.EndpointStageNone},
		{"a small gain", load(5, 7, 1300, 3900), figseam.EndpointStageDecode},
		{"a small gain for prompts", load(3, 9, 1900, 3000), figseam.EndpointStagePrefill},
		{"prefill engines crashed a moment ago", after(rebalancer.ChurnHigh, load(2, 7, 2600, 3600)), figseam.EndpointStageNone},
		{"they are not back", after(rebalancer.ChurnModerate, load(2, 7, 2600, 3600)), figseam.EndpointStagePrefill},
		{"a small gain while engines come and go", after(rebalancer.ChurnModerate, load(5, 7, 1300, 3900)), figseam.EndpointStageNone},
		{"a burst on idle prefill engines", load(5, 7, 1800, 9000), figseam.EndpointStageDecode},
		{"a burst on both, none can be spared", load(5, 7, 3900, 7400), figseam.EndpointStageNone},
		{"a side that is nearly as busy cannot spare one", load(5, 7, 3000, 6720), figseam.EndpointStageNone},
		{"the next one while the first is away", away(load(3, 9, 1300, 4700), 2), figseam.EndpointStageNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			changes := rebalancer.PlanChanges(test.load)
			if test.want == figseam.EndpointStageNone {
				require.Empty(t, changes)
				return
			}
			require.NotEmpty(t, changes)
			require.Len(t, changes, 1, "one of a dozen engines at a time")
			require.Equal(t, test.want, changes[0].Stage)
		})
	}
}

// TestChangesSettle holds that changes end: no load makes engines change to and fro.
func TestChangesSettle(t *testing.T) {
	for prefillMillis := 200.0; prefillMillis < 8000; prefillMillis += 350 {
		for decodeTokens := 500.0; decodeTokens < 10_000; decodeTokens += 450 {
			l := load(5, 7, prefillMillis, decodeTokens)
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

// TestLargeFleetsChangeInSteps replays the start of a fleet of 60 engines with far
// too many of them for prefill: no single change gains much, all together do.
func TestLargeFleetsChangeInSteps(t *testing.T) {
	l := load(21, 39, 6300, 33_000)
	changes := rebalancer.PlanChanges(l)
	require.Len(t, changes, 6, "a tenth of the engines at once")
	seen := map[string]bool{}
	for _, c := range changes {
		require.Equal(t, figseam.EndpointStageDecode, c.Stage)
		require.False(t, seen[c.Endpoint.ID], "an engine is ordered twice")
		seen[c.Endpoint.ID] = true
	}
	for i := range l.Engines {
		if seen[l.Engines[i].Endpoint.ID] {
			l.Engines[i].Endpoint.Stage, l.Engines[i].ChangingStage = figseam.EndpointStageDecode, true
		}
	}
	require.Empty(t, rebalancer.PlanChanges(l), "the next ones wait until these are back")
	for i := range l.Engines {
		l.Engines[i].ChangingStage = false
	}
	require.NotEmpty(t, rebalancer.PlanChanges(l))
}
