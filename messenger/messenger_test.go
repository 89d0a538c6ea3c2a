package messenger_test

import (
	"context"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/recoverer"
)

// Limits of require.Eventually. The timeout is long, since only failing tests reach it.
const (
	eventuallyTimeout = 30 * time.Second
	pollInterval      = 5 * time.Millisecond
)

// pair is a calling and a serving messenger.
type pair struct {
	caller     *messenger.Messenger
	server     *messenger.Messenger
	httpServer *httptest.Server
	address    string

	mu            sync.Mutex
	discardWrites bool
	received      []int
	cancelled     int
	started       chan struct{}
}

func newPair(t *testing.T) *pair {
	p := &pair{started: make(chan struct{}, 16)}
	p.server = messenger.New("server", nil, zerolog.Nop())
	messenger.Handle(p.server, "double", func(_ context.Context, from figseam.InstanceID, n int) (int, error) {
		if from != "caller" {
			return 0, errors.New("wrong sender")
		}
		return 2 * n, nil
	})
	messenger.Handle(p.server, "refuse", func(context.Context, figseam.InstanceID, int) (int, error) {
		return 0, figseam.NewRefusal("reason", "detail").WithRetryAt(figseam.DeadlineAfterMillis(5000))
	})
	messenger.Handle(p.server, "panic", func(context.Context, figseam.InstanceID, []int) (int, error) {
		var none []int
		return none[0], nil
	})
	messenger.Handle(p.server, "wait", func(ctx context.Context, _ figseam.InstanceID, _ int) (int, error) {
		p.started <- struct{}{}
		<-ctx.Done()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancelled++
		return 0, ctx.Err()
	})
	messenger.Handle(p.server, "note", func(_ context.Context, _ figseam.InstanceID, n int) (int, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.received = append(p.received, n)
		return 0, nil
	})
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, p.server.Handler())
	p.httpServer = httptest.NewServer(mux)
	p.address = strings.TrimPrefix(p.httpServer.URL, "http://")
	p.caller = messenger.New("caller", p.dial, zerolog.Nop())
	t.Cleanup(func() {
		p.caller.Close()
		p.server.Close()
		p.httpServer.Close()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return p
}

// dial opens connections that discard the caller's writes while discardWrites is set.
func (p *pair) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &discardingConn{Conn: conn, pair: p}, nil
}

// discardingConn reports writes as successful without sending them while the pair's
// discardWrites is set.
type discardingConn struct {
	net.Conn
	pair *pair
}

func (f *discardingConn) Write(b []byte) (int, error) {
	f.pair.mu.Lock()
	defer f.pair.mu.Unlock()
	if f.pair.discardWrites {
		return len(b), nil
	}
	return f.Conn.Write(b)
}

func (p *pair) setDiscardWrites(discard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardWrites = discard
}

func call(ctx context.Context, p *pair, kind string, n int) (int, error) {
	return messenger.Call[int, int](ctx, p.caller, p.address, kind, n)
}

func TestConcurrentCallsReturnTheirOwnReplies(t *testing.T) {
	p := newPair(t)
	var tasks sync.WaitGroup
	for i := range 200 {
		tasks.Go(func() {
			n, err := call(t.Context(), p, "double", i)
			if err != nil || n != 2*i {
				t.Errorf("%d: %d %v", i, n, err)
			}
		})
	}
	tasks.Wait()
	require.Positive(t, p.caller.SentTraffic()["double"].Bytes)
}

func TestRefusalAndUnknownKindReachCaller(t *testing.T) {
	p := newPair(t)
	_, err := call(t.Context(), p, "refuse", 1)
	refusal := figseam.AsRefusal(err)
	require.NotNil(t, refusal)
	require.Equal(t, figseam.OutcomeNotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAt.RemainingMillis())
	_, err = call(t.Context(), p, "unknown", 1)
	require.Error(t, err)
}

// TestPanicOfHandlerReachesOnlyItsCaller checks that a message whose handler panics neither
// ends the process nor the connection.
func TestPanicOfHandlerReachesOnlyItsCaller(t *testing.T) {
	p := newPair(t)
	before := recoverer.Count()
	for range 3 {
		_, err := messenger.Call[[]int, int](t.Context(), p.caller, p.address, "panic", nil)
		require.ErrorContains(t, err, "panic")
		messenger.Send(p.caller, p.address, "panic", []int{1})
		n, err := messenger.Call[int, int](t.Context(), p.caller, p.address, "double", 4)
		require.NoError(t, err)
		require.Equal(t, 8, n)
	}
	require.Equal(t, before+6, recoverer.Count())
}

func TestSentMessagesArriveInOrder(t *testing.T) {
	p := newPair(t)
	for i := range 500 {
		messenger.Send(p.caller, p.address, "note", i)
	}
	_, err := call(t.Context(), p, "double", 1)
	require.NoError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Len(t, p.received, 500)
	for i, n := range p.received {
		require.Equal(t, i, n)
	}
}

func TestCancelledCallCancelsHandlerContext(t *testing.T) {
	p := newPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-p.started
		cancel()
	}()
	_, err := call(ctx, p, "wait", 1)
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.cancelled == 1
	}, eventuallyTimeout, pollInterval)
}

func TestRefusedDialReturnsErrUnreachable(t *testing.T) {
	p := newPair(t)
	_, err := messenger.Call[int, int](t.Context(), p.caller, "127.0.0.1:1", "double", 1)
	require.ErrorIs(t, err, figseam.ErrUnreachable)
}

// TestMissedPongClosesConnectionAndPeerIsRedialled discards everything that the caller
// sends, as in a network partition. The missed pong must end the connection, and with it
// a call without a deadline; then the peer is dialled again.
func TestMissedPongClosesConnectionAndPeerIsRedialled(t *testing.T) {
	p := newPair(t)
	_, err := call(t.Context(), p, "double", 1)
	require.NoError(t, err)
	p.setDiscardWrites(true)
	_, err = call(t.Context(), p, "double", 2)
	require.ErrorIs(t, err, messenger.ErrConnectionLost)
	p.setDiscardWrites(false)
	require.Eventually(t, func() bool {
		n, err := call(t.Context(), p, "double", 3)
		return err == nil && n == 6
	}, eventuallyTimeout, pollInterval)
}

// TestMalformedHandshakeIsRejected guards against messages to an instance whose answer to the
// handshake is no HTTP: what follows it cannot be trusted either.
func TestMalformedHandshakeIsRejected(t *testing.T) {
	const sound = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
	tests := []struct {
		name, answer string
		rejected     bool
	}{
		{"sound", sound, false},
		{"blank in the name of a field", sound + "In name: 1\r\n", true},
		{"line begins with a blank", sound + " Name: 1\r\n", true},
		{"control byte in the name of a field", sound + "Na\x01me: 1\r\n", true},
		{"status 000", strings.Replace(sound, "101", "000", 1), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := &emulator.ScriptedServer{Answer: func(_ int, r *http.Request) emulator.ScriptedAnswer {
				sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
				accept := base64.StdEncoding.EncodeToString(sum[:])
				return emulator.ScriptedAnswer{Text: test.answer + "Sec-WebSocket-Accept: " + accept + "\r\n\r\n"}
			}}
			address, stop, err := server.Start()
			require.NoError(t, err)
			defer stop()
			m := messenger.New("self", nil, zerolog.Nop())
			defer m.Close()
			_, err = messenger.Call[int, int](t.Context(), m, address, "kind", 1)
			require.Equal(t, test.rejected, errors.Is(err, figseam.ErrUnreachable), "%v", err)
		})
	}
}
