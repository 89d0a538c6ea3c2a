package connector_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/connector"
)

// scriptedDial opens connections that respond to each request with the next of the
// responses and are closed after the last one.
func scriptedDial(t *testing.T, responses ...string) connector.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			reader := bufio.NewReader(server)
			for _, text := range responses {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if _, err := io.WriteString(server, text); err != nil {
					return
				}
			}
		}()
		t.Cleanup(func() { _ = client.Close() })
		return client, nil
	}
}

func newRequest(id string) connector.Request {
	return connector.Request{Address: "a", Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b"), IDHeader: "Id", ID: id}
}

const chunkedStart = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

// completeResponse and secondResponse are the responses to requests "1" and "2".
const (
	completeResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	secondResponse   = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"
)

func TestDoReturnsOnlyResponseWithMatchingID(t *testing.T) {
	tests := []struct {
		name, response string
		body           string
		doErr          error
		bodyErr        bool
	}{
		{"whole", completeResponse, "ok", nil, false},
		{"response to another request first", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nbad" + completeResponse, "ok", nil, false},
		{"response with two IDs first", "HTTP/1.1 200 OK\r\nId: 1\r\nId: 0\r\nContent-Length: 3\r\n\r\nbad" + completeResponse, "ok", nil, false},
		{"the ID twice", strings.Replace(completeResponse, "Id: 1", "Id: 1\r\nid: 1", 1), "ok", nil, false},
		{"responses to other requests only", strings.Repeat("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nbad", 3), "", connector.ErrMismatchedResponse, false},
		{"interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse, "ok", nil, false},
		{"truncated", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 20\r\n\r\nok", "", nil, true},
		{"truncated in a chunk", chunkedStart + "9\r\nok", "", nil, true},
		{"no length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", "ok", nil, false},
		{"lines that end with LF", strings.ReplaceAll(completeResponse, "\r\n", "\n"), "ok", nil, false},
		{"unusual values", strings.Replace(completeResponse, "Id: 1", "Empty:\r\nTab: a\tb\r\nText: \xe9\r\nId:1", 1), "ok", nil, false},
		{"chunked, with a trailer", chunkedStart + "2;x=y\r\nok\r\n0\r\nName: value\r\n\r\n", "ok", nil, false},
		{"no line end after the last chunk", chunkedStart + "2\r\nok\r\n0\r\n", "", nil, true},
		{"truncated in the trailer", chunkedStart + "2\r\nok\r\n0\r\nName: value\r\n", "", nil, true},
		{"blank in a name in the trailer", chunkedStart + "2\r\nok\r\n0\r\nIn name: value\r\n\r\n", "", nil, true},
		{"no last chunk", chunkedStart + "2\r\nok\r\n", "", nil, true},
		{"chunk longer than its size", chunkedStart + "2\r\nokay\r\n0\r\n\r\n", "", nil, true},
		{"size of a chunk is no number", chunkedStart + "two\r\nok\r\n0\r\n\r\n", "", nil, true},
		{"not HTTP", "garbage\r\n\r\n", "", errors.New(""), false},
		{"none", "", "", io.ErrUnexpectedEOF, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := connector.New(scriptedDial(t, test.response))
				r, err := c.Do(t.Context(), newRequest("1"))
				if test.doErr != nil {
					require.Error(t, err)
					require.NotErrorIs(t, err, connector.ErrNotSent)
					return
				}
				require.NoError(t, err)
				body, err := io.ReadAll(r)
				r.Close()
				require.Equal(t, test.bodyErr, err != nil)
				if !test.bodyErr {
					require.Equal(t, test.body, string(body))
				}
				c.CloseIdle(func(string) bool { return false })
			})
		})
	}
}

// TestResponsesWithoutBody checks that a response that has no body is complete with its head,
// whatever its fields say, so that the connection is kept.
func TestResponsesWithoutBody(t *testing.T) {
	tests := []struct{ name, method, response string }{
		{"to HEAD, with a length", http.MethodHead, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n"},
		{"to HEAD, without a length", http.MethodHead, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"},
		{"204", http.MethodPost, "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"},
		{"304", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 9\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := connector.New(scriptedDial(t, test.response, strings.Replace(test.response, "Id: 1", "Id: 2", 1)))
				for i, id := range []string{"1", "2"} {
					request := newRequest(id)
					request.Method, request.Body = test.method, nil
					r, err := c.Do(t.Context(), request)
					require.NoError(t, err)
					body, err := io.ReadAll(r)
					require.NoError(t, err)
					require.Empty(t, body)
					r.Close()
					require.EqualValues(t, 1, c.OpenedConnections(), "request %d", i)
				}
				c.CloseIdle(func(string) bool { return false })
			})
		})
	}
}

// TestConnectionReusedOnlyAfterCleanResponse counts the connections opened for two
// consecutive requests.
func TestConnectionReusedOnlyAfterCleanResponse(t *testing.T) {
	tests := []struct {
		name, first string
		pause       time.Duration
		opened      uint64
	}{
		{"complete response", completeResponse, 0, 1},
		{"bytes after the response", completeResponse + "HTTP/1.1 200 OK\r\n", 0, 2},
		{"Connection: close", strings.Replace(completeResponse, "\r\nId", "\r\nConnection: close\r\nId", 1), 0, 2},
		{"idle for longer than the reusable part of the timeout", strings.Replace(completeResponse, "\r\nId", "\r\nKeep-Alive: timeout=2\r\nId", 1), 1500 * time.Millisecond, 2},
		{"idle for less than the reusable part of the timeout", strings.Replace(completeResponse, "\r\nId", "\r\nKeep-Alive: timeout=2\r\nId", 1), time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := connector.New(dialInTurn(scriptedDial(t, test.first, secondResponse), scriptedDial(t, secondResponse)))
				for _, id := range []string{"1", "2"} {
					r, err := c.Do(t.Context(), newRequest(id))
					require.NoError(t, err)
					_, err = io.ReadAll(r)
					require.NoError(t, err)
					r.Close()
					time.Sleep(test.pause)
				}
				require.Equal(t, test.opened, c.OpenedConnections())
				c.CloseIdle(func(string) bool { return false })
			})
		})
	}
}

// TestRequestWithoutIDUsesNoConnectionOfRequestsWithID guards against a late second copy of
// a response: it would be taken for the response to a request that has no ID to compare.
func TestRequestWithoutIDUsesNoConnectionOfRequestsWithID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
		dial := scriptedDial(t, completeResponse, completeResponse+own)
		opened := 0
		c := connector.New(func(ctx context.Context, network, address string) (net.Conn, error) {
			if opened++; opened == 2 {
				return scriptedDial(t, own, own)(ctx, network, address)
			}
			return dial(ctx, network, address)
		})
		control := newRequest("")
		control.IDHeader = ""
		for _, step := range []struct {
			request connector.Request
			body    string
		}{{newRequest("1"), "ok"}, {control, "own"}, {control, "own"}} {
			r, err := c.Do(t.Context(), step.request)
			require.NoError(t, err)
			body, err := io.ReadAll(r)
			require.NoError(t, err)
			require.Equal(t, step.body, string(body))
			r.Close()
		}
		require.EqualValues(t, 2, c.OpenedConnections())
		c.CloseIdle(func(string) bool { return false })
	})
}

func TestFailedDialReturnsErrNotSent(t *testing.T) {
	c := connector.New(func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") })
	_, err := c.Do(t.Context(), newRequest("1"))
	require.ErrorIs(t, err, connector.ErrNotSent)
}

// TestRequestNotRepeatedAfterReusedConnectionBreaks checks that no second connection is
// opened for a request whose reused connection breaks, not even for a GET.
func TestRequestNotRepeatedAfterReusedConnectionBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := connector.New(scriptedDial(t, completeResponse))
		r, err := c.Do(t.Context(), newRequest("1"))
		require.NoError(t, err)
		_, _ = io.ReadAll(r)
		r.Close()
		get := newRequest("2")
		get.Method, get.Body = http.MethodGet, nil
		_, err = c.Do(t.Context(), get)
		require.Error(t, err)
		require.NotErrorIs(t, err, connector.ErrNotSent)
		require.EqualValues(t, 1, c.OpenedConnections())
	})
}

// TestResponseBeforeEndOfRequestIsReadAndConnectionClosed checks that a response is read
// while its request is still being written, and that the connection is not reused.
func TestResponseBeforeEndOfRequestIsReadAndConnectionClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := connector.New(func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() { _, _ = io.WriteString(server, completeResponse) }()
			return client, nil
		})
		long := newRequest("1")
		long.Body = make([]byte, 1<<20)
		for range 2 {
			r, err := c.Do(t.Context(), long)
			require.NoError(t, err)
			_, err = io.ReadAll(r)
			require.NoError(t, err)
			r.Close()
		}
		require.EqualValues(t, 2, c.OpenedConnections())
	})
}
