package connector_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/limiter"
)

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serve starts a server on a loopback address, which it returns.
func serve(t *testing.T, s *emulator.ScriptedServer) string {
	address, stop, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(stop)
	return address
}

// TestEndlessHeadIsRejected guards against servers whose head never ends: reading it would
// use up the memory of the instance.
func TestEndlessHeadIsRejected(t *testing.T) {
	for name, server := range emulator.HostileHeads() {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			ended := server.ServeNext(l)
			request := newRequest("1")
			request.Address = l.Addr().String()
			_, err := connector.New(nil).Do(t.Context(), request)
			require.ErrorIs(t, err, limiter.ErrHeadTooLarge)
			require.NotErrorIs(t, err, connector.ErrNotSent)
			<-ended
		})
	}
}

// TestEndlessTrailerIsRejected checks that the fields after a chunked body are bounded, too.
func TestEndlessTrailerIsRejected(t *testing.T) {
	l := listen(t)
	ended := emulator.HostileServer{
		Prefix: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", Repeated: "Name: value\r\n",
	}.ServeNext(l)
	request := newRequest("1")
	request.Address = l.Addr().String()
	r, err := connector.New(nil).Do(t.Context(), request)
	require.NoError(t, err)
	_, err = io.ReadAll(r)
	require.Error(t, err)
	r.Close()
	<-ended
}
