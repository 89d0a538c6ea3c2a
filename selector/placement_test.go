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
			Endpoint: e, MemoryUtilization: float64(f.used[i]) / float64(f.memory), BestFit: f.packs, Full: f.used[i]+tokens > f.memory,
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

// prefillCall is a prompt that an engine reads: others hear of it a moment after it
// began, and until it has ended.
type prefillCall struct{ began, ends int }

// prefillFleet is a fleet of prefill engines in three data centres.
type prefillFleet struct {
	random *rand.Rand
	calls  [][]prefillCall
	freeAt []int
}

const (
	readingMillis = 125
	// fixedMillis passes in every call while the engine may read other prompts.
	fixedMillis = 93
	// hearsayMillis is how late instances hear of each other's calls.
	hearsayMillis = 100
)

// heard returns the candidates as an instance sees them at a time.
func (f *prefillFleet) heard(now int) []selector.Candidate {
	var candidates []selector.Candidate
	for i, calls := range f.calls {
		n := 0
		for _, c := range calls {
			if c.began <= now-hearsayMillis && c.ends > now-hearsayMillis {
				n++
			}
		}
		candidates = append(candidates, selector.Candidate{Endpoint: at(fmt.Sprint(i), centreOf(i)), WorkMillis: float64(n * readingMillis)})
	}
	return candidates
}

// read has an engine read a prompt and returns how long that waits for others.
func (f *prefillFleet) read(engine, now int) int {
	wait := max(0, f.freeAt[engine]-now)
	f.freeAt[engine] = now + wait + readingMillis
	call := prefillCall{began: now, ends: now + wait + readingMillis + fixedMillis}
	f.calls[engine] = append(f.calls[engine], call)
	if old := f.calls[engine]; old[0].ends < now-hearsayMillis {
		f.calls[engine] = old[1:]
	}
	return wait
}

// TestManyInstancesDoNotChooseTheSameEngine replays dozens of instances that place
// prefills by what they hear of each other a moment late. If each compares all engines,
// all choose the one that seems idle.
func TestManyInstancesDoNotChooseTheSameEngine(t *testing.T) {
	const engines, pauseMillis, prompts = 15, 16, 6000
	meanWait := func(others float64) float64 {
		f := &prefillFleet{random: source(), calls: make([][]prefillCall, engines), freeAt: make([]int, engines)}
		waited := 0
		now := 0
		for range prompts {
			now += f.random.IntN(2 * pauseMillis)
			choice, ok := selector.Choose(selector.Sample(f.heard(now), others, f.random), centreOf(f.random.IntN(3)), f.random)
			require.True(t, ok)
			var engine int
			_, _ = fmt.Sscan(choice.Candidate.Endpoint.ID, &engine)
			waited += f.read(engine, now)
		}
		return float64(waited) / prompts
	}
	all, some := meanWait(0), meanWait(hearsayMillis/pauseMillis)
	t.Logf("wait for other prompts: %.0f ms if all are compared, %.0f ms if some are", all, some)
	require.Less(t, some, 0.8*all)
}

func TestSample(t *testing.T) {
	resting := selector.Candidate{Endpoint: at("resting", "here"), ConsecutiveFailures: 3, SinceFailureMillis: 10}
	well := make([]selector.Candidate, 12)
	for i := range well {
		well[i] = selector.Candidate{Endpoint: at(fmt.Sprint(i), "here")}
	}
	tests := []struct {
		name       string
		candidates []selector.Candidate
		others     float64
		want       int
	}{
		{"nobody else", well, 0, 12},
		{"few others", well, 2.9, 12},
		{"some others", well, 3, 3},
		{"many others", well, 100, 2},
		{"one is left", []selector.Candidate{well[0], resting}, 100, 2},
		{"all rest", []selector.Candidate{resting, resting}, 100, 2},
		{"those that rest are left out", append([]selector.Candidate{resting, resting}, well...), 5, 2},
		{"none", nil, 5, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := selector.Sample(test.candidates, test.others, source())
			require.Len(t, got, test.want)
			if len(got) < len(test.candidates) {
				for _, c := range got {
					require.False(t, selector.InBackoff(c))
				}
			}
		})
	}
}
