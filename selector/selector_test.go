package selector_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/selector"
)

func at(id string, centre figseam.DataCentre) figseam.ListedEndpoint {
	return figseam.ListedEndpoint{ID: id, Address: id, DataCentre: centre, Service: "s"}
}

func decode(id string, centre figseam.DataCentre) figseam.ListedEndpoint {
	e := at(id, centre)
	e.Stage = figseam.EndpointStageDecode
	return e
}

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestChoose(t *testing.T) {
	resting := selector.Candidate{Endpoint: at("resting", "here"), ConsecutiveFailures: 3, SinceFailureMillis: 10}
	tests := []struct {
		name       string
		candidates []selector.Candidate
		want       string
		reason     figseam.Code
	}{
		{"none", nil, "", ""},
		{"least work", []selector.Candidate{{Endpoint: at("a", "here"), WorkMillis: 40}, {Endpoint: at("b", "here"), WorkMillis: 10}}, "b", selector.ReasonLeastWork},
		{"near before far", []selector.Candidate{{Endpoint: at("a", "there")}, {Endpoint: at("b", "here")}}, "b", selector.ReasonLeastWork},
		{"far before busy", []selector.Candidate{{Endpoint: at("a", "there")}, {Endpoint: at("b", "here"), WorkMillis: 100}}, "a", selector.ReasonLeastWork},
		{
			"a generation stays near",
			[]selector.Candidate{{Endpoint: decode("a", "there"), MemoryUtilization: 0.5}, {Endpoint: decode("b", "here"), MemoryUtilization: 0.9}},
			"b", selector.ReasonLeastWork,
		},
		{
			"a generation goes far before it waits",
			[]selector.Candidate{{Endpoint: decode("a", "there")}, {Endpoint: decode("b", "here"), Full: true}},
			"a", selector.ReasonLeastWork,
		},
		{"least memory left", []selector.Candidate{{Endpoint: at("a", "here"), MemoryUtilization: 0.5, BestFit: true}, {Endpoint: at("b", "here"), MemoryUtilization: 0.8, BestFit: true}}, "b", selector.ReasonLeastWork},
		{"emptier memory", []selector.Candidate{{Endpoint: at("a", "here"), MemoryUtilization: 0.8}, {Endpoint: at("b", "here"), MemoryUtilization: 0.5}}, "b", selector.ReasonLeastWork},
		{"full is left out", []selector.Candidate{{Endpoint: at("a", "here"), Full: true}, {Endpoint: at("b", "here"), WorkMillis: 900}}, "b", selector.ReasonLeastWork},
		{"resting is left alone while others are full", []selector.Candidate{resting, {Endpoint: at("b", "here"), Full: true}}, "", ""},
		{"resting is used if all rest", []selector.Candidate{resting}, "resting", selector.ReasonNoHealthyEndpoint},
		{"trial after the rest", []selector.Candidate{{Endpoint: at("a", "here"), ConsecutiveFailures: 2, SinceFailureMillis: 5000}}, "a", selector.ReasonProbe},
		{
			"one trial at a time",
			[]selector.Candidate{{Endpoint: at("a", "here"), ConsecutiveFailures: 2, SinceFailureMillis: 5000, ProbeInFlight: true}, {Endpoint: at("b", "here"), WorkMillis: 300}},
			"b", selector.ReasonLeastWork,
		},
		{
			"silent is avoided",
			[]selector.Candidate{{Endpoint: at("a", "here"), NoResponseMillis: 900, ResponseTimeoutMillis: 200}, {Endpoint: at("b", "there"), WorkMillis: 300}},
			"b", selector.ReasonLeastWork,
		},
		{
			"grey is avoided", []selector.Candidate{
				{Endpoint: at("a", "here"), FailureRate: 0.6}, {Endpoint: at("b", "here"), WorkMillis: 100}, {Endpoint: at("c", "there"), WorkMillis: 200},
			}, "b", selector.ReasonLeastWork,
		},
		{
			"failures of the whole service count against nobody",
			[]selector.Candidate{{Endpoint: at("a", "here"), FailureRate: 0.2}, {Endpoint: at("b", "here"), FailureRate: 0.2, WorkMillis: 30}},
			"a", selector.ReasonLeastWork,
		},
		{
			"doubt about a data centre that seems to be cut off", []selector.Candidate{
				{Endpoint: at("a", "there"), DataCentreSuspect: true}, {Endpoint: at("b", "here"), WorkMillis: 200},
			}, "b", selector.ReasonLeastWork,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			choice, ok := selector.Choose(test.candidates, "here", source())
			require.Equal(t, test.want != "", ok)
			if ok {
				require.Equal(t, test.want, choice.Candidate.Endpoint.ID)
				require.Equal(t, test.reason, choice.Reason)
			}
		})
	}
}

func all(figseam.ListedEndpoint) bool { return false }

// TestBoardCountsWhatIsUnderWay holds the work, memory and failures of an endpoint
// through begin and end, also when it starts anew under its name.
func TestBoardCountsWhatIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := selector.NewTracker()
		e := at("a", "here")
		first := b.StartRequest(e, 50, 400)
		second := b.StartRequest(e, 30, 200)
		b.SetRemoteUsage([]figseam.EndpointUsage{{Endpoint: figseam.HashEndpoint("a"), WorkMillis: 20, MemoryTokens: 300}})
		c := b.Candidates([]figseam.ListedEndpoint{e}, all, 200, 1000)[0]
		require.InDelta(t, 100, c.WorkMillis, 0.01)
		require.InDelta(t, 0.9, c.MemoryUtilization, 0.001)
		require.True(t, c.Full)
		first.Finish(selector.ResultFailure)
		second.Finish(selector.ResultFailure)
		c = b.Candidates([]figseam.ListedEndpoint{e}, all, 200, 1000)[0]
		require.False(t, c.Full)
		require.True(t, selector.InBackoff(c))
		time.Sleep(2 * time.Second)
		c = b.Candidates([]figseam.ListedEndpoint{e}, all, 200, 1000)[0]
		require.False(t, selector.InBackoff(c))
		require.Zero(t, c.WorkMillis, "what others reported is too old")
		again := e
		again.StartedMillis = 7
		require.Zero(t, b.Candidates([]figseam.ListedEndpoint{again}, all, 200, 1000)[0].ConsecutiveFailures)
	})
}

// TestCutDataCentreIsInDoubt replays a data centre that is cut off: one endpoint
// that cannot be reached puts all of them in doubt, until one answers.
func TestCutDataCentreIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := selector.NewTracker()
		endpoints := []figseam.ListedEndpoint{at("a", "there"), at("b", "there"), at("c", "here")}
		doubtful := func() (ids []string) {
			for _, c := range b.Candidates(endpoints, all, 0, 0) {
				if c.DataCentreSuspect {
					ids = append(ids, c.Endpoint.ID)
				}
			}
			return ids
		}
		b.StartRequest(endpoints[0], 10, 0).Finish(selector.ResultFailure)
		require.Empty(t, doubtful(), "a failure that was answered is no doubt")
		b.StartRequest(endpoints[0], 10, 0).Finish(selector.ResultUnreachable)
		require.Equal(t, []string{"a", "b"}, doubtful())
		time.Sleep(time.Second)
		b.StartRequest(endpoints[1], 10, 0).RecordResponse()
		require.Empty(t, doubtful())
		time.Sleep(time.Millisecond)
		b.StartRequest(endpoints[0], 10, 0).Finish(selector.ResultUnreachable)
		require.NotEmpty(t, doubtful())
		time.Sleep(4 * time.Second)
		require.Empty(t, doubtful())
	})
}

func TestPaceIsLearned(t *testing.T) {
	var p selector.PrefillEstimator
	for range 12 {
		for tokens := 1000; tokens <= 9000; tokens += 500 {
			p.Observe(tokens, 80+float64(tokens)/50)
		}
	}
	fixed, reading := p.Estimate(5000)
	require.InDelta(t, 80, fixed, 1)
	require.InDelta(t, 100, reading, 1)
}

// TestPaceBesideOthers has every third call find prompts of other instances before
// it: a prefill that seems slower than it is would have engines change their stage.
func TestPaceBesideOthers(t *testing.T) {
	var p selector.PrefillEstimator
	for i := range 200 {
		tokens := 1000 + i*1777%8000
		millis := 80 + float64(tokens)/50
		if i%3 == 0 {
			millis += 150
		}
		p.Observe(tokens, millis)
	}
	fixed, reading := p.Estimate(5000)
	require.InDelta(t, 100, reading, 25)
	require.InDelta(t, 180, fixed+reading, 40)
}

func TestReadsItself(t *testing.T) {
	tests := []struct {
		name                  string
		queued, reading, busy float64
		want                  bool
	}{
		{"idle prefill engine", 0, 90, 0, false},
		{"some prompts before it", 270, 90, 0, false},
		{"a crashed side's queue", 900, 90, 0, true},
		{"the decode engine reads others already", 900, 90, 720, false},
		{"a long prompt behind short ones", 400, 200, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, selector.ShouldPrefillOnDecode(test.queued, test.reading, test.busy))
		})
	}
}

// TestOthersCannotReach replays a crash beside many instances: one that has not yet
// met the dead endpoint leaves it alone because others could not reach it, unless
// it has just heard of it itself, or more requests are under way there.
func TestOthersCannotReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := selector.NewTracker()
		e := at("a", "here")
		rests := func() bool {
			all := b.Candidates([]figseam.ListedEndpoint{e}, func(figseam.ListedEndpoint) bool { return false }, 0, 0)
			return selector.InBackoff(all[0])
		}
		told := func(unreached, requests int) {
			b.SetRemoteUsage([]figseam.EndpointUsage{{Endpoint: figseam.HashEndpoint("a"), UnreachableFrom: unreached, Requests: requests}})
		}
		told(1, 0)
		require.False(t, rests(), "one instance may be cut off itself")
		told(3, 0)
		require.True(t, rests())
		told(3, 5)
		require.False(t, rests(), "others are served there")
		w := b.StartRequest(e, 10, 0)
		w.RecordResponse()
		w.Finish(selector.ResultSuccess)
		told(3, 0)
		require.False(t, rests(), "it has just answered here")
		time.Sleep(1500 * time.Millisecond)
		told(3, 0)
		require.True(t, rests())
	})
}

// TestUnreachedIsTold holds that others are told of what could not be reached, for
// a moment and until it answers.
func TestUnreachedIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := selector.NewTracker()
		e := at("a", "here")
		b.StartRequest(e, 10, 0).Finish(selector.ResultUnreachable)
		require.Len(t, b.LocalUsage(), 1)
		require.Equal(t, 1, b.LocalUsage()[0].UnreachableFrom)
		time.Sleep(1100 * time.Millisecond)
		require.Empty(t, b.LocalUsage())
		b.StartRequest(e, 10, 0).Finish(selector.ResultUnreachable)
		w := b.StartRequest(e, 10, 0)
		w.RecordResponse()
		w.Finish(selector.ResultSuccess)
		require.Empty(t, b.LocalUsage())
	})
}
