package launcher_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tcpProxy forwards TCP connections to a target. While it is partitioned, it discards
// bytes without a reset, as in a silent network partition.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	partitioned bool
	conns       []net.Conn
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &tcpProxy{listener: listener, target: target}
	go p.accept()
	return p
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		go p.forward(client, server)
		go p.forward(server, client)
	}
}

func (p *tcpProxy) forward(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if p.isPartitioned() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *tcpProxy) isPartitioned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioned
}

// setPartitioned starts or ends the partition. At the end of a partition it closes all open
// connections, since some have lost bytes.
func (p *tcpProxy) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
	if partitioned {
		return
	}
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}
