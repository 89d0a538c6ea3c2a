package connector_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/emulator"
)

// TestTransportKeepsConnections counts the connections that a transport opens for three calls, and
// checks that the requests arrive as they were sent.
func TestTransportKeepsConnections(t *testing.T) {
	tests := []struct {
		name        string
		maxIdle     int
		connections int
	}{
		{"kept", 1, 1},
		{"single use", 0, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := &emulator.ScriptedServer{Answer: func(_ int, r *http.Request) emulator.ScriptedAnswer {
				body, _ := io.ReadAll(r.Body)
				require.Equal(t, test.maxIdle == 0, r.Close)
				require.Equal(t, "asked", string(body))
				return emulator.ScriptedAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}
			}}
			address := serve(t, server)
			client := &http.Client{Transport: connector.NewTransport(connector.TransportSettings{MaxIdlePerAddress: test.maxIdle})}
			defer client.CloseIdleConnections()
			for range 3 {
				r, err := client.Post("http://"+address+"/a?b=c", "text/plain", strings.NewReader("asked"))
				require.NoError(t, err)
				body, err := io.ReadAll(r.Body)
				require.NoError(t, err)
				require.NoError(t, r.Body.Close())
				require.Equal(t, "ok", string(body))
				require.EqualValues(t, 2, r.ContentLength)
			}
			require.Equal(t, test.connections, server.Connections())
			require.Equal(t, []string{"POST /a?b=c", "POST /a?b=c", "POST /a?b=c"}, server.Requests())
		})
	}
}

// TestTransportReturnsCauseOfCancelledContext guards against a stream whose end by its own
// timeout is taken for a failure of the endpoint.
func TestTransportReturnsCauseOfCancelledContext(t *testing.T) {
	server := &emulator.ScriptedServer{Answer: func(int, *http.Request) emulator.ScriptedAnswer {
		return emulator.ScriptedAnswer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"}
	}}
	address := serve(t, server)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	require.NoError(t, err)
	r, err := connector.NewTransport(connector.TransportSettings{}).RoundTrip(request)
	require.NoError(t, err)
	part := make([]byte, 4)
	_, err = io.ReadFull(r.Body, part)
	require.NoError(t, err)
	cancel()
	_, err = io.ReadAll(r.Body)
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, r.Body.Close())
}

// TestTransportChecksCertificates checks that a URL with https uses TLS.
func TestTransportChecksCertificates(t *testing.T) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	server.Config.ErrorLog = nil
	defer server.Close()
	client := &http.Client{Transport: connector.NewTransport(connector.TransportSettings{DialTimeoutMillis: 5000})}
	_, err := client.Get(server.URL)
	require.ErrorContains(t, err, "certificate")
	require.ErrorIs(t, err, connector.ErrNotSent)
}
