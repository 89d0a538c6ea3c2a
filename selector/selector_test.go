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

func endpointAt(id string, centre figseam.DataCentre) figseam.ListedEndpoint {
	return figseam.ListedEndpoint{ID: id, Address: id, DataCentre: centre, Service: "s"}
}

func decodeEndpointAt(id string, centre figseam.DataCentre) figseam.ListedEndpoint {
	e := endpointAt(id, centre)
	e.Stage = figseam.EndpointStageDecode
	return e
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestChooseReturnsEndpointWithLeastCost(t *testing.T) {
	inBackoff := selector.Candidate{Endpoint: endpointAt("resting", "here"), ConsecutiveFailures: 3, SinceFailureMillis: 10}
	tests := []struct {
		name       string
		candidates []selector.Candidate
		want       string
		reason     figseam.Code
	}{
		{"none", nil, "", ""},
		{"least work", []selector.Candidate{{Endpoint: endpointAt("a", "here"), WorkMillis: 40}, {Endpoint: endpointAt("b", "here"), WorkMillis: 10}}, "b", selector.ReasonLeastWork},
		{"same data centre first", []selector.Candidate{{Endpoint: endpointAt("a", "there")}, {Endpoint: endpointAt("b", "here")}}, "b", selector.ReasonLeastWork},
		{"idle endpoint in another data centre before a busy one", []selector.Candidate{{Endpoint: endpointAt("a", "there")}, {Endpoint: endpointAt("b", "here"), WorkMillis: 100}}, "a", selector.ReasonLeastWork},
		{
			"a generation stays in its data centre",
			[]selector.Candidate{{Endpoint: decodeEndpointAt("a", "there"), MemoryUtilization: 0.5}, {Endpoint: decodeEndpointAt("b", "here"), MemoryUtilization: 0.9}},
			"b", selector.ReasonLeastWork,
		},
		{
			"a generation crosses data centres rather than wait",
			[]selector.Candidate{{Endpoint: decodeEndpointAt("a", "there")}, {Endpoint: decodeEndpointAt("b", "here"), Full: true}},
			"a", selector.ReasonLeastWork,
		},
		{"best fit chooses the least memory left", []selector.Candidate{{Endpoint: endpointAt("a", "here"), MemoryUtilization: 0.5, BestFit: true}, {Endpoint: endpointAt("b", "here"), MemoryUtilization: 0.8, BestFit: true}}, "b", selector.ReasonLeastWork},
		{"otherwise the most memory left is chosen", []selector.Candidate{{Endpoint: endpointAt("a", "here"), MemoryUtilization: 0.8}, {Endpoint: endpointAt("b", "here"), MemoryUtilization: 0.5}}, "b", selector.ReasonLeastWork},
		{"full endpoint is excluded", []selector.Candidate{{Endpoint: endpointAt("a", "here"), Full: true}, {Endpoint: endpointAt("b", "here"), WorkMillis: 900}}, "b", selector.ReasonLeastWork},
		{"endpoint in backoff is not used while healthy ones are full", []selector.Candidate{inBackoff, {Endpoint: endpointAt("b", "here"), Full: true}}, "", ""},
		{"endpoint in backoff is used if all are", []selector.Candidate{inBackoff}, "resting", selector.ReasonNoHealthyEndpoint},
		{"probe after the backoff", []selector.Candidate{{Endpoint: endpointAt("a", "here"), ConsecutiveFailures: 2, SinceFailureMillis: 5000}}, "a", selector.ReasonProbe},
		{
			"one probe at a time",
			[]selector.Candidate{{Endpoint: endpointAt("a", "here"), ConsecutiveFailures: 2, SinceFailureMillis: 5000, ProbeInFlight: true}, {Endpoint: endpointAt("b", "here"), WorkMillis: 300}},
			"b", selector.ReasonLeastWork,
		},
		{
			"endpoint with an overdue response is avoided",
			[]selector.Candidate{{Endpoint: endpointAt("a", "here"), NoResponseMillis: 900, ResponseTimeoutMillis: 200}, {Endpoint: endpointAt("b", "there"), WorkMillis: 300}},
			"b", selector.ReasonLeastWork,
		},
		{
			"endpoint with a failure rate above the median is avoided", []selector.Candidate{
				{Endpoint: endpointAt("a", "here"), FailureRate: 0.6}, {Endpoint: endpointAt("b", "here"), WorkMillis: 100}, {Endpoint: endpointAt("c", "there"), WorkMillis: 200},
			}, "b", selector.ReasonLeastWork,
		},
		{
			"failure rate that all endpoints share is ignored",
			[]selector.Candidate{{Endpoint: endpointAt("a", "here"), FailureRate: 0.2}, {Endpoint: endpointAt("b", "here"), FailureRate: 0.2, WorkMillis: 30}},
			"a", selector.ReasonLeastWork,
		},
		{
			"endpoint in a suspect data centre is avoided", []selector.Candidate{
				{Endpoint: endpointAt("a", "there"), DataCentreSuspect: true}, {Endpoint: endpointAt("b", "here"), WorkMillis: 200},
			}, "b", selector.ReasonLeastWork,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			choice, ok := selector.Choose(test.candidates, "here", newRandom())
			require.Equal(t, test.want != "", ok)
			if ok {
				require.Equal(t, test.want, choice.Candidate.Endpoint.ID)
				require.Equal(t, test.reason, choice.Reason)
			}
		})
	}
}

func excludeNone(figseam.ListedEndpoint) bool { return false }

// TestTrackerCountsInFlightRequestsUntilTheyFinish checks work, memory and failures of an
// endpoint from the start to the end of requests, and that a restarted endpoint has no
// failures.
func TestTrackerCountsInFlightRequestsUntilTheyFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := selector.NewTracker()
		e := endpointAt("a", "here")
		first := tracker.StartRequest(e, 50, 400)
		second := tracker.StartRequest(e, 30, 200)
		tracker.SetRemoteUsage([]figseam.EndpointUsage{{Endpoint: figseam.HashEndpoint("a"), WorkMillis: 20, MemoryTokens: 300}})
		c := tracker.Candidates([]figseam.ListedEndpoint{e}, excludeNone, 200, 1000)[0]
		require.InDelta(t, 100, c.WorkMillis, 0.01)
		require.InDelta(t, 0.9, c.MemoryUtilization, 0.001)
		require.True(t, c.Full)
		first.Finish(selector.ResultFailure)
		second.Finish(selector.ResultFailure)
		c = tracker.Candidates([]figseam.ListedEndpoint{e}, excludeNone, 200, 1000)[0]
		require.False(t, c.Full)
		require.True(t, selector.InBackoff(c))
		time.Sleep(2 * time.Second)
		c = tracker.Candidates([]figseam.ListedEndpoint{e}, excludeNone, 200, 1000)[0]
		require.False(t, selector.InBackoff(c))
		require.Zero(t, c.WorkMillis, "usage of other instances must expire")
		restarted := e
		restarted.StartedMillis = 7
		require.Zero(t, tracker.Candidates([]figseam.ListedEndpoint{restarted}, excludeNone, 200, 1000)[0].ConsecutiveFailures)
	})
}

// TestDataCentreIsSuspectAfterFailedConnectionUntilOneResponds simulates a network
// partition: one endpoint that cannot be reached makes its data centre suspect until any
// endpoint there responds or the suspicion expires.
func TestDataCentreIsSuspectAfterFailedConnectionUntilOneResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := selector.NewTracker()
		endpoints := []figseam.ListedEndpoint{endpointAt("a", "there"), endpointAt("b", "there"), endpointAt("c", "here")}
		suspects := func() (ids []string) {
			for _, c := range tracker.Candidates(endpoints, excludeNone, 0, 0) {
				if c.DataCentreSuspect {
					ids = append(ids, c.Endpoint.ID)
				}
			}
			return ids
		}
		tracker.StartRequest(endpoints[0], 10, 0).Finish(selector.ResultFailure)
		require.Empty(t, suspects(), "a failure with a response must not make the data centre suspect")
		tracker.StartRequest(endpoints[0], 10, 0).Finish(selector.ResultUnreachable)
		require.Equal(t, []string{"a", "b"}, suspects())
		time.Sleep(time.Second)
		tracker.StartRequest(endpoints[1], 10, 0).RecordResponse()
		require.Empty(t, suspects())
		time.Sleep(time.Millisecond)
		tracker.StartRequest(endpoints[0], 10, 0).Finish(selector.ResultUnreachable)
		require.NotEmpty(t, suspects())
		time.Sleep(4 * time.Second)
		require.Empty(t, suspects())
	})
}

func TestPrefillEstimatorConvergesOnExactTimes(t *testing.T) {
	var p selector.PrefillEstimator
	for range 12 {
		for tokens := 1000; tokens <= 9000; tokens += 500 {
			p.Observe(tokens, 80+float64(tokens)/50)
		}
	}
	fixedMillis, tokenMillis := p.Estimate(5000)
	require.InDelta(t, 80, fixedMillis, 1)
	require.InDelta(t, 100, tokenMillis, 1)
}

// TestPrefillEstimatorToleratesSlowCalls delays every third call by prompts of other
// instances. An estimate that is too high would make engines change their stage.
func TestPrefillEstimatorToleratesSlowCalls(t *testing.T) {
	var p selector.PrefillEstimator
	for i := range 200 {
		tokens := 1000 + i*1777%8000
		millis := 80 + float64(tokens)/50
		if i%3 == 0 {
			millis += 150
		}
		p.Observe(tokens, millis)
	}
	fixedMillis, tokenMillis := p.Estimate(5000)
	require.InDelta(t, 100, tokenMillis, 25)
	require.InDelta(t, 180, fixedMillis+tokenMillis, 40)
}

func TestShouldPrefillOnDecodeOnlyBehindLongQueue(t *testing.T) {
	tests := []struct {
		name                          string
		queued, prefill, decodeQueued float64
		want                          bool
	}{
		{"idle prefill engine", 0, 90, 0, false},
		{"short queue", 270, 90, 0, false},
		{"long queue after crashes", 900, 90, 0, true},
		{"decode engine already prefills other prompts", 900, 90, 720, false},
		{"long prompt behind short ones", 400, 200, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, selector.ShouldPrefillOnDecode(test.queued, test.prefill, test.decodeQueued))
		})
	}
}

// TestEndpointUnreachableByPeersIsInBackoff simulates a crash with many instances: an
// instance that has not yet used the crashed endpoint avoids it because others could not
// reach it, unless the endpoint just responded to this instance or has more requests in
// flight than instances that could not reach it.
func TestEndpointUnreachableByPeersIsInBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := selector.NewTracker()
		e := endpointAt("a", "here")
		inBackoff := func() bool {
			candidates := tracker.Candidates([]figseam.ListedEndpoint{e}, func(figseam.ListedEndpoint) bool { return false }, 0, 0)
			return selector.InBackoff(candidates[0])
		}
		setRemote := func(unreachableFrom, requests int) {
			tracker.SetRemoteUsage([]figseam.EndpointUsage{{Endpoint: figseam.HashEndpoint("a"), UnreachableFrom: unreachableFrom, Requests: requests}})
		}
		setRemote(1, 0)
		require.False(t, inBackoff(), "a single report may come from a partitioned instance")
		setRemote(3, 0)
		require.True(t, inBackoff())
		setRemote(3, 5)
		require.False(t, inBackoff(), "the endpoint serves other instances")
		request := tracker.StartRequest(e, 10, 0)
		request.RecordResponse()
		request.Finish(selector.ResultSuccess)
		setRemote(3, 0)
		require.False(t, inBackoff(), "the endpoint just responded to this instance")
		time.Sleep(1500 * time.Millisecond)
		setRemote(3, 0)
		require.True(t, inBackoff())
	})
}

// TestLocalUsageReportsUnreachableEndpointUntilItResponds checks that an unreachable
// endpoint is reported to other instances until it responds, and for unreachableMillis at
// most.
func TestLocalUsageReportsUnreachableEndpointUntilItResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := selector.NewTracker()
		e := endpointAt("a", "here")
		tracker.StartRequest(e, 10, 0).Finish(selector.ResultUnreachable)
		require.Len(t, tracker.LocalUsage(), 1)
		require.Equal(t, 1, tracker.LocalUsage()[0].UnreachableFrom)
		time.Sleep(1100 * time.Millisecond)
		require.Empty(t, tracker.LocalUsage())
		tracker.StartRequest(e, 10, 0).Finish(selector.ResultUnreachable)
		request := tracker.StartRequest(e, 10, 0)
		request.RecordResponse()
		request.Finish(selector.ResultSuccess)
		require.Empty(t, tracker.LocalUsage())
	})
}
