package messenger_test

import (
	"context"
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
	"github.com/figseam/figseam/messenger"
)

// How long a condition may take to come true; it bounds a failure and no pass.
const (
	eventually = 30 * time.Second
	poll       = 5 * time.Millisecond
)

// pair is a messenger that calls and one that serves.
type pair struct {
	caller  *messenger.Messenger
	server  *messenger.Messenger
	web     *httptest.Server
	address string

	mu      sync.Mutex
	froze   bool
	got     []int
	ended   int
	waiting chan struct{}
}

func newPair(t *testing.T) *pair {
	p := &pair{waiting: make(chan struct{}, 16)}
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
	messenger.Handle(p.server, "wait", func(ctx context.Context, _ figseam.InstanceID, _ int) (int, error) {
		p.waiting <- struct{}{}
		<-ctx.Done()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ended++
		return 0, ctx.Err()
	})
	messenger.Handle(p.server, "note", func(_ context.Context, _ figseam.InstanceID, n int) (int, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.got = append(p.got, n)
		return 0, nil
	})
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, p.server.Handler())
	p.web = httptest.NewServer(mux)
	p.address = strings.TrimPrefix(p.web.URL, "http://")
	p.caller = messenger.New("caller", p.dial, zerolog.Nop())
	t.Cleanup(func() {
		p.caller.Close()
		p.server.Close()
		p.web.Close()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	return p
}

// dial opens connections over which nothing passes while the pair is frozen.
func (p *pair) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &frozen{Conn: conn, p: p}, nil
}

type frozen struct {
	net.Conn
	p *pair
}

func (f *frozen) Write(b []byte) (int, error) {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	if f.p.froze {
		return len(b), nil
	}
	return f.Conn.Write(b)
}

func (p *pair) freeze(froze bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.froze = froze
}

func call(ctx context.Context, p *pair, kind string, n int) (int, error) {
	return messenger.Call[int, int](ctx, p.caller, p.address, kind, n)
}

func TestCallsAreAnswered(t *testing.T) {
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

func TestRefusalsCross(t *testing.T) {
	p := newPair(t)
	_, err := call(t.Context(), p, "refuse", 1)
	refusal := figseam.AsRefusal(err)
	require.NotNil(t, refusal)
	require.Equal(t, figseam.OutcomeNotRun, refusal.Outcome)
	require.Positive(t, refusal.RetryAt.RemainingMillis())
	_, err = call(t.Context(), p, "unknown", 1)
	require.Error(t, err)
}

func TestMessagesKeepTheirOrder(t *testing.T) {
	p := newPair(t)
	for i := range 500 {
		messenger.Send(p.caller, p.address, "note", i)
	}
	_, err := call(t.Context(), p, "double", 1)
	require.NoError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Len(t, p.got, 500)
	for i, n := range p.got {
		require.Equal(t, i, n)
	}
}

func TestCancelReachesThePeer(t *testing.T) {
	p := newPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-p.waiting
		cancel()
	}()
	_, err := call(ctx, p, "wait", 1)
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.ended == 1
	}, eventually, poll)
}

func TestUnreachablePeerIsToldApart(t *testing.T) {
	p := newPair(t)
	_, err := messenger.Call[int, int](t.Context(), p.caller, "127.0.0.1:1", "double", 1)
	require.ErrorIs(t, err, figseam.ErrUnreachable)
}

// TestSilentConnectionIsFoundOut lets everything vanish that the caller sends.
// The heartbeat ends the connection, and with it a call that waits forever; then
// the peer is dialled anew.
func TestSilentConnectionIsFoundOut(t *testing.T) {
	p := newPair(t)
	_, err := call(t.Context(), p, "double", 1)
	require.NoError(t, err)
	p.freeze(true)
	_, err = call(t.Context(), p, "double", 2)
	require.ErrorIs(t, err, messenger.ErrConnectionLost)
	p.freeze(false)
	require.Eventually(t, func() bool {
		n, err := call(t.Context(), p, "double", 3)
		return err == nil && n == 6
	}, eventually, poll)
}
