package runner

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptQuietMillis is the time without a new connection after which a closing listener
	// counts as having accepted all that callers had opened.
	acceptQuietMillis = 20
	// maxAcceptMillis bounds the time for which a closing listener goes on accepting.
	maxAcceptMillis = 400
)

// closingListener is a TCP listener that accepts the connections in the kernel's queue
// before it closes. A plain close resets them, although their callers may have sent a
// request already.
type closingListener struct {
	*net.TCPListener
	closing atomic.Bool
	// closeBy is the time at which the listener closes at the latest, in Unix nanoseconds.
	closeBy atomic.Int64
	// closed is closed with the listener.
	closed    chan struct{}
	closeOnce sync.Once
}

// newClosingListener wraps a listener. It returns an error for any but a TCP listener.
func newClosingListener(l net.Listener) (*closingListener, error) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listener on %s is %T, not a TCP listener", l.Addr(), l)
	}
	return &closingListener{TCPListener: t, closed: make(chan struct{})}, nil
}

// CloseWhenQueueEmpty closes the listener once no connection is left in its queue. The
// returned channel is closed then, provided that Accept is being called.
func (l *closingListener) CloseWhenQueueEmpty() <-chan struct{} {
	now := time.Now()
	l.closeBy.Store(now.Add(maxAcceptMillis * time.Millisecond).UnixNano())
	l.closing.Store(true)
	_ = l.SetDeadline(now.Add(acceptQuietMillis * time.Millisecond))
	return l.closed
}

// Close implements [net.Listener].
func (l *closingListener) Close() error {
	err := l.TCPListener.Close()
	l.closeOnce.Do(func() { close(l.closed) })
	return err
}

// Accept implements [net.Listener]. While the listener is closing, it returns
// [net.ErrClosed] when the queue is empty.
func (l *closingListener) Accept() (net.Conn, error) {
	if l.closing.Load() {
		quietUntil := time.Now().Add(acceptQuietMillis * time.Millisecond)
		if closeBy := time.Unix(0, l.closeBy.Load()); quietUntil.After(closeBy) {
			quietUntil = closeBy
		}
		_ = l.SetDeadline(quietUntil)
	}
	c, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

// busyConns is the set of a server's connections that wait for their first request or
// have a request in flight. The server closes those that stay without a request for
// headerTimeoutMillis. It is safe for concurrent use.
type busyConns struct {
	// mu guards conns.
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// observe records a change of a connection's state.
func (b *busyConns) observe(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		if b.conns == nil {
			b.conns = map[net.Conn]struct{}{}
		}
		b.conns[c] = struct{}{}
	default:
		delete(b.conns, c)
	}
}

// busy returns the number of connections in the set.
func (b *busyConns) busy() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}
