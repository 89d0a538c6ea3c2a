package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/selector"
)

// fleet is a fleet of decode engines in three data centres, on which generations stay
// for a number of steps.
type fleet struct {
	random  *rand.Rand
	memory  int
	engines []figseam.ListedEndpoint
	used    []int
	leaving map[int][]placed // by step
	// packs places generations where least memory is left.
	packs bool
}

type placed struct{ engine, tokens int }

func newFleet(n int, packs bool) *fleet {
	f := &fleet{random: source(), memory: 58_000, used: make([]int, n), leaving: map[int][]placed{}, packs: packs}
	for i := range n {
		f.engines = append(f.engines, decode(fmt.Sprint(i), centreOf(i)))
	}
	return f
}

func centreOf(i int) figseam.DataCentre { return figseam.DataCentre(fmt.Sprintf("dc%d", i%3)) }

// place places a generation from a data centre and returns its engine, or false if
// there is no room for it.
func (f *fleet) place(step, tokens int, home figseam.DataCentre) (int, bool) {
	var candidates []selector.Candidate
	for i, e := range f.engines {
		candidates = append(candidates, selector.Candidate{
			Endpoint: e, FillShare: float64(f.used[i]) / float64(f.memory), Packs: f.packs, Full: f.used[i]+tokens > f.memory,
		})
	}
	choice, ok := selector.Choose(candidates, home, f.random)
	if !ok {
		return 0, false
	}
	var engine int
	_, _ = fmt.Sscan(choice.Candidate.Endpoint.ID, &engine)
	f.used[engine] += tokens
	end := step + 20 + f.random.IntN(60)
	f.leaving[end] = append(f.leaving[end], placed{engine, tokens})
	return engine, true
}

func (f *fleet) step(step int) {
	for _, p := range f.leaving[step] {
		f.used[p.engine] -= p.tokens
	}
	delete(f.leaving, step)
}

// TestLargePromptsFindRoom replays a burst of prompts of all sizes on nearly full
// engines. Placed on the emptiest engine, small ones leave gaps everywhere that are too
// small for large ones; placed where least is left, they do not.
func TestLargePromptsFindRoom(t *testing.T) {
	refusedLarge := func(packs bool) float64 {
		f := newFleet(8, packs)
		large, refused := 0, 0
		for step := range 20_000 {
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
	emptiest, fullest := refusedLarge(false), refusedLarge(true)
	require.Positive(t, emptiest)
	require.Less(t, fullest, 0.9*emptiest)
}

// TestGenerationsStayInTheirDataCentre replays data centres that lose each other: few
// streams may cross between them, or most of them break at once.
func TestGenerationsStayInTheirDataCentre(t *testing.T) {
	f := newFleet(9, true)
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
	require.Less(t, float64(crossing)/float64(streams), 0.25, "placed anywhere, two of three cross")
}
