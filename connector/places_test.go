package connector_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/connector"
)

// countedConn is a connection that calls closed once it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

func (c countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// TestConnectionsToEndpointsAreBounded guards against requests that use up the descriptors of a
// process with connections to endpoints: beyond the bound an idle connection makes place, and if
// there is none, the request waits and is not sent.
func TestConnectionsToEndpointsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var open atomic.Int64
		scripted := scriptedDial(t, completeResponse, secondResponse)
		refuse := false
		c := connector.NewBounded(func(ctx context.Context, network, address string) (net.Conn, error) {
			if refuse {
				return nil, errors.New("refused")
			}
			raw, err := scripted(ctx, network, address)
			open.Add(1)
			return countedConn{raw, sync.OnceFunc(func() { open.Add(-1) })}, err
		}, 2)
		begin := func(address, id string) (*connector.Response, error) {
			r := newRequest(id)
			r.Address = address
			return c.Do(t.Context(), r)
		}
		end := func(r *connector.Response) {
			_, err := io.ReadAll(r)
			require.NoError(t, err)
			r.Close()
		}
		first, err := begin("a", "1")
		require.NoError(t, err)
		second, err := begin("b", "1")
		require.NoError(t, err)
		_, err = begin("c", "1")
		require.ErrorIs(t, err, connector.ErrNoPlace)
		require.ErrorIs(t, err, connector.ErrNotSent)
		require.EqualValues(t, 2, open.Load())

		// A request that waits gets the place of one that ends, which is not kept then.
		time.AfterFunc(100*time.Millisecond, func() { end(second) })
		third, err := begin("c", "1")
		require.NoError(t, err)
		require.EqualValues(t, 2, open.Load())

		// Idle connections are used for their address, and make place for others.
		end(first)
		end(third)
		first, err = begin("a", "2")
		require.NoError(t, err)
		require.EqualValues(t, 3, c.OpenedConnections())
		fourth, err := begin("d", "1")
		require.NoError(t, err)
		require.EqualValues(t, 2, open.Load())
		end(first)
		end(fourth)

		// A failed attempt holds no place.
		c.CloseIdle(func(string) bool { return false })
		refuse = true
		for range 3 {
			_, err = begin("e", "1")
			require.ErrorIs(t, err, connector.ErrNotSent)
			require.NotErrorIs(t, err, connector.ErrNoPlace)
		}
		require.Zero(t, open.Load())
	})
}
