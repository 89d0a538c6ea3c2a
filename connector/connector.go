package connector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// dialMillis bounds the opening of a connection.
	dialMillis = 250
	// silenceMillis is how long sent bytes may stay unconfirmed before the
	// connection counts as broken.
	silenceMillis = 1500
	// idleMillis is how long a connection is kept whose endpoint names no time.
	idleMillis = 4000
	// idleShare is the part of the time named by an endpoint for which an idle
	// connection is used again.
	idleShare = 0.7
	// idlePerAddress bounds the idle connections to one endpoint.
	idlePerAddress = 16
	// readBytes is the size of a connection's read buffer.
	readBytes = 4 << 10
	// foreignAnswers is how many answers to earlier requests are read past.
	foreignAnswers = 2
	// foreignBytes bounds the body of such an answer.
	foreignBytes = 1 << 20
	// inlineBytes is the size of a request that is written before its answer is
	// read; a longer one is written beside.
	inlineBytes = 8 << 10
)

// ErrNotSent means that no byte of the request left.
var ErrNotSent = errors.New("request was not sent")

// ErrMismatchedResponse means that the connection carried answers to other requests only.
var ErrMismatchedResponse = errors.New("answers belong to other requests")

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Request is one message to an endpoint.
type Request struct {
	Address string
	Method  string
	// Target is path and query as they go on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader and ID are the header that an answer must repeat; an empty
	// IDHeader takes every answer.
	IDHeader string
	ID       string
}

// Response is an endpoint's answer. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// SelfDelimiting tells that the end of the body can be told from a broken connection.
	SelfDelimiting bool
	body           io.ReadCloser
	ended          bool
	x              *exchange
}

// Connector keeps connections. It is safe for concurrent use.
type Connector struct {
	dial DialFunc

	// mu guards everything below.
	mu     sync.Mutex
	idle   map[string][]*conn
	opened uint64
}

// conn is a connection that one exchange uses at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	idleEnd time.Time
}

// exchange is one request on its way.
type exchange struct {
	c       *Connector
	conn    *conn
	request Request
	stop    func() bool
	written chan error
	keep    bool
	// keepAlive is what the endpoint says of idle connections.
	keepAlive string
	done      sync.Once
}

// New returns a connector. A nil dial uses the network.
func New(dial DialFunc) *Connector {
	if dial == nil {
		dial = dialNetwork
	}
	return &Connector{dial: dial, idle: map[string][]*conn{}}
}

// OpenedConnections returns how many connections were opened.
func (c *Connector) OpenedConnections() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// Do sends a request and returns the head of its answer. The end of ctx breaks
// the connection at any later time until the response is closed.
func (c *Connector) Do(ctx context.Context, r Request) (*Response, error) {
	x := &exchange{c: c, request: r}
	if err := x.connect(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	cut := x.conn.Conn
	x.stop = context.AfterFunc(ctx, func() { _ = cut.Close() })
	x.send()
	response, err := x.receive()
	if err != nil {
		x.discard()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, err
	}
	return response, nil
}

func (x *exchange) connect(ctx context.Context) error {
	if k := x.c.take(x.request.Address); k != nil {
		x.conn = k
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialMillis*time.Millisecond)
	defer cancel()
	raw, err := x.c.dial(ctx, "tcp", x.request.Address)
	if err != nil {
		return err
	}
	x.c.mu.Lock()
	x.c.opened++
	x.c.mu.Unlock()
	x.conn = &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBytes)}
	return nil
}

// take returns an idle connection that is still whole.
func (c *Connector) take(address string) *conn {
	for {
		c.mu.Lock()
		all := c.idle[address]
		if len(all) == 0 {
			c.mu.Unlock()
			return nil
		}
		k := all[len(all)-1]
		c.idle[address] = all[:len(all)-1]
		c.mu.Unlock()
		if time.Now().Before(k.idleEnd) && k.reader.Buffered() == 0 && isQuiet(k.Conn) {
			return k
		}
		_ = k.Close()
	}
}

// send writes the request, beside the reading of the answer if it is long: an
// endpoint may answer before it has read everything.
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
	x.written = make(chan error, 1)
	if b.Len() <= inlineBytes {
		_, err := x.conn.Write(b.Bytes())
		x.written <- err
		return
	}
	k := x.conn.Conn
	go func() {
		_, err := k.Write(b.Bytes())
		x.written <- err
	}()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the head of the request's own answer.
func (x *exchange) receive() (*Response, error) {
	for range foreignAnswers + 1 {
		response, err := x.readHead()
		if err != nil {
			return nil, err
		}
		if x.request.IDHeader == "" || response.Header.Get(x.request.IDHeader) == x.request.ID {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.body, foreignBytes))
		if err != nil || n == foreignBytes || !response.SelfDelimiting {
			return nil, ErrMismatchedResponse
		}
	}
	return nil, ErrMismatchedResponse
}

func (x *exchange) readHead() (*Response, error) {
	for {
		h, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, err
		}
		if h.StatusCode >= 100 && h.StatusCode < 200 {
			continue
		}
		framed := h.ContentLength >= 0 || len(h.TransferEncoding) > 0
		x.keep = framed && !h.Close
		x.keepAlive = h.Header.Get("Keep-Alive")
		return &Response{Status: h.StatusCode, Header: h.Header, SelfDelimiting: framed, body: h.Body, x: x}, nil
	}
}

// idleTime returns how long a connection may be idle before it is used again:
// less than the endpoint keeps it open.
func idleTime(keepAlive string) time.Duration {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return time.Duration(seconds * idleShare * float64(time.Second))
		}
	}
	return idleMillis * time.Millisecond
}

// Read reads the body. io.EOF means that the body is complete as far as its
// framing can tell.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.ended = r.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close ends the exchange. The connection is kept if the body was read to its
// end; it is used again only if nothing else came.
func (r *Response) Close() {
	r.x.done.Do(func() { r.x.finish(r.ended) })
}

func (x *exchange) finish(ended bool) {
	stopped := x.stop()
	if !stopped || !ended || !x.keep || !x.hasWritten() {
		_ = x.conn.Close()
		return
	}
	x.conn.idleEnd = time.Now().Add(idleTime(x.keepAlive))
	x.c.put(x.request.Address, x.conn)
}

func (x *exchange) hasWritten() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

func (x *exchange) discard() {
	x.stop()
	_ = x.conn.Close()
}

func (c *Connector) put(address string, k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= idlePerAddress {
		_ = k.Close()
		return
	}
	c.idle[address] = append(c.idle[address], k)
}

// CloseIdle closes the idle connections to every address that keep does not name.
func (c *Connector) CloseIdle(keep func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, all := range c.idle {
		named := keep(address)
		kept := all[:0]
		for _, k := range all {
			if named && now.Before(k.idleEnd) {
				kept = append(kept, k)
				continue
			}
			_ = k.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}
