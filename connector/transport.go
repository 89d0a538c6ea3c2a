package connector

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// sweepIntervalMillis is the least time between two removals of idle connections that have
// timed out.
const sweepIntervalMillis = 1000

// TransportSettings are the settings of a [Transport].
type TransportSettings struct {
	// Dial opens connections; nil for TCP.
	Dial DialFunc
	// DialTimeoutMillis limits the time to open a connection; 0 for the connector's own limit.
	DialTimeoutMillis int64
	// MaxIdlePerAddress bounds the connections to one address that are kept for further
	// requests. With 0 each connection carries one request.
	MaxIdlePerAddress int
}

// Transport is an [http.RoundTripper] over a [Connector], for callers that use the client of
// net/http. It never retries a request. Its responses bear no ID, so that a connection is kept only
// after a success, and a request with Close set has a connection of its own. It is safe for
// concurrent use.
type Transport struct {
	plain *Connector
	// secure opens TLS connections.
	secure *Connector
	// singleUse is true if each connection carries one request.
	singleUse bool

	// mu guards sweepAt, the time from which idle connections are looked at again.
	mu      sync.Mutex
	sweepAt time.Time
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport without connections.
func NewTransport(s TransportSettings) *Transport {
	dial := s.Dial
	if dial == nil {
		dial = dialTCP
	}
	t := &Transport{plain: New(dial), secure: New(secured(dial)), singleUse: s.MaxIdlePerAddress == 0}
	for _, c := range []*Connector{t.plain, t.secure} {
		c.dialTimeoutMillis = cmp.Or(s.DialTimeoutMillis, dialTimeoutMillis)
		c.maxIdlePerAddress = s.MaxIdlePerAddress
		c.keepsRefusing = false
	}
	return t
}

// secured returns a function that opens TLS connections over those of dial.
func secured(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := tls.Client(raw, &tls.Config{ServerName: host, MinVersion: tls.VersionTLS12})
		if err := c.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return c, nil
	}
}

// RoundTrip implements [http.RoundTripper]. It reads the whole body of the request before it
// opens a connection.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c, address, err := t.route(r)
	if err != nil {
		return nil, err
	}
	body, err := readRequestBody(r)
	if err != nil {
		return nil, err
	}
	t.sweep()
	header, singleUse := r.Header, r.Close || t.singleUse
	if singleUse && header.Get("Upgrade") == "" {
		header = header.Clone()
		header.Set("Connection", "close")
	}
	response, err := c.Do(r.Context(), Request{
		Address: address, Method: r.Method, Target: r.URL.RequestURI(), Host: cmp.Or(r.Host, r.URL.Host),
		Header: header, Body: body, SingleUse: singleUse,
	})
	if err != nil {
		return nil, err
	}
	return response.asHTTP(r), nil
}

// route returns the connector and the address for a request.
func (t *Transport) route(r *http.Request) (c *Connector, address string, err error) {
	switch r.URL.Scheme {
	case "http":
		return t.plain, withPort(r.URL, "80"), nil
	case "https":
		return t.secure, withPort(r.URL, "443"), nil
	}
	return nil, "", fmt.Errorf("unsupported scheme %q", r.URL.Scheme)
}

// withPort returns the host and port of a URL, whose scheme has a default port.
func withPort(u *url.URL, defaultPort string) string {
	return net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), defaultPort))
}

// readRequestBody reads and closes the body of a request.
func readRequestBody(r *http.Request) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength))
	}
	_, err := io.Copy(&b, r.Body)
	return b.Bytes(), err
}

// sweep closes idle connections that have timed out, at most once per interval.
func (t *Transport) sweep() {
	now := time.Now()
	t.mu.Lock()
	due := !now.Before(t.sweepAt)
	if due {
		t.sweepAt = now.Add(sweepIntervalMillis * time.Millisecond)
	}
	t.mu.Unlock()
	if due {
		keepAll := func(string) bool { return true }
		t.plain.CloseIdle(keepAll)
		t.secure.CloseIdle(keepAll)
	}
}

// CloseIdleConnections closes all idle connections. [http.Client] calls it.
func (t *Transport) CloseIdleConnections() {
	keepNone := func(string) bool { return false }
	t.plain.CloseIdle(keepNone)
	t.secure.CloseIdle(keepNone)
}

// asHTTP returns the response in the form of net/http. Its body must be closed.
func (r *Response) asHTTP(request *http.Request) *http.Response {
	h := &http.Response{
		Status: fmt.Sprintf("%03d %s", r.Status, http.StatusText(r.Status)), StatusCode: r.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header, ContentLength: r.contentLength, Request: request,
	}
	if r.Status == http.StatusSwitchingProtocols {
		h.Body = r.exchange.upgrade()
		return h
	}
	h.Body = &httpBody{response: r, ctx: request.Context()}
	return h
}

// httpBody is the body of a response in the form of net/http.
type httpBody struct {
	response *Response
	ctx      context.Context
}

// Read implements [io.Reader]. After the end of the request's context it returns the cause of
// that in place of the error of the closed connection.
func (b *httpBody) Read(p []byte) (int, error) {
	n, err := b.response.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && b.ctx.Err() != nil {
		err = context.Cause(b.ctx)
	}
	return n, err
}

// Close implements [io.Closer].
func (b *httpBody) Close() error {
	b.response.Close()
	return nil
}

// upgradedConn is a connection that has switched to another protocol.
type upgradedConn struct {
	net.Conn
	reader io.Reader
}

// Read implements [io.Reader]. The first bytes may have been read with the head.
func (c *upgradedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// upgrade ends the exchange and returns its connection, which no longer depends on the context.
func (x *exchange) upgrade() io.ReadWriteCloser {
	x.closeOnce.Do(func() { x.stopAbort() })
	return &upgradedConn{Conn: x.conn.Conn, reader: x.conn.reader}
}
