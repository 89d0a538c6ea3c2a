package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/selector"
)

// decodeFleet simulates decode engines in three data centres. Each generation holds memory
// of its engine for a number of steps.
type decodeFleet struct {
	random       *rand.Rand
	memoryTokens int
	engines      []figseam.ListedEndpoint
	usedTokens   []int
	endingAt     map[int][]reservation // reservations by the step at which they end
	// bestFit places generations where the least memory is left.
	bestFit bool
}

type reservation struct{ engine, tokens int }

func newDecodeFleet(n int, bestFit bool) *decodeFleet {
	f := &decodeFleet{random: newRandom(), memoryTokens: 58_000, usedTokens: make([]int, n), endingAt: map[int][]reservation{}, bestFit: bestFit}
	for i := range n {
		f.engines = append(f.engines, decodeEndpointAt(fmt.Sprint(i), centreOf(i)))
	}
	return f
}

func centreOf(i int) figseam.DataCentre { return figseam.DataCentre(fmt.Sprintf("dc%d", i%3)) }

// place places a generation from a data centre and returns its engine, or false if no
// engine has capacity.
func (f *decodeFleet) place(step, tokens int, home figseam.DataCentre) (int, bool) {
	var candidates []selector.Candidate
	for i, e := range f.engines {
		candidates = append(candidates, selector.Candidate{
			Endpoint: e, MemoryUtilization: float64(f.usedTokens[i]) / float64(f.memoryTokens), BestFit: f.bestFit, Full: f.usedTokens[i]+tokens > f.memoryTokens,
		})
	}
	choice, ok := selector.Choose(candidates, home, f.random)
	if !ok {
		return 0, false
	}
	var engine int
	_, _ = fmt.Sscan(choice.Candidate.Endpoint.ID, &engine)
	f.usedTokens[engine] += tokens
	end := step + 20 + f.random.IntN(60)
	f.endingAt[end] = append(f.endingAt[end], reservation{engine, tokens})
	return engine, true
}

func (f *decodeFleet) step(step int) {
	for _, r := range f.endingAt[step] {
		f.usedTokens[r.engine] -= r.tokens
	}
	delete(f.endingAt, step)
}

// TestBestFitRefusesFewerLargePrompts simulates a burst of prompts of all sizes on nearly
// full engines. If small prompts are placed on the engine with the most free memory, the
// memory that remains on each engine is too small for large prompts.
func TestBestFitRefusesFewerLargePrompts(t *testing.T) {
	refusedLargeRate := func(bestFit bool) float64 {
		f := newDecodeFleet(8, bestFit)
		large, refused := 0, 0
		for step := range 6000 {
			f.step(step)
			for range f.random.IntN(3) {
				tokens := 1500 + f.random.IntN(8500)
				_, ok := f.place(step, tokens, centreOf(f.random.IntN(3)))
				if tokens > 8000 {
					large++
					if !ok {
						refused++
					}
				}
			}
		}
		return float64(refused) / float64(large)
	}
	worstFit, bestFit := refusedLargeRate(false), refusedLargeRate(true)
	require.Positive(t, worstFit)
	require.Less(t, bestFit, 0.9*worstFit)
}

// TestFewGenerationsCrossDataCentres checks that few streams cross data centres: a network
// partition breaks all that do.
func TestFewGenerationsCrossDataCentres(t *testing.T) {
	f := newDecodeFleet(9, true)
	streams, crossing := 0, 0
	for step := range 5000 {
		f.step(step)
		home := centreOf(f.random.IntN(3))
		engine, ok := f.place(step, 1500+f.random.IntN(8500), home)
		require.True(t, ok)
		streams++
		if centreOf(engine) != home {
			crossing++
		}
	}
	require.Less(t, float64(crossing)/float64(streams), 0.25, "with random placement two of three streams cross")
}

// prefillCall is a prefill on an engine. Its start and its end are reported to other
// instances after reportDelayMillis.
type prefillCall struct{ started, ends int }

// prefillFleet simulates prefill engines in three data centres.
type prefillFleet struct {
	random       *rand.Rand
	calls        [][]prefillCall
	freeAtMillis []int
}

const (
	prefillMillis = 125
	// fixedMillis is the part of every call during which the engine can prefill other
	// prompts.
	fixedMillis = 93
	// reportDelayMillis is the delay after which calls are reported to other instances.
	reportDelayMillis = 100
)

// reportedCandidates returns the candidates as reported to an instance at a time.
func (f *prefillFleet) reportedCandidates(nowMillis int) []selector.Candidate {
	var candidates []selector.Candidate
	for i, calls := range f.calls {
		n := 0
		for _, c := range calls {
			if c.started <= nowMillis-reportDelayMillis && c.ends > nowMillis-reportDelayMillis {
				n++
			}
		}
		candidates = append(candidates, selector.Candidate{Endpoint: endpointAt(fmt.Sprint(i), centreOf(i)), WorkMillis: float64(n * prefillMillis)})
	}
	return candidates
}

// prefill starts a prefill on an engine and returns the time in milliseconds that it waits
// for earlier ones.
func (f *prefillFleet) prefill(engine, nowMillis int) int {
	waitMillis := max(0, f.freeAtMillis[engine]-nowMillis)
	f.freeAtMillis[engine] = nowMillis + waitMillis + prefillMillis
	call := prefillCall{started: nowMillis, ends: nowMillis + waitMillis + prefillMillis + fixedMillis}
	f.calls[engine] = append(f.calls[engine], call)
	if old := f.calls[engine]; old[0].ends < nowMillis-reportDelayMillis {
		f.calls[engine] = old[1:]
	}
	return waitMillis
}

// TestManyInstancesDoNotChooseTheSameEngine simulates dozens of instances that place
// prefills according to delayed reports of each other. If each instance compares all
// engines, all instances choose the engine that seems idle.
func TestManyInstancesDoNotChooseTheSameEngine(t *testing.T) {
	const engines, meanIntervalMillis, prompts = 15, 16, 6000
	meanWaitMillis := func(concurrentChoices float64) float64 {
		f := &prefillFleet{random: newRandom(), calls: make([][]prefillCall, engines), freeAtMillis: make([]int, engines)}
		waitedMillis := 0
		nowMillis := 0
		for range prompts {
			nowMillis += f.random.IntN(2 * meanIntervalMillis)
			choice, ok := selector.Choose(selector.Sample(f.reportedCandidates(nowMillis), concurrentChoices, f.random), centreOf(f.random.IntN(3)), f.random)
			require.True(t, ok)
			var engine int
			_, _ = fmt.Sscan(choice.Candidate.Endpoint.ID, &engine)
			waitedMillis += f.prefill(engine, nowMillis)
		}
		return float64(waitedMillis) / prompts
	}
	all, sampled := meanWaitMillis(0), meanWaitMillis(reportDelayMillis/meanIntervalMillis)
	t.Logf("mean wait: %.0f ms if all engines are compared, %.0f ms if a sample is", all, sampled)
	require.Less(t, sampled, 0.8*all)
}

func TestSampleReturnsFewCandidatesForManyConcurrentChoices(t *testing.T) {
	inBackoff := selector.Candidate{Endpoint: endpointAt("resting", "here"), ConsecutiveFailures: 3, SinceFailureMillis: 10}
	healthy := make([]selector.Candidate, 12)
	for i := range healthy {
		healthy[i] = selector.Candidate{Endpoint: endpointAt(fmt.Sprint(i), "here")}
	}
	tests := []struct {
		name       string
		candidates []selector.Candidate
		concurrent float64
		want       int
	}{
		{"no concurrent choices", healthy, 0, 12},
		{"few concurrent choices", healthy, 2.9, 12},
		{"some concurrent choices", healthy, 3, 3},
		{"many concurrent choices", healthy, 100, 2},
		{"one healthy candidate", []selector.Candidate{healthy[0], inBackoff}, 100, 2},
		{"all in backoff", []selector.Candidate{inBackoff, inBackoff}, 100, 2},
		{"candidates in backoff are excluded", append([]selector.Candidate{inBackoff, inBackoff}, healthy...), 5, 2},
		{"none", nil, 5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := selector.Sample(test.candidates, test.concurrent, newRandom())
			require.Len(t, got, test.want)
			if len(got) < len(test.candidates) {
				for _, c := range got {
					require.False(t, selector.InBackoff(c))
				}
			}
		})
	}
}
