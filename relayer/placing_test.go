package relayer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/budgeter"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/lister"
	"github.com/figseam/figseam/queuer"
	"github.com/figseam/figseam/selector"
)

// reservationCodec encodes reservation calls, whose responses have no metadata; any other
// method panics.
type reservationCodec struct{ figseam.WireCodec }

func (reservationCodec) DecodeNotice(int, http.Header) figseam.EndpointNotice {
	return figseam.EndpointNotice{}
}

func (reservationCodec) EncodeReservation(int, int64) (target string, body []byte) {
	return "/hold", []byte("x")
}

func (reservationCodec) DecodeResponseHead(int, http.Header) figseam.ResponseHead {
	return figseam.ResponseHead{}
}

// dialFullEngine dials an engine that refuses every call for lack of memory. onCall
// runs for each call.
func dialFullEngine(onCall func()) connector.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(server))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			onCall()
			_, _ = io.WriteString(server, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		}()
		return client, nil
	}
}

// TestAdvanceReservationIsReleasedWhenEngineDrains drains the only decode engine while
// requests have advance reservations. An advance reservation that is not released would
// never be available to the queue again.
func TestAdvanceReservationIsReleasedWhenEngineDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
		engine := figseam.ListedEndpoint{ID: "g", Address: "g:1", Service: "s", Stage: figseam.EndpointStageDecode}
		digest := uint64(0)
		setDraining := func(draining bool) {
			time.Sleep(time.Millisecond)
			digest++
			engine.Draining = draining
			list.Merge(lister.Snapshot{Loaded: true, Digest: digest, Endpoints: []figseam.ListedEndpoint{engine}})
		}
		calls := 0
		r := New(Settings{
			Codec: reservationCodec{}, EndpointList: list, Tracker: selector.NewTracker(), Budget: budgeter.New(budgeter.Settings{WindowMillis: 1000}),
			Connector: connector.New(dialFullEngine(func() {
				if calls++; calls%3 == 0 {
					setDraining(true)
				}
			})),
		})
		r.SetTable(&figseam.Table{Version: 1, Services: map[string]figseam.HostService{
			"s": {Name: "s", Engine: &figseam.EngineSpec{MemoryTokens: 1000, MaxReservationMillis: 2000}},
		}})
		for range 4 {
			setDraining(false)
			request := &task{
				Relayer: r, service: "s", route: &figseam.HostRoute{LatencyTargetMillis: 900}, began: time.Now(), excluded: map[string]bool{},
				request: figseam.OpaqueRequest{Deadline: figseam.DeadlineAfterMillis(9000), Prompt: figseam.Prompt{InputTokens: 10}},
			}
			placed, code := request.acquirePlacement(t.Context())
			require.Nil(t, placed)
			require.Equal(t, explainer.NoAvailableEndpoint, code)
		}
		for range 3 {
			require.True(t, r.queues.forService("s").TryAcquireAdvanceReservation(&queuer.Waiter{}))
		}
		time.Sleep(time.Second)
	})
}

// TestLateRequestYieldsToOnTimeRequestsOfOtherInstances covers a burst on two
// instances: while the other instance has on-time requests, a late request must leave
// free memory to them, unless they are less urgent.
func TestLateRequestYieldsToOnTimeRequestsOfOtherInstances(t *testing.T) {
	const service = "s"
	synctest.Test(t, func(t *testing.T) {
		list := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
		engine := figseam.ListedEndpoint{ID: "g", Address: "g:1", Service: service, Stage: figseam.EndpointStageDecode}
		list.Merge(lister.Snapshot{Loaded: true, Digest: 1, Endpoints: []figseam.ListedEndpoint{engine}})
		r := New(Settings{EndpointList: list, Tracker: selector.NewTracker(), Budget: budgeter.New(budgeter.Settings{WindowMillis: 1000})})
		weighted := []figseam.WeightedService{{Service: service, Weight: 1}}
		r.SetTable(&figseam.Table{
			Version: 1, Services: map[string]figseam.HostService{service: {Name: service, Engine: &figseam.EngineSpec{MemoryTokens: 1000}}},
			Routes: []figseam.HostRoute{{Priority: 0, IsModelRoute: true, WeightedServices: weighted}, {Priority: 1, IsModelRoute: true, WeightedServices: weighted}},
		})
		setRemoteDemand := func(demand ...figseam.ServiceDemand) {
			r.SetRemoteDemand(demand)
			r.Tracker.SetRemoteUsage(nil)
		}
		setRemoteOnTime := func(tokens int) {
			setRemoteDemand(figseam.ServiceDemand{Service: figseam.HashService(service), OnTimeTokens: tokens})
		}
		acquire := func(age time.Duration) (*placement, figseam.Code) {
			request := &task{
				Relayer: r, service: service, route: &figseam.HostRoute{LatencyTargetMillis: 900}, began: time.Now().Add(-age), excluded: map[string]bool{},
				request: figseam.OpaqueRequest{Deadline: figseam.DeadlineAfterMillis(9000), Prompt: figseam.Prompt{InputTokens: 10}},
			}
			return request.acquirePlacement(t.Context())
		}
		setRemoteOnTime(500)
		began := time.Now()
		go func() {
			time.Sleep(300 * time.Millisecond)
			setRemoteOnTime(0)
		}()
		placed, code := acquire(1500 * time.Millisecond)
		require.Empty(t, code)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		placed.inFlight.Finish(selector.ResultIgnored)

		setRemoteOnTime(500)
		began = time.Now()
		placed, code = acquire(0)
		require.Empty(t, code)
		require.Zero(t, time.Since(began), "an on-time request does not wait")
		placed.inFlight.Finish(selector.ResultIgnored)

		setRemoteDemand(
			figseam.ServiceDemand{Service: figseam.HashService(service), OnTimeTokens: 500},
			figseam.ServiceDemand{Service: figseam.HashServiceRank(service, 1), OnTimeTokens: 500},
		)
		placed, code = acquire(1500 * time.Millisecond)
		require.Empty(t, code)
		require.Zero(t, time.Since(began), "a late request does not wait for less urgent ones")
		placed.inFlight.Finish(selector.ResultIgnored)
	})
}
