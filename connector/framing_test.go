package connector_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/emulator"
)

// uploadConn is a connection whose peer sends a response and ends the connection while a request
// is still being written.
type uploadConn struct {
	net.Conn
	response io.Reader
	// writeError ends the write after writeMillis. Without one the write lasts until its deadline.
	writeError  error
	writeMillis int
	interrupted chan struct{}
	once        sync.Once
}

func (c *uploadConn) Read(p []byte) (int, error) { return c.response.Read(p) }

func (c *uploadConn) Close() error { return c.SetWriteDeadline(time.Unix(1, 0)) }

func (c *uploadConn) Write([]byte) (int, error) {
	if c.writeError == nil {
		<-c.interrupted
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(time.Duration(c.writeMillis) * time.Millisecond)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: c.writeError}
}

func (c *uploadConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.interrupted) })
	return nil
}

// TestEndOfConnectionDuringUpload guards against a part of a response that is taken for the whole:
// when the peer resets the connection during an upload, the write may take the error, and the
// read ends as after an orderly close. A whole response that comes early is still returned.
func TestEndOfConnectionDuringUpload(t *testing.T) {
	const unframed, sized = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", completeResponse
	const chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	tests := []struct {
		name, response string
		writeError     error
		complete       bool
	}{
		{"reset, no length", unframed, syscall.ECONNRESET, false},
		{"peer unreachable, no length", unframed, syscall.ETIMEDOUT, false},
		{"peer closed, no length", unframed, syscall.EPIPE, true},
		{"peer closed its sending side only, no length", unframed, nil, true},
		{"reset, length", sized, syscall.ECONNRESET, true},
		{"reset, chunked", chunked, syscall.ECONNRESET, true},
	}
	for _, test := range tests {
		for _, writeMillis := range []int{0, 10} {
			t.Run(test.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := connector.New(func(context.Context, string, string) (net.Conn, error) {
						return &uploadConn{
							response: strings.NewReader(test.response), writeError: test.writeError, writeMillis: writeMillis, interrupted: make(chan struct{}),
						}, nil
					})
					request := newRequest("1")
					request.Body = make([]byte, 1<<20)
					r, err := c.Do(t.Context(), request)
					require.NoError(t, err)
					defer synctest.Wait()
					defer r.Close()
					body, err := io.ReadAll(r)
					require.Equal(t, "ok", string(body))
					require.Equal(t, test.complete, err == nil, "error of the body: %v", err)
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// TestResetDuringUploadOverTCP is the same over the sockets of the kernel, with both ways of
// sending a request.
func TestResetDuringUploadOverTCP(t *testing.T) {
	const uploadBytes, rounds = 4 << 20, 20
	tests := []struct {
		name     string
		answer   emulator.ScriptedAnswer
		complete bool
	}{
		{"reset", emulator.ScriptedAnswer{Text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", End: emulator.Reset, Early: true}, false},
		{"closed in an orderly way", emulator.ScriptedAnswer{Text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", End: emulator.CloseOrderly, Early: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, &emulator.ScriptedServer{Answer: func(int, *http.Request) emulator.ScriptedAnswer { return test.answer }})
			c := connector.New(nil)
			client := &http.Client{Transport: connector.NewTransport(connector.TransportSettings{})}
			upload := make([]byte, uploadBytes)
			for range rounds {
				request := newRequest("1")
				request.Address, request.Body = address, upload
				r, err := c.Do(t.Context(), request)
				if err == nil {
					_, err = io.ReadAll(r)
					r.Close()
				}
				require.Equal(t, test.complete, err == nil, "connector: %v", err)
				h, err := client.Post("http://"+address, "", bytes.NewReader(upload))
				if err == nil {
					_, err = io.ReadAll(h.Body)
					_ = h.Body.Close()
				}
				require.Equal(t, test.complete, err == nil, "transport: %v", err)
			}
		})
	}
}
