package limiter_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/limiter"
)

// boundedServer serves requests on bounded connections. A request whose path is /wait is
// answered once respond has been called.
type boundedServer struct {
	*httptest.Server
	connections *limiter.Connections
	release     chan struct{}
	respond     func()
	served      atomic.Int64
	// reading holds the addresses of the clients from whose connections the server has read.
	reading sync.Map
	// beforeWrite is called before a connection writes, idle when one becomes idle.
	beforeWrite, idle func()
}

func newBoundedServer(t *testing.T, maxCount int, maxBytes int64) *boundedServer {
	s := &boundedServer{
		connections: limiter.NewConnections("test", maxCount, maxBytes, zerolog.Nop()), release: make(chan struct{}),
		beforeWrite: func() {}, idle: func() {},
	}
	s.respond = sync.OnceFunc(func() { close(s.release) })
	s.Server = httptest.NewUnstartedServer(nil)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			s.idle()
		}
	}
	s.connections.Configure(s.Config, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.served.Add(1)
		if r.URL.Path == "/wait" {
			<-s.release
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	s.Listener = s.connections.Listener(&observedListener{Listener: s.Listener, server: s})
	s.Start()
	t.Cleanup(func() {
		s.respond()
		s.Close()
	})
	return s
}

// observedListener shows what a server does on its connections.
type observedListener struct {
	net.Listener
	server *boundedServer
}

func (l *observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &observedConn{Conn: conn, server: l.server}, nil
}

type observedConn struct {
	net.Conn
	server *boundedServer
}

func (c *observedConn) Read(p []byte) (int, error) {
	c.server.reading.Store(c.RemoteAddr().String(), true)
	return c.Conn.Read(p)
}

func (c *observedConn) Write(p []byte) (int, error) {
	c.server.beforeWrite()
	return c.Conn.Write(p)
}

// connectionTimeout ends a test whose server neither responds nor closes the connection.
const connectionTimeout = 15 * time.Second

// dial opens a connection and sends a text.
func (s *boundedServer) dial(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(connectionTimeout)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// connect opens a connection, sends a text and waits until the server reads from it.
func (s *boundedServer) connect(t *testing.T, text string) net.Conn {
	c := s.dial(t, text)
	require.Eventually(t, func() bool {
		_, ok := s.reading.Load(c.LocalAddr().String())
		return ok
	}, connectionTimeout, time.Millisecond)
	return c
}

// requireStatus requires that a connection receives a response.
func requireStatus(t *testing.T, c net.Conn, status int) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
}

// requireClosed requires that the server has closed a connection without a response.
func requireClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := bufio.NewReader(c).ReadByte()
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is still open")
}

const (
	plainRequest   = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	waitingRequest = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
)

// TestQuietestConnectionMakesPlace guards against clients that connect and send nothing: they
// keep no place from others. A connection whose request is being served keeps its place.
func TestQuietestConnectionMakesPlace(t *testing.T) {
	s := newBoundedServer(t, 3, 1<<20)
	served := s.connect(t, waitingRequest)
	require.Eventually(t, func() bool { return s.served.Load() == 1 }, connectionTimeout, time.Millisecond)
	silent := s.connect(t, "")
	used := s.connect(t, plainRequest)
	requireStatus(t, used, http.StatusNoContent)
	requireStatus(t, s.connect(t, plainRequest), http.StatusNoContent)
	requireClosed(t, silent)
	require.EqualValues(t, 1, s.connections.Evicted())
	s.respond()
	requireStatus(t, served, http.StatusNoContent)
}

// TestConnectionIsKeptUntilResponseIsWritten guards against the loss of an answer whose handler
// has returned: net/http writes it after that, and the connection must not make place for a new
// one in between.
func TestConnectionIsKeptUntilResponseIsWritten(t *testing.T) {
	s := newBoundedServer(t, 1, 1<<20)
	writing, proceed := make(chan struct{}), make(chan struct{})
	finishWrite := sync.OnceFunc(func() { close(proceed) })
	t.Cleanup(finishWrite)
	s.beforeWrite = sync.OnceFunc(func() {
		close(writing)
		<-proceed
	})
	used := s.connect(t, plainRequest)
	<-writing
	requireClosed(t, s.dial(t, ""))
	finishWrite()
	requireStatus(t, used, http.StatusNoContent)
	require.Zero(t, s.connections.Evicted())
}

// TestArrivedRequestKeepsItsConnection guards against a request that runs on a connection that
// is already closed: one that has arrived behind another, and whose handler has not begun, is
// answered.
func TestArrivedRequestKeepsItsConnection(t *testing.T) {
	s := newBoundedServer(t, 1, 1<<20)
	idle, proceed := make(chan struct{}), make(chan struct{})
	readOn := sync.OnceFunc(func() { close(proceed) })
	t.Cleanup(readOn)
	s.idle = sync.OnceFunc(func() {
		close(idle)
		<-proceed
	})
	used := s.connect(t, plainRequest+plainRequest)
	<-idle
	requireClosed(t, s.dial(t, ""))
	readOn()
	responses := bufio.NewReader(used)
	for range 2 {
		response, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, response.StatusCode)
	}
	require.EqualValues(t, 2, s.served.Load())
	// A connection without a request makes place as soon as the server reads from it again.
	require.Eventually(t, func() bool {
		response, err := http.Get(s.URL)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusNoContent
	}, connectionTimeout, time.Millisecond)
	require.EqualValues(t, 1, s.connections.Evicted())
}

// TestHeaviestHeadIsClosed guards against heads of very many short fields that stop half-way:
// when they hold too much memory, the heaviest is closed, and small ones are served.
func TestHeaviestHeadIsClosed(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n"
	s := newBoundedServer(t, 100, 1<<20)
	small := s.connect(t, head)
	// The heavy one is opened before the light one, so that the outcome does not depend on the
	// time between them. All must have been read before the bound is reached.
	heavy := s.connect(t, head+strings.Repeat("x:\r\n", 1500))
	light := s.connect(t, head+strings.Repeat("x:\r\n", 500))
	require.Eventually(t, func() bool { return s.connections.HeldBytes() > 1_030_000 }, time.Minute, time.Millisecond)
	requireStatus(t, s.connect(t, head+strings.Repeat("y:\r\n", 600)+"\r\n"), http.StatusNoContent)
	requireClosed(t, heavy)
	for _, c := range []net.Conn{small, light} {
		_, err := io.WriteString(c, "\r\n")
		require.NoError(t, err)
		requireStatus(t, c, http.StatusNoContent)
	}
}

// TestSingleLargeHeadIsServed guards against a bound that refuses a request within the limits
// although nothing else is held.
func TestSingleLargeHeadIsServed(t *testing.T) {
	s := newBoundedServer(t, 100, 4<<20)
	requireStatus(t, s.connect(t, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("x:\r\n", 4000)+"\r\n"), http.StatusNoContent)
	require.Zero(t, s.connections.Evicted())
}

// stalledBody is a body that stops short of its end until it is aborted.
type stalledBody struct {
	rest    int
	aborted chan struct{}
}

var errAborted = errors.New("aborted")

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.rest > 0 {
		n := min(b.rest, len(p))
		b.rest -= n
		return n, nil
	}
	<-b.aborted
	return 0, errAborted
}

// TestHeaviestBodyIsGivenUp guards against bodies that stop just short of their end and keep
// the memory of others: the one that holds most for longest is given up, and only it.
func TestHeaviestBodyIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := limiter.NewBudget(400_000)
		results := make([]chan error, 3)
		sources := make([]*stalledBody, 3)
		for i, size := range []int{120_000, 200_000, 60_000} {
			source := &stalledBody{rest: size, aborted: make(chan struct{})}
			sources[i] = source
			results[i] = make(chan error, 1)
			go func() {
				_, err := budget.ReadAbortableBody(source, 1<<20, func() { close(source.aborted) })
				results[i] <- err
			}()
			time.Sleep(time.Second)
		}
		whole, err := budget.ReadAbortableBody(strings.NewReader(strings.Repeat("x", 200_000)), 1<<20, func() {})
		require.NoError(t, err)
		require.ErrorIs(t, <-results[1], limiter.ErrBudgetExhausted)
		require.Empty(t, results[0])
		require.Empty(t, results[2])
		require.EqualValues(t, 1, budget.Evicted())
		require.Equal(t, 200_000, whole.Len())
		// A body that needs more than what can be freed is refused; complete ones stay.
		_, err = budget.ReadAbortableBody(strings.NewReader(strings.Repeat("x", 390_000)), 1<<20, func() {})
		require.ErrorIs(t, err, limiter.ErrBudgetExhausted)
		require.Equal(t, 200_000, whole.Len())
		require.ErrorIs(t, <-results[0], limiter.ErrBudgetExhausted)
		close(sources[2].aborted)
		require.ErrorIs(t, <-results[2], errAborted)
	})
}

// bodyEndingAtAbort is a body whose end arrives at the moment at which it is given up.
type bodyEndingAtAbort struct{ stalledBody }

func (b *bodyEndingAtAbort) Read(p []byte) (int, error) {
	n, err := b.stalledBody.Read(p)
	if errors.Is(err, errAborted) {
		err = io.EOF
	}
	return n, err
}

// TestBodyGivenUpAtItsEndIsRefused guards against a request that goes on although its body was
// given up: the connection of such a body reports that its caller has left, so that the request
// would run and its response be lost.
func TestBodyGivenUpAtItsEndIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := limiter.NewBudget(300_000)
		source := &bodyEndingAtAbort{stalledBody{rest: 200_000, aborted: make(chan struct{})}}
		result := make(chan error, 1)
		go func() {
			_, err := budget.ReadAbortableBody(source, 1<<20, func() { close(source.aborted) })
			result <- err
		}()
		time.Sleep(time.Second)
		whole, err := budget.ReadAbortableBody(strings.NewReader(strings.Repeat("x", 250_000)), 1<<20, func() {})
		require.NoError(t, err)
		require.ErrorIs(t, <-result, limiter.ErrBudgetExhausted)
		require.Equal(t, 250_000, whole.Len())
		require.EqualValues(t, 1, budget.Evicted())
	})
}

// TestAnnouncedTrailersAreNotKept guards against heads that announce thousands of trailers, which
// would take many times their bytes until the request ends. Such a request is served.
func TestAnnouncedTrailersAreNotKept(t *testing.T) {
	connections := limiter.NewConnections("test", 10, 1<<20, zerolog.Nop())
	server := httptest.NewUnstartedServer(nil)
	connections.Configure(server.Config, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		announced := len(r.Trailer)
		body, err := io.ReadAll(r.Body)
		if announced > 0 || err != nil || string(body) != "body" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	server.Listener = connections.Listener(server.Listener)
	server.Start()
	defer server.Close()
	s := &boundedServer{Server: server}
	c := s.dial(t, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: "+strings.Repeat("a,b,", 2000)+"x\r\n\r\n4\r\nbody\r\n0\r\na: 1\r\n\r\n")
	requireStatus(t, c, http.StatusNoContent)
	_, err := io.WriteString(c, plainRequest)
	require.NoError(t, err)
	requireStatus(t, c, http.StatusInternalServerError)
}
