package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/selector"
)

// fleetOfPaces replays arrivals of short work at endpoints of different pace. Several instances
// choose, and exchange what they know of the endpoints.
type fleetOfPaces struct {
	endpoints []figseam.ListedEndpoint
	trackers  []*selector.Tracker
	// pace returns how long work takes at an endpoint, relative to the usual.
	pace func(endpoint int, now time.Duration) float64
	// saysPace has the endpoints state their pace in their answers.
	saysPace bool
	busyTill []time.Time
	took     []float64
	sent     []int
	random   *rand.Rand
	// meanMillis is the mean duration of the requests so far.
	meanMillis float64
}

const (
	paceWorkMillis   = 100
	paceInstances    = 20
	paceEndpoints    = 10
	paceExchangeTick = 50 * time.Millisecond
	paceArrivalTick  = 20 * time.Millisecond
	// paceMeanWeight is the weight of one request in the mean duration.
	paceMeanWeight = 0.05
)

func newFleetOfPaces(pace func(int, time.Duration) float64) *fleetOfPaces {
	f := &fleetOfPaces{pace: pace, saysPace: true, busyTill: make([]time.Time, paceEndpoints), sent: make([]int, paceEndpoints), random: newRandom(), meanMillis: paceWorkMillis}
	for i := range paceEndpoints {
		e := endpointAt(fmt.Sprint("e", i), "here")
		f.endpoints = append(f.endpoints, e)
	}
	for range paceInstances {
		f.trackers = append(f.trackers, selector.NewTracker())
	}
	return f
}

// exchange has each instance receive the usage of all others.
func (f *fleetOfPaces) exchange() {
	total := map[uint32]figseam.EndpointUsage{}
	reports := make([][]figseam.EndpointUsage, len(f.trackers))
	for i, t := range f.trackers {
		reports[i] = t.LocalUsage()
		for _, u := range reports[i] {
			total[u.Endpoint] = total[u.Endpoint].Add(u)
		}
	}
	for i, t := range f.trackers {
		rest := map[uint32]figseam.EndpointUsage{}
		for key, u := range total {
			rest[key] = u
		}
		for _, u := range reports[i] {
			rest[u.Endpoint] = rest[u.Endpoint].Add(u.Negate())
			r := rest[u.Endpoint]
			r.Endpoint = u.Endpoint
			rest[u.Endpoint] = r
		}
		var usage []figseam.EndpointUsage
		for _, u := range rest {
			usage = append(usage, u)
		}
		t.SetRemoteUsage(usage)
	}
}

// request has an instance choose an endpoint, which does its work one after the other.
func (f *fleetOfPaces) request(instance int, began time.Time) {
	t := f.trackers[instance]
	candidates := t.Candidates(f.endpoints, func(figseam.ListedEndpoint) bool { return false }, 0, 0)
	for i := range candidates {
		candidates[i].OwnMillis = paceWorkMillis
	}
	choice, ok := selector.Choose(candidates, "here", f.random)
	if !ok {
		return
	}
	var index int
	_, _ = fmt.Sscanf(choice.Candidate.Endpoint.ID, "e%d", &index)
	now := time.Now()
	pace := f.pace(index, now.Sub(began))
	start := now
	if f.busyTill[index].After(now) {
		start = f.busyTill[index]
	}
	end := start.Add(time.Duration(paceWorkMillis * pace * float64(time.Millisecond)))
	f.busyTill[index] = end
	f.sent[index]++
	f.took = append(f.took, float64(end.Sub(now).Milliseconds()))
	e, work := choice.Candidate.Endpoint, choice.Candidate.WorkMillis
	inFlight := t.StartRequest(e, paceWorkMillis, 0)
	time.AfterFunc(end.Sub(now), func() {
		inFlight.Finish(selector.ResultSuccess)
		if f.saysPace {
			t.RecordLoad(e, figseam.EndpointLoad{Slots: 1, PacePercent: 100}, 0)
		}
		millis := float64(end.Sub(now).Milliseconds())
		t.RecordPace(e, millis, f.meanMillis, work)
		f.meanMillis += paceMeanWeight * (millis - f.meanMillis)
	})
}

// run replays the arrivals and returns the mean duration of the requests after a second.
func (f *fleetOfPaces) run(seconds int) float64 {
	began := time.Now()
	next := 0
	for n := range int(time.Duration(seconds) * time.Second / paceArrivalTick) {
		if time.Duration(n)*paceArrivalTick%paceExchangeTick == 0 {
			f.exchange()
		}
		f.request(next%paceInstances, began)
		next += 7
		time.Sleep(paceArrivalTick)
	}
	time.Sleep(time.Minute)
	sum := 0.0
	for _, took := range f.took {
		sum += took
	}
	return sum / float64(len(f.took))
}

// TestSlowEndpointsGetLessWork replays endpoints of different pace, and ones that slow down in
// turn. With the paces learned, requests take less time than with equal ones assumed, and every
// endpoint is still used. Where all endpoints are alike, little is lost.
func TestSlowEndpointsGetLessWork(t *testing.T) {
	tests := []struct {
		name string
		pace func(int, time.Duration) float64
		// most is the longest mean duration with paces, relative to that without.
		most float64
	}{
		{"two of ten take 2.5 times as long", func(i int, _ time.Duration) float64 {
			if i < 2 {
				return 2.5
			}
			return 1
		}, 1},
		{"15% take 2.5 times as long by turns of 5 s", func(i int, now time.Duration) float64 {
			if (i+int(now/(5*time.Second)))%paceEndpoints < 2 {
				return 2.5
			}
			return 1
		}, 1},
		{"all are equally fast", func(int, time.Duration) float64 { return 1 }, 1.05},
		{"all are slow", func(int, time.Duration) float64 { return 1.8 }, 1.05},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var means [2]float64
			for n, saysPace := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					f := newFleetOfPaces(tt.pace)
					f.saysPace = saysPace
					means[n] = f.run(40)
					for i, sent := range f.sent {
						require.Positive(t, sent, "endpoint %d is not used at all", i)
					}
				})
			}
			t.Logf("mean %.0f ms, with paces %.0f ms", means[0], means[1])
			require.LessOrEqual(t, means[1], tt.most*means[0])
		})
	}
}

// TestSingleSlowAnswerChangesLittle guards against an endpoint that loses its work since one
// answer took long, and against a pace that is never forgotten.
func TestSingleSlowAnswerChangesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := selector.NewTracker()
		e := endpointAt("e", "here")
		pace := func() float64 {
			return tracker.Candidates([]figseam.ListedEndpoint{e}, func(figseam.ListedEndpoint) bool { return false }, 0, 0)[0].Pace
		}
		tracker.RecordPace(e, 1000, 10, 0)
		require.InDelta(t, 1, pace(), 0.001, "its service says nothing of its machines")
		tracker.RecordLoad(e, figseam.EndpointLoad{PacePercent: 100}, 0)
		tracker.RecordPace(e, 1000, 10, 0)
		require.Less(t, pace(), 3.0)
		for range 20 {
			tracker.RecordPace(e, 10, 10, 0)
		}
		require.Less(t, pace(), 1.4)
		time.Sleep(4 * time.Second)
		require.InDelta(t, 1, pace(), 0.001)
	})
}
