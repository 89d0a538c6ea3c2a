package dialer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/connector"
)

// MaxServiceResponseBytes bounds a plain service's response body, which is held in memory.
const MaxServiceResponseBytes = 8 << 20

// ErrResponseTooLarge reports a service response of more than [MaxServiceResponseBytes].
var ErrResponseTooLarge = errors.New("service answer is too large")

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Method string
	// Path is the path after the service's name, with the query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the response to a [ServiceCall].
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Connection is a connection to an endpoint for a single call. The standard client is
// not used for calls that must not be repeated, since it retries a request with an
// Idempotency-Key when a reused connection breaks.
type Connection struct {
	conn      net.Conn
	base      *url.URL
	sentBytes atomic.Int64
}

// Connect opens a connection to an endpoint without sending anything on it.
func Connect(ctx context.Context, endpoint figseam.Endpoint) (c *Connection, err error) {
	defer func() { err = eris.Wrapf(err, "connect to %s", endpoint.Name) }()
	base, err := url.Parse(endpoint.Address)
	if err != nil {
		return nil, err
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", base.Host)
	if err != nil {
		return nil, err
	}
	return &Connection{conn: conn, base: base}, nil
}

// Close closes the connection.
func (c *Connection) Close() error { return c.conn.Close() }

// AnyBytesSent reports whether any byte of the call may have reached the endpoint.
func (c *Connection) AnyBytesSent() bool { return c.sentBytes.Load() > 0 }

// Write sends p and adds its length to the count of sent bytes, before the write, since
// a write that fails may have sent a part.
func (c *Connection) Write(p []byte) (int, error) {
	c.sentBytes.Add(int64(len(p)))
	return c.conn.Write(p)
}

// Do sends the call and reads the whole response. It returns [ErrResponseTooLarge] if
// the body is longer than [MaxServiceResponseBytes].
func (c *Connection) Do(ctx context.Context, call ServiceCall) (result ServiceResponse, err error) {
	defer func() { err = eris.Wrap(err, "call service") }()
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return ServiceResponse{}, err
	}
	request.Header = call.Header.Clone()
	request.Close = true
	if err := ctx.Err(); err != nil {
		return ServiceResponse{}, err
	}
	if err := request.Write(c); err != nil {
		return ServiceResponse{}, err
	}
	response, err := connector.ReadResponse(c.conn, request)
	if err != nil {
		return ServiceResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxServiceResponseBytes+1))
	if err != nil {
		return ServiceResponse{}, err
	}
	if len(body) > MaxServiceResponseBytes {
		return ServiceResponse{}, ErrResponseTooLarge
	}
	return ServiceResponse{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
