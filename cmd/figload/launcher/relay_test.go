package launcher_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relay passes TCP connections on to a target. While it is cut, bytes vanish
// without a reset, as in a silent network partition.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: l, target: target}
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		go r.pass(in, out)
		go r.pass(out, in)
	}
}

func (r *relay) pass(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.isCut() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// setCut cuts or joins. Connections that lost bytes are closed when joined.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		return
	}
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}
