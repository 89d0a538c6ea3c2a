package messenger

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
)

const (
	dialMillis = 600
	// heartbeatMillis is how often an open connection is tried, pongMillis how
	// long the answer may take.
	heartbeatMillis = 700
	pongMillis      = 800
	// firstBackoffMillis and longestBackoffMillis bound the pause between two
	// dials of a peer that cannot be reached.
	firstBackoffMillis   = 50
	longestBackoffMillis = 400
	// queuedFrames bounds what waits for a slow or silent peer.
	queuedFrames = 1024
	writeMillis  = 3000
)

// peer is the outgoing side of a connection. Its task is run.
type peer struct {
	m       *Messenger
	address string
	queue   chan frame

	// mu guards everything below.
	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan frame
	down    bool // the last dial failed
}

func newPeer(m *Messenger, address string) *peer {
	return &peer{m: m, address: address, queue: make(chan frame, queuedFrames), pending: map[uint64]chan frame{}}
}

func (p *peer) call(ctx context.Context, kind string, body []byte) (frame, error) {
	reply := make(chan frame, 1)
	f := frame{Type: frameCall, Kind: kind, Body: body}
	if at, ok := ctx.Deadline(); ok {
		f.Deadline = figseam.DeadlineAt(at)
	}
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return frame{}, figseam.ErrUnreachable
	}
	p.next++
	f.ID = p.next
	p.pending[f.ID] = reply
	p.mu.Unlock()
	if !p.post(f) {
		p.forget(f.ID)
		return frame{}, figseam.ErrUnreachable
	}
	select {
	case r := <-reply:
		switch r.Type {
		case frameReply:
			return r, nil
		case frameUnsent:
			return frame{}, figseam.ErrUnreachable
		default:
			return frame{}, ErrConnectionLost
		}
	case <-ctx.Done():
		p.forget(f.ID)
		p.post(frame{Type: frameCancel, ID: f.ID})
		return frame{}, ctx.Err()
	case <-p.m.base.Done():
		p.forget(f.ID)
		return frame{}, ErrConnectionLost
	}
}

// post queues a frame. It reports false when the queue is full.
func (p *peer) post(f frame) bool {
	select {
	case p.queue <- f:
		return true
	default:
		return false
	}
}

func (p *peer) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

// fail ends every pending call, with frameUnsent or frameLost.
func (p *peer) fail(why frameType) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, reply := range p.pending {
		reply <- frame{Type: why}
		delete(p.pending, id)
	}
}

func (p *peer) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// run dials when there is something to send, and again after the connection
// breaks, until ctx ends.
func (p *peer) run(ctx context.Context) {
	backoff := firstBackoffMillis * time.Millisecond
	for {
		var first frame
		select {
		case <-ctx.Done():
			return
		case first = <-p.queue:
		}
		conn, err := p.dial(ctx)
		if err != nil {
			p.refuseWhile(ctx, backoff)
			backoff = min(2*backoff, longestBackoffMillis*time.Millisecond)
			continue
		}
		backoff = firstBackoffMillis * time.Millisecond
		p.converse(ctx, conn, first)
	}
}

// refuseWhile fails all calls for a jittered pause.
func (p *peer) refuseWhile(ctx context.Context, pause time.Duration) {
	p.setDown(true)
	defer p.setDown(false)
	p.fail(frameUnsent)
	p.emptyQueue()
	timer := time.NewTimer(pause/2 + rand.N(pause/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	p.emptyQueue()
}

func (p *peer) emptyQueue() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

func (p *peer) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialMillis*time.Millisecond)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+p.address+Path, &websocket.DialOptions{
		HTTPClient: p.m.client,
		HTTPHeader: http.Header{headerInstance: []string{string(p.m.self)}},
	})
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxFrameBytes)
	return conn, nil
}

// converse writes queued frames and heartbeats while another task reads, until
// either fails.
func (p *peer) converse(ctx context.Context, conn *websocket.Conn, first frame) {
	ctx, cancel := context.WithCancel(ctx)
	read, beaten := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(read)
		p.readReplies(ctx, conn)
	}()
	go func() {
		defer close(beaten)
		beat(ctx, conn)
	}()
	defer func() {
		cancel()
		_ = conn.CloseNow()
		<-read
		<-beaten
		p.fail(frameLost)
	}()
	if p.write(ctx, conn, first) != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-read:
			return
		case <-beaten:
			return
		case f := <-p.queue:
			if p.write(ctx, conn, f) != nil {
				return
			}
		}
	}
}

func (p *peer) write(ctx context.Context, conn *websocket.Conn, f frame) error {
	return writeFrame(ctx, conn, f, p.m.sent)
}

func writeFrame(ctx context.Context, conn *websocket.Conn, f frame, sent *counter) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	sent.add(f.Kind, len(data))
	ctx, cancel := context.WithTimeout(ctx, writeMillis*time.Millisecond)
	defer cancel()
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func (p *peer) readReplies(ctx context.Context, conn *websocket.Conn) {
	for {
		f, _, err := readFrame(ctx, conn)
		if err != nil {
			return
		}
		p.mu.Lock()
		reply, ok := p.pending[f.ID]
		delete(p.pending, f.ID)
		p.mu.Unlock()
		if ok && f.Type == frameReply {
			reply <- f
		}
	}
}

// beat tries the connection at intervals and ends when an answer is late.
func beat(ctx context.Context, conn *websocket.Conn) {
	ticker := time.NewTicker(heartbeatMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ping, cancel := context.WithTimeout(ctx, pongMillis*time.Millisecond)
		err := conn.Ping(ping)
		cancel()
		if err != nil {
			return
		}
	}
}
