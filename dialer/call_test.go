package dialer_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
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
