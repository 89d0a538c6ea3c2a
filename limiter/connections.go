package limiter

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// fieldBytes is the memory that a line of a head takes once it is parsed and copied for
	// an endpoint, in addition to its text.
	fieldBytes = 512
	// requestTimeoutMillis bounds the time in which a request's body must arrive, and its
	// response be taken, unless the handler sets deadlines of its own.
	requestTimeoutMillis = 10_000
	// writeStallMillis is the time after which a connection is closed whose client takes no
	// byte of a response.
	writeStallMillis = 10_000
	// evictionLogMillis is the least time between two log lines on evictions.
	evictionLogMillis = 1000
	// minHoldMillis is added to the time for which a connection holds memory, so that those
	// that began at the same time are compared by their memory.
	minHoldMillis = 100
)

// errEvicted reports a connection that was closed since others needed its place.
var errEvicted = errors.New("connection was closed to free what it held")

// Connections bounds the connections of a server's clients and the memory that the heads of
// their unfinished requests hold together. For memory it closes the connection whose unfinished
// head holds most for longest; for a place the one that has waited for its client for longest,
// and if none waits, the new connection is refused. A connection belongs to its request from
// the beginning of the handler until the last byte of the response is written, and is not closed
// in that time; one that was closed before calls no handler. It is safe for concurrent use.
//
// Load pattern: crowds of clients that connect, send very many fields, or stop half-way.
type Connections struct {
	name     string
	maxCount int
	maxBytes int64
	log      zerolog.Logger
	evicted  atomic.Int64

	// mu guards everything below and the fields of the connections that it names.
	mu        sync.Mutex
	open      map[*clientConn]struct{}
	heldBytes int64
	nextLogAt time.Time
}

// NewConnections returns the connections of a server, whose name appears in log lines.
func NewConnections(name string, maxCount int, maxBytes int64, log zerolog.Logger) *Connections {
	return &Connections{name: name, maxCount: maxCount, maxBytes: maxBytes, log: log, open: map[*clientConn]struct{}{}}
}

// Len returns the number of open connections.
func (c *Connections) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// HeldBytes returns the memory that the heads of unfinished requests hold.
func (c *Connections) HeldBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heldBytes
}

// Evicted returns the number of connections that were closed because a bound was reached.
func (c *Connections) Evicted() int64 { return c.evicted.Load() }

// Listener returns a listener whose connections are bounded. The server must have been set up
// by [Connections.Configure].
func (c *Connections) Listener(l net.Listener) net.Listener {
	return &boundedListener{Listener: l, owner: c}
}

// Configure sets the handler and the hooks of a server for the connections of
// [Connections.Listener]. A ConnState that the server has is still called; it must not be set
// afterwards, since connections would then count as in use for ever.
func (c *Connections) Configure(server *http.Server, next http.Handler) {
	observe := server.ConnState
	server.Handler = c.handler(next)
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	// net/http writes a short response only after its handler has returned, and reports the
	// connection as idle once that is done.
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn, ok := conn.(*clientConn); ok && state == http.StateIdle {
			c.finish(conn)
		}
		if observe != nil {
			observe(conn, state)
		}
	}
}

func (c *Connections) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		deadline := time.Now().Add(requestTimeoutMillis * time.Millisecond)
		_ = control.SetReadDeadline(deadline)
		_ = control.SetWriteDeadline(deadline)
		if conn, ok := r.Context().Value(connKey{}).(*clientConn); ok && !c.begin(conn) {
			panic(http.ErrAbortHandler)
		}
		// net/http keeps a map of the names that the head announces as trailers, which no handler
		// uses: 600 heads of 16 KB that announced thousands took a process to 276 MB.
		r.Trailer = nil
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// begin marks a connection as one with a request in progress. It returns false if the
// connection was closed before.
func (c *Connections) begin(conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.handling.Store(!conn.evicted)
	return !conn.evicted
}

// finish marks the end of a request, and frees what its head held.
func (c *Connections) finish(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldBytes -= conn.heldBytes
	conn.heldBytes = 0
	conn.progressAt.Store(time.Now().UnixNano())
	conn.handling.Store(false)
}

// add registers a connection. It returns false if there is no place for it.
func (c *Connections) add(conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.maxCount {
		victim := c.quietest()
		if victim == nil {
			return false
		}
		c.evict(victim)
	}
	c.open[conn] = struct{}{}
	return true
}

// charge adds the memory of a part of a head. It returns errEvicted if the connection holds
// more than any other and there is no memory for it.
func (c *Connections) charge(conn *clientConn, head []byte) error {
	weight := int64(len(head) + fieldBytes*bytes.Count(head, []byte{'\n'}))
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.evicted {
		return errEvicted
	}
	if conn.heldBytes == 0 {
		conn.heldSince = time.Now()
	}
	conn.heldBytes += weight
	c.heldBytes += weight
	for c.heldBytes > c.maxBytes {
		victim := c.heaviest()
		if victim == nil {
			break
		}
		c.evict(victim)
		if victim == conn {
			return errEvicted
		}
	}
	return nil
}

// quietest returns the connection that has waited for its client for longest; nil if there is
// none. The caller holds mu.
func (c *Connections) quietest() *clientConn {
	var found *clientConn
	for conn := range c.open {
		if conn.waits() && (found == nil || conn.progressAt.Load() < found.progressAt.Load()) {
			found = conn
		}
	}
	return found
}

// heaviest returns the connection without a request in progress that holds most memory for
// longest; nil if there is none. The caller holds mu.
func (c *Connections) heaviest() *clientConn {
	var found *clientConn
	highest, now := 0.0, time.Now()
	for conn := range c.open {
		score := float64(conn.heldBytes) * float64(now.Sub(conn.heldSince).Milliseconds()+minHoldMillis)
		if conn.heldBytes > 0 && !conn.handling.Load() && score > highest {
			found, highest = conn, score
		}
	}
	return found
}

// evict closes a connection. The caller holds mu.
func (c *Connections) evict(conn *clientConn) {
	conn.evicted = true
	c.remove(conn)
	c.evicted.Add(1)
	_ = conn.Conn.Close()
	if now := time.Now(); now.After(c.nextLogAt) {
		c.nextLogAt = now.Add(evictionLogMillis * time.Millisecond)
		c.log.Warn().Str("server", c.name).Int("open", len(c.open)).Int64("held_bytes", c.heldBytes).Int64("evicted", c.evicted.Load()).Msg("client connections closed to free places or memory")
	}
}

// remove drops a connection. The caller holds mu.
func (c *Connections) remove(conn *clientConn) {
	if _, ok := c.open[conn]; !ok {
		return
	}
	delete(c.open, conn)
	c.heldBytes -= conn.heldBytes
	conn.heldBytes = 0
}

// boundedListener accepts connections for which there is a place.
type boundedListener struct {
	net.Listener
	owner *Connections
}

// Accept implements [net.Listener].
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &clientConn{Conn: raw, owner: l.owner}
		conn.progressAt.Store(time.Now().UnixNano())
		if l.owner.add(conn) {
			return conn, nil
		}
		_ = raw.Close()
	}
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	owner *Connections
	// handling is set from the beginning of a request's handler until its response is written.
	handling atomic.Bool
	// reading is set while the server reads from the connection. It is not set while a request
	// that has arrived waits for its handler.
	reading atomic.Bool
	// progressAt is the time of the last byte that came, or of the end of the last response if
	// that is later, in nanoseconds.
	progressAt atomic.Int64
	// writeDeadline is the one that was set, in nanoseconds; 0 for none.
	writeDeadline atomic.Int64

	// heldBytes is the memory that the head of the request takes, since heldSince.
	heldBytes int64
	heldSince time.Time
	evicted   bool
}

// waits reports whether the server waits for the client to send a request.
func (c *clientConn) waits() bool { return c.reading.Load() && !c.handling.Load() }

// Read implements [net.Conn].
func (c *clientConn) Read(p []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	if n == 0 {
		return n, err
	}
	c.progressAt.Store(time.Now().UnixNano())
	if c.handling.Load() {
		return n, err
	}
	if evicted := c.owner.charge(c, p[:n]); evicted != nil {
		return 0, evicted
	}
	return n, err
}

// Write implements [net.Conn]. It fails if the client takes nothing for writeStallMillis.
func (c *clientConn) Write(p []byte) (int, error) {
	deadline := time.Now().Add(writeStallMillis * time.Millisecond)
	if set := c.writeDeadline.Load(); set != 0 && set < deadline.UnixNano() {
		deadline = time.Unix(0, set)
	}
	_ = c.Conn.SetWriteDeadline(deadline)
	return c.Conn.Write(p)
}

// SetWriteDeadline implements [net.Conn].
func (c *clientConn) SetWriteDeadline(t time.Time) error {
	c.storeWriteDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements [net.Conn].
func (c *clientConn) SetDeadline(t time.Time) error {
	c.storeWriteDeadline(t)
	return c.Conn.SetDeadline(t)
}

func (c *clientConn) storeWriteDeadline(t time.Time) {
	if t.IsZero() {
		c.writeDeadline.Store(0)
		return
	}
	c.writeDeadline.Store(t.UnixNano())
}

// CloseWrite closes the sending side of a TCP connection.
func (c *clientConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *clientConn) Close() error {
	c.owner.mu.Lock()
	c.owner.remove(c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
