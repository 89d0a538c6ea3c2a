package connector

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeoutMillis = 250
	// unackedTimeoutMillis is the longest time that sent bytes may stay unacknowledged
	// before the kernel closes the connection.
	unackedTimeoutMillis = 1500
	readBufferBytes      = 4 << 10
	// maxStaleResponses bounds the responses to earlier requests that are skipped.
	maxStaleResponses = 2
	// maxStaleBodyBytes bounds the body of a skipped response.
	maxStaleBodyBytes = 1 << 20
	// maxSyncWriteBytes is the largest request that is written before its response is
	// read. A longer one is written concurrently.
	maxSyncWriteBytes = 8 << 10
)

// ErrNotSent reports that no byte of the request was sent.
var ErrNotSent = errors.New("request was not sent")

// ErrMismatchedResponse reports that the connection carried only responses to other
// requests.
var ErrMismatchedResponse = errors.New("answers belong to other requests")

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Request is an HTTP request to an endpoint.
type Request struct {
	Address string
	Method  string
	// Target is the request target: the encoded path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader and ID are the name and value of the header that the response must
	// repeat. With an empty IDHeader every response is accepted, unless it is a refusal behind
	// which another response has already arrived. Such a request never uses a connection that
	// carried a request with an ID, since it would accept a late response to that one as its own.
	// For the same reason a request never uses a connection that carried its ID before.
	IDHeader string
	ID       string
	// SingleUse has the request sent on a new connection, which is not kept.
	SingleUse bool
	// ObserveLate, if set, is called with a response that arrives after the exchange of a request
	// without an ID has ended: the response of the exchange was then one to an earlier request,
	// sent once more. It may be called in another goroutine.
	ObserveLate func(status int, body []byte)
	// ObserveHead, if set, is called with the head of each response on the connection while
	// it carries the request: interim ones, responses to earlier requests, and its own.
	ObserveHead func(status int, header http.Header)
}

// Response is an endpoint's response. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// SelfDelimiting reports whether the body has a length or is chunked, so that its
	// end can be distinguished from a broken connection.
	SelfDelimiting bool
	// contentLength is the length of the body that the header states, or -1.
	contentLength int64
	body          io.ReadCloser
	bodyComplete  bool
	exchange      *exchange
}

// Connector keeps connections to endpoints for reuse. It is safe for concurrent use.
type Connector struct {
	dial              DialFunc
	dialTimeoutMillis int64
	maxIdlePerAddress int
	// keepsRefusing is true if a connection may be kept after a refusal.
	keepsRefusing bool
	// places holds an element for each open connection; nil if their number is not bounded.
	// waiting is the number of requests that wait for a place.
	places  chan struct{}
	waiting atomic.Int64

	// mu guards everything below.
	mu     sync.Mutex
	idle   map[idleKey][]*conn
	opened uint64
}

// conn is a connection that one exchange uses at a time.
type conn struct {
	net.Conn
	*responseReader
	idleDeadline time.Time
	// carried holds the hashes of the IDs of all requests that the connection carried.
	carried []uint64
	// refused is true once a request without an ID got a response that is no success.
	refused bool
	// late, if set, is called with a response that arrives while the connection is idle.
	late func(status int, body []byte)
}

// exchange is one request with its connection and response.
type exchange struct {
	connector *Connector
	conn      *conn
	request   Request
	// stopAbort stops the watch of the context, whose end closes the connection. It
	// returns false if the context has ended.
	stopAbort   func() bool
	writeResult chan error
	reusable    bool
	// status is the status of the response.
	status int
	// keepAlive is the response's Keep-Alive header.
	keepAlive string
	closeOnce sync.Once
}

// New returns a connector. A nil dial opens TCP connections.
func New(dial DialFunc) *Connector {
	if dial == nil {
		dial = dialTCP
	}
	return &Connector{dial: dial, dialTimeoutMillis: dialTimeoutMillis, maxIdlePerAddress: maxIdlePerAddress, keepsRefusing: true, idle: map[idleKey][]*conn{}}
}

// OpenedConnections returns the number of connections opened so far.
func (c *Connector) OpenedConnections() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Do sends a request and returns its response once the header has been read. Until
// the response is closed, the end of ctx closes the connection. The error wraps
// [ErrNotSent] if no byte of the request was sent.
func (c *Connector) Do(ctx context.Context, r Request) (*Response, error) {
	x := &exchange{connector: c, request: r}
	if err := x.connect(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	netConn := x.conn.Conn
	x.stopAbort = context.AfterFunc(ctx, func() { _ = netConn.Close() })
	x.send()
	response, err := x.receive()
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	return response, nil
}

func (x *exchange) connect(ctx context.Context) error {
	if k := x.popIdle(); k != nil {
		x.conn = k
		return nil
	}
	ctx, cancel := x.connector.withDialTimeout(ctx)
	defer cancel()
	raw, err := x.connector.openConn(ctx, x.request.Address)
	if err != nil {
		return err
	}
	x.connector.mu.Lock()
	x.connector.opened++
	x.connector.mu.Unlock()
	x.conn = &conn{Conn: raw, responseReader: newResponseReader(raw)}
	return nil
}

// withDialTimeout returns a context that ends with the time to open a connection.
func (c *Connector) withDialTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(c.dialTimeoutMillis)*time.Millisecond)
}

// Refuses reports whether an address refuses new connections. An address that does not
// respond within the dial timeout does not count as refusing them.
func (c *Connector) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := c.withDialTimeout(ctx)
	defer cancel()
	probe, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return ctx.Err() == nil
	}
	_ = probe.Close()
	return false
}

// send writes the request. A long request is written concurrently with the reading of
// the response, since an endpoint may respond before it has read the whole request.
func (x *exchange) send() {
	var b bytes.Buffer
	b.Grow(len(x.request.Body) + 1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.request.Method, x.request.Target, x.request.Host)
	_ = x.request.Header.Write(&b)
	if len(x.request.Body) > 0 || hasBody(x.request.Method) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(x.request.Body))
	}
	b.WriteString("\r\n")
	b.Write(x.request.Body)
	x.writeResult = make(chan error, 1)
	if b.Len() <= maxSyncWriteBytes {
		_, err := x.conn.Write(b.Bytes())
		x.writeResult <- err
		return
	}
	k := x.conn.Conn
	go func() {
		_, err := k.Write(b.Bytes())
		x.writeResult <- err
	}()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the header of the response to this request and skips responses to
// earlier ones.
func (x *exchange) receive() (*Response, error) {
	for range maxStaleResponses + 1 {
		response, err := x.readHeader()
		if err != nil {
			return nil, err
		}
		if x.request.IDHeader == "" || x.repeatsID(response.Header) {
			if x.isCopy(response) {
				continue
			}
			return response, nil
		}
		if x.conn.late != nil && response.SelfDelimiting && response.Header.Get(x.request.IDHeader) == "" {
			x.conn.passLate(response.Status, response)
			x.conn.late = nil
			continue
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.body, maxStaleBodyBytes))
		if err != nil || n == maxStaleBodyBytes || !response.SelfDelimiting {
			return nil, ErrMismatchedResponse
		}
	}
	return nil, ErrMismatchedResponse
}

// repeatsID reports whether a response repeats the ID of this request, and no other one.
func (x *exchange) repeatsID(h http.Header) bool {
	ids := h.Values(x.request.IDHeader)
	if len(ids) == 0 {
		return x.request.ID == ""
	}
	return !slices.ContainsFunc(ids, func(id string) bool { return id != x.request.ID })
}

func (x *exchange) readHeader() (*Response, error) {
	h, err := x.conn.readResponse(&http.Request{Method: x.request.Method, Header: x.request.Header}, x.request.ObserveHead)
	if err != nil {
		return nil, err
	}
	delimited := selfDelimiting(h)
	if !delimited {
		h.Body = &closeDelimitedBody{ReadCloser: h.Body, checkEnd: x.checkEnd}
	}
	x.reusable = delimited && !h.Close
	x.status = h.StatusCode
	x.keepAlive = h.Header.Get("Keep-Alive")
	return &Response{
		Status: h.StatusCode, Header: h.Header, SelfDelimiting: delimited, contentLength: h.ContentLength, body: h.Body, exchange: x,
	}, nil
}

// checkEnd returns an error unless the end of the connection, as reads show it, is an orderly one.
// If the peer resets the connection during an upload, the kernel reports the error once: to a read
// or to the write. After the write has taken it, a read ends as if the peer had closed. The write
// is therefore ended and its result awaited. EPIPE follows a reset only if the peer had closed its
// sending side before.
func (x *exchange) checkEnd() error {
	_ = x.conn.SetWriteDeadline(time.Unix(1, 0))
	err := <-x.writeResult
	x.writeResult <- err
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrClosedPipe):
		return nil
	}
	return fmt.Errorf("%w: connection broke during the upload: %w", io.ErrUnexpectedEOF, err)
}

// Read reads the body. It returns io.EOF only if the body is complete: by its length, by its last
// chunk, or, without either, by an orderly end of the connection.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.bodyComplete = r.bodyComplete || errors.Is(err, io.EOF)
	return n, err
}

// Discard prevents the reuse of the connection, because the response turned out to belong
// to another request.
func (r *Response) Discard() { r.exchange.reusable = false }

// Close ends the exchange. The connection is kept only if the body was read to its end,
// and reused only if no further bytes have arrived on it.
func (r *Response) Close() {
	r.exchange.closeOnce.Do(func() { r.exchange.finish(r.bodyComplete) })
}

func (x *exchange) finish(bodyComplete bool) {
	stopped := x.stopAbort()
	if !stopped || !bodyComplete || !x.reusable || !x.writeSucceeded() || !x.mayKeep() {
		_ = x.conn.Close()
		return
	}
	x.recordOutcome()
	x.conn.idleDeadline = time.Now().Add(idleTimeout(x.keepAlive))
	x.connector.pushIdle(x.request.idleKey(), x.conn)
}

func (x *exchange) writeSucceeded() bool {
	select {
	case err := <-x.writeResult:
		return err == nil
	default:
		return false
	}
}

func (x *exchange) abort() {
	x.stopAbort()
	_ = x.conn.Close()
}
