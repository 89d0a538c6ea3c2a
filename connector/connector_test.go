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

// script answers each request on a connection with the next text, and closes the
// connection after the last one.
func script(t *testing.T, answers ...string) connector.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			reader := bufio.NewReader(far)
			for _, text := range answers {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if _, err := io.WriteString(far, text); err != nil {
					return
				}
			}
		}()
		t.Cleanup(func() { _ = near.Close() })
		return near, nil
	}
}

func request(id string) connector.Request {
	return connector.Request{Address: "a", Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b"), IDHeader: "Id", ID: id}
}

const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func TestAnswers(t *testing.T) {
	tests := []struct {
		name, answer string
		body         string
		headFails    error
		bodyFails    bool
	}{
		{"whole", whole, "ok", nil, false},
		{"of another request first", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nbad" + whole, "ok", nil, false},
		{"of other requests only", strings.Repeat("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nbad", 3), "", connector.ErrMismatchedResponse, false},
		{"interim answer first", "HTTP/1.1 100 Continue\r\n\r\n" + whole, "ok", nil, false},
		{"truncated", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 20\r\n\r\nok", "", nil, true},
		{"truncated in a chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", "", nil, true},
		{"without a length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", "ok", nil, false},
		{"no answer in the protocol", "garbage\r\n\r\n", "", errors.New(""), false},
		{"none", "", "", io.ErrUnexpectedEOF, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := connector.New(script(t, test.answer))
				r, err := c.Do(t.Context(), request("1"))
				if test.headFails != nil {
					require.Error(t, err)
					require.NotErrorIs(t, err, connector.ErrNotSent)
					return
				}
				require.NoError(t, err)
				body, err := io.ReadAll(r)
				r.Close()
				require.Equal(t, test.bodyFails, err != nil)
				if !test.bodyFails {
					require.Equal(t, test.body, string(body))
				}
				c.CloseIdle(func(string) bool { return false })
			})
		})
	}
}

// TestConnectionsAreKeptOnlyWhenClean counts the connections that two requests in
// a row need.
func TestConnectionsAreKeptOnlyWhenClean(t *testing.T) {
	tests := []struct {
		name, first string
		pause       time.Duration
		opened      uint64
	}{
		{"whole answer", whole, 0, 1},
		{"answer and more", whole + "HTTP/1.1 200 OK\r\n", 0, 2},
		{"said to close", strings.Replace(whole, "\r\nId", "\r\nConnection: close\r\nId", 1), 0, 2},
		{"idle for longer than the endpoint keeps it", strings.Replace(whole, "\r\nId", "\r\nKeep-Alive: timeout=2\r\nId", 1), 1500 * time.Millisecond, 2},
		{"idle for less", strings.Replace(whole, "\r\nId", "\r\nKeep-Alive: timeout=2\r\nId", 1), time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := connector.New(script(t, test.first, whole))
				for range 2 {
					r, err := c.Do(t.Context(), request("1"))
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

func TestNothingSentIsToldApart(t *testing.T) {
	c := connector.New(func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") })
	_, err := c.Do(t.Context(), request("1"))
	require.ErrorIs(t, err, connector.ErrNotSent)
}

// TestBrokenRequestsAreNotRepeated holds that a request on a kept connection that
// breaks goes out once.
func TestBrokenRequestsAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := connector.New(script(t, whole))
		r, err := c.Do(t.Context(), request("1"))
		require.NoError(t, err)
		_, _ = io.ReadAll(r)
		r.Close()
		get := request("1")
		get.Method, get.Body = http.MethodGet, nil
		_, err = c.Do(t.Context(), get)
		require.Error(t, err)
		require.NotErrorIs(t, err, connector.ErrNotSent)
		require.EqualValues(t, 1, c.OpenedConnections())
	})
}

// TestEarlyAnswerToALongRequest holds that an answer is read while the request is
// still on its way, and that its connection is not used again.
func TestEarlyAnswerToALongRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := connector.New(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.WriteString(far, whole) }()
			return near, nil
		})
		long := request("1")
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
