package connector

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrNoPlace reports that all connections that a connector may have open are in use. No byte of
// the request was sent.
var ErrNoPlace = errors.New("all connections to endpoints are in use")

// NewBounded returns a connector with at most maxOpen connections, in use and idle ones together,
// so that requests cannot use up the descriptors of the process. A request for which there is no
// place takes that of the connection that has been idle for longest; if none is idle, it waits for
// one up to the dial timeout. A nil dial opens TCP connections.
func NewBounded(dial DialFunc, maxOpen int) *Connector {
	c := New(dial)
	c.places = make(chan struct{}, maxOpen)
	return c
}

// openConn opens a connection that holds a place until it is closed.
func (c *Connector) openConn(ctx context.Context, address string) (net.Conn, error) {
	if c.places == nil {
		return c.dial(ctx, "tcp", address)
	}
	if err := c.takePlace(ctx); err != nil {
		return nil, err
	}
	free := sync.OnceFunc(func() { <-c.places })
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		free()
		return nil, err
	}
	return &placedConn{Conn: raw, free: free}, nil
}

// takePlace waits for a place until ctx is done.
func (c *Connector) takePlace(ctx context.Context) error {
	select {
	case c.places <- struct{}{}:
		return nil
	default:
	}
	c.waiting.Add(1)
	defer c.waiting.Add(-1)
	if k := c.popOldest(); k != nil {
		k.drop()
	}
	select {
	case c.places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrNoPlace
	}
}

// popOldest returns the connection that has been idle for longest, or nil.
func (c *Connector) popOldest() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldest idleKey
	found := false
	for key, all := range c.idle {
		if len(all) > 0 && (!found || all[0].idleDeadline.Before(c.idle[oldest][0].idleDeadline)) {
			oldest, found = key, true
		}
	}
	if !found {
		return nil
	}
	k := c.idle[oldest][0]
	c.idle[oldest] = c.idle[oldest][1:]
	return k
}

// placedConn is a connection that holds a place of its connector.
type placedConn struct {
	net.Conn
	free func()
}

// Close implements [net.Conn].
func (c *placedConn) Close() error {
	defer c.free()
	return c.Conn.Close()
}
