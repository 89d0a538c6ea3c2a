package dialer_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/dialer"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/limiter"
)

// callHostile calls a hostile server and returns the error of the call, after the server's
// connection was closed.
func callHostile(t *testing.T, server emulator.HostileServer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ended := server.ServeNext(l)
	c, err := dialer.Connect(t.Context(), figseam.Endpoint{Name: "hostile", Address: "http://" + l.Addr().String()})
	require.NoError(t, err)
	_, err = c.Do(t.Context(), dialer.ServiceCall{Method: http.MethodGet, Path: "/x", Header: http.Header{}})
	require.NoError(t, c.Close())
	<-ended
	return err
}

// TestEndlessResponseIsRejected guards against services that send without end, in the head
// or in the body.
func TestEndlessResponseIsRejected(t *testing.T) {
	for name, server := range emulator.HostileHeads() {
		t.Run("head: "+name, func(t *testing.T) {
			require.ErrorIs(t, callHostile(t, server), limiter.ErrHeadTooLarge)
		})
	}
	t.Run("body", func(t *testing.T) {
		require.ErrorIs(t, callHostile(t, emulator.HostileServer{Prefix: "HTTP/1.1 200 OK\r\n\r\n", Repeated: "x"}), dialer.ErrResponseTooLarge)
	})
}

// TestResetDuringUploadIsNoAnswer guards against a part of a service's response that is taken for
// the whole since the service reset the connection during the upload.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	server := &emulator.ScriptedServer{Answer: func(int, *http.Request) emulator.ScriptedAnswer {
		return emulator.ScriptedAnswer{Text: "HTTP/1.1 200 OK\r\n\r\npart", Early: true, End: emulator.Reset}
	}}
	address := serve(t, server)
	for range 20 {
		c, err := dialer.Connect(t.Context(), figseam.Endpoint{Name: "s", Address: "http://" + address})
		require.NoError(t, err)
		_, err = c.Do(t.Context(), dialer.ServiceCall{Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: make([]byte, 4<<20)})
		require.Error(t, err)
		require.NoError(t, c.Close())
	}
}

// serve starts a server on a loopback address, which it returns.
func serve(t *testing.T, s *emulator.ScriptedServer) string {
	address, stop, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(stop)
	return address
}

// TestRepeatedAnswerIsNotUsed guards against an engine that writes an earlier answer once more on a
// kept connection: a refusal would count as that of a request that the engine runs, and a
// confirmation as that of an order that it has not received.
func TestRepeatedAnswerIsNotUsed(t *testing.T) {
	const full = `{"error":"full"}`
	const chunk = `{"attempt":"a","offset":0,"tokens":1,"text":"x","finish":"stop"}` + "\n"
	decode := func(e figseam.Engine) error {
		s, err := e.Decode(t.Context(), figseam.DecodeParams{Attempt: "a"})
		if err != nil {
			return err
		}
		defer func() { _ = s.Close() }()
		_, err = s.Next()
		return err
	}
	prefill := func(e figseam.Engine) error {
		_, err := e.Prefill(t.Context(), figseam.PrefillParams{Attempt: "a"})
		return err
	}
	cancel := func(e figseam.Engine) error { return e.Cancel(t.Context(), "a") }
	reconfigure := func(e figseam.Engine) error { return e.Reconfigure(t.Context(), figseam.EngineReconfig{}) }
	sized := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	const ok, unavailable, conflict = "200 OK", "503 Service Unavailable", "412 Precondition Failed"
	tests := []struct {
		name          string
		call          func(e figseam.Engine) error
		first, second string
		// err is the error of the second call, whose own answer is second.
		err error
	}{
		{"refusal of a decode", decode, sized(unavailable, full), sized(ok, chunk), nil},
		{"refusal of a prefill", prefill, sized(unavailable, full), sized(ok, `{"attempt":"a","tokens":1}`), nil},
		{"confirmation of a cancellation", cancel, sized(ok, ""), sized(unavailable, full), figseam.ErrEngineFull},
		{"confirmation of an order", reconfigure, sized(ok, ""), sized(conflict, `{"error":"stale_fence"}`), figseam.ErrStaleFence},
	}
	for _, test := range tests {
		for _, laterMillis := range []int{0, 20} {
			t.Run(fmt.Sprintf("%s, its own answer %d ms later", test.name, laterMillis), func(t *testing.T) {
				answered := map[int]int{}
				calls := 0
				server := &emulator.ScriptedServer{Answer: func(conn int, _ *http.Request) emulator.ScriptedAnswer {
					calls++
					answered[conn]++
					switch {
					case calls == 1:
						return emulator.ScriptedAnswer{Text: test.first}
					case answered[conn] == 2 && laterMillis == 0:
						return emulator.ScriptedAnswer{Text: test.first + test.second}
					case answered[conn] == 2:
						return emulator.ScriptedAnswer{Text: test.first, Later: test.second, LaterMillis: laterMillis}
					}
					return emulator.ScriptedAnswer{Text: test.second}
				}}
				client := &http.Client{Transport: connector.NewTransport(connector.TransportSettings{MaxIdlePerAddress: 4})}
				defer client.CloseIdleConnections()
				e := dialer.New(client).Engine(figseam.Endpoint{Name: "e", Address: "http://" + serve(t, server)})
				_ = test.call(e)
				require.ErrorIs(t, test.call(e), test.err)
			})
		}
	}
}
