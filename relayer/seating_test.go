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

// holdWire encodes calls that set memory aside, and nothing else.
type holdWire struct{ figseam.WireCodec }

func (holdWire) EncodeReservation(int, int64) (target string, body []byte) {
	return "/hold", []byte("x")
}

// full returns a connection to an engine that has no room. asked is called for each
// time it is asked.
func full(asked func()) connector.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			asked()
			_, _ = io.WriteString(far, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		}()
		return near, nil
	}
}

// TestClaimsAreGivenBack has the only decode engine leave while requests claim it:
// a claim that is kept is lost to the queue for good.
func TestClaimsAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
		engine := figseam.ListedEndpoint{ID: "g", Address: "g:1", Service: "s", Stage: figseam.EndpointStageDecode}
		digest := uint64(0)
		show := func(leaving bool) {
			time.Sleep(time.Millisecond)
			digest++
			engine.Draining = leaving
			list.Merge(lister.Snapshot{Loaded: true, Digest: digest, Endpoints: []figseam.ListedEndpoint{engine}})
		}
		asked := 0
		r := New(Settings{
			Codec: holdWire{}, EndpointList: list, Tracker: selector.NewTracker(), Budget: budgeter.New(budgeter.Settings{WindowMillis: 1000}),
			Connector: connector.New(full(func() {
				if asked++; asked%3 == 0 {
					show(true)
				}
			})),
		})
		r.SetTable(&figseam.Table{Version: 1, Services: map[string]figseam.HostService{
			"s": {Name: "s", Engine: &figseam.EngineSpec{MemoryTokens: 1000, MaxReservationMillis: 2000}},
		}})
		for range 4 {
			show(false)
			u := &task{
				Relayer: r, service: "s", route: &figseam.HostRoute{LatencyTargetMillis: 900}, began: time.Now(), avoid: map[string]bool{},
				request: figseam.OpaqueRequest{Deadline: figseam.DeadlineAfterMillis(9000), Prompt: figseam.Prompt{InputTokens: 10}},
			}
			seat, code := u.takeSeat(t.Context())
			require.Nil(t, seat)
			require.Equal(t, explainer.NoAvailableEndpoint, code)
		}
		for range 3 {
			require.True(t, r.rooms.queue("s").AcquireAdvanceReservation(&queuer.Waiter{}))
		}
		time.Sleep(time.Second)
	})
}

// TestLateRequestsYieldToOtherInstances replays a burst on two instances: while the
// other one has requests that can still meet their target, a late one does not take
// the room that came free.
func TestLateRequestsYieldToOtherInstances(t *testing.T) {
	const service = "s"
	synctest.Test(t, func(t *testing.T) {
		list := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
		engine := figseam.ListedEndpoint{ID: "g", Address: "g:1", Service: service, Stage: figseam.EndpointStageDecode}
		list.Merge(lister.Snapshot{Loaded: true, Digest: 1, Endpoints: []figseam.ListedEndpoint{engine}})
		r := New(Settings{EndpointList: list, Tracker: selector.NewTracker(), Budget: budgeter.New(budgeter.Settings{WindowMillis: 1000})})
		r.SetTable(&figseam.Table{Version: 1, Services: map[string]figseam.HostService{
			service: {Name: service, Engine: &figseam.EngineSpec{MemoryTokens: 1000}},
		}})
		others := func(timely int) {
			r.SetRemoteDemand([]figseam.ServiceDemand{{Service: figseam.HashService(service), OnTimeTokens: timely}})
			r.Tracker.SetRemoteUsage(nil)
		}
		ask := func(age time.Duration) (*seat, figseam.Code) {
			u := &task{
				Relayer: r, service: service, route: &figseam.HostRoute{LatencyTargetMillis: 900}, began: time.Now().Add(-age), avoid: map[string]bool{},
				request: figseam.OpaqueRequest{Deadline: figseam.DeadlineAfterMillis(9000), Prompt: figseam.Prompt{InputTokens: 10}},
			}
			return u.takeSeat(t.Context())
		}
		others(500)
		began := time.Now()
		go func() {
			time.Sleep(300 * time.Millisecond)
			others(0)
		}()
		s, code := ask(1500 * time.Millisecond)
		require.Empty(t, code)
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		s.work.Finish(selector.ResultIgnored)

		others(500)
		began = time.Now()
		s, code = ask(0)
		require.Empty(t, code)
		require.Zero(t, time.Since(began), "one in time waits for nobody")
		s.work.Finish(selector.ResultIgnored)
	})
}
