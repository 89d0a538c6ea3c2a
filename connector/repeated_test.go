package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/emulator"
)

// dialInTurn returns a function that opens connections with the given functions, in turn.
func dialInTurn(dials ...connector.DialFunc) connector.DialFunc {
	next := 0
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		next++
		return dials[next-1](ctx, network, address)
	}
}

// TestRepeatedRefusalIsNotUsed guards against an endpoint that writes an earlier refusal once more
// on a kept connection: it would count as the response to a request that the endpoint runs.
func TestRepeatedRefusalIsNotUsed(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 7\r\n\r\nrefused"
	const other = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nrefused"
	without := newRequest("")
	without.IDHeader = ""
	tests := []struct {
		name          string
		first, second connector.Request
		refusal       string
		connections   uint64
	}{
		{"another ID", newRequest("1"), newRequest("2"), refusal, 1},
		{"the same ID", newRequest("1"), newRequest("1"), refusal, 2},
		{"an empty ID", newRequest(""), newRequest(""), other, 2},
		{"no ID", without, without, other, 1},
		{"an ID after none", without, newRequest("2"), other, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: " + test.second.ID + "\r\n\r\nok"
				c := connector.New(dialInTurn(scriptedDial(t, test.refusal, test.refusal+own), scriptedDial(t, own)))
				defer c.CloseIdle(func(string) bool { return false })
				for i, request := range []connector.Request{test.first, test.second} {
					r, err := c.Do(t.Context(), request)
					require.NoError(t, err)
					body, err := io.ReadAll(r)
					require.NoError(t, err)
					r.Close()
					require.Equal(t, []string{"refused", "ok"}[i], string(body))
				}
				require.Equal(t, test.connections, c.OpenedConnections())
			})
		})
	}
}

// TestTransportKeepsNoConnectionAfterRefusal is the same for the client of net/http, whose
// responses bear no ID.
func TestTransportKeepsNoConnectionAfterRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nrefused"
	const own = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	synctest.Test(t, func(t *testing.T) {
		dial := dialInTurn(scriptedDial(t, own, refusal, refusal+own), scriptedDial(t, own, own))
		client := &http.Client{Transport: connector.NewTransport(connector.TransportSettings{Dial: dial, MaxIdlePerAddress: 4})}
		defer client.CloseIdleConnections()
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusOK, http.StatusOK} {
			r, err := client.Get("http://a/")
			require.NoError(t, err)
			_, err = io.ReadAll(r.Body)
			require.NoError(t, err)
			require.NoError(t, r.Body.Close())
			require.Equal(t, status, r.StatusCode)
		}
	})
}

// TestLateResponseIsPassedOn guards against memory that an endpoint reserves for a request that was
// refused: its response comes only after an earlier refusal was sent once more.
func TestLateResponseIsPassedOn(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nrefused"
	const granted = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ngranted"
	const matched = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name string
		// next uses or looks at the connection after the late response has arrived.
		next func(t *testing.T, c *connector.Connector, request connector.Request)
	}{
		{"another call without an ID", func(t *testing.T, c *connector.Connector, request connector.Request) {
			request.IDHeader = ""
			_, err := c.Do(t.Context(), request)
			require.NoError(t, err)
		}},
		{"a call with an ID", func(t *testing.T, c *connector.Connector, request connector.Request) {
			_, err := c.Do(t.Context(), request)
			require.NoError(t, err)
		}},
		{"only a look at idle connections", func(_ *testing.T, c *connector.Connector, _ connector.Request) {
			c.CloseIdle(func(string) bool { return true })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sent := make(chan struct{})
			calls := 0
			server := &emulator.ScriptedServer{Answer: func(int, *http.Request) emulator.ScriptedAnswer {
				switch calls++; calls {
				case 1:
					return emulator.ScriptedAnswer{Text: refusal}
				case 2:
					return emulator.ScriptedAnswer{Text: refusal, Later: granted, LaterMillis: 20, Sent: func() { close(sent) }}
				}
				return emulator.ScriptedAnswer{Text: matched}
			}}
			address := serve(t, server)
			late := make(chan string, 1)
			c := connector.New(nil)
			request := newRequest("1")
			request.Address = address
			without := request
			without.IDHeader = ""
			without.ObserveLate = func(_ int, body []byte) { late <- string(body) }
			for range 2 {
				r, err := c.Do(t.Context(), without)
				require.NoError(t, err)
				body, err := io.ReadAll(r)
				require.NoError(t, err)
				require.Equal(t, "refused", string(body))
				r.Close()
			}
			<-sent
			test.next(t, c, request)
			require.Eventually(t, func() bool { return len(late) == 1 }, 10*time.Second, time.Millisecond)
			require.Equal(t, "granted", <-late)
			c.CloseIdle(func(string) bool { return false })
		})
	}
}
