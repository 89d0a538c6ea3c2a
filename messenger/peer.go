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
	dialTimeoutMillis = 600
	// heartbeatIntervalMillis is the interval between two pings on an open connection,
	// pongTimeoutMillis the longest time until the pong.
	heartbeatIntervalMillis = 700
	pongTimeoutMillis       = 800
	// minBackoffMillis and maxBackoffMillis bound the exponential backoff between two
	// dials of an unreachable peer.
	minBackoffMillis = 50
	maxBackoffMillis = 400
	// maxQueuedFrames bounds the send queue of a slow or unresponsive peer.
	maxQueuedFrames    = 1024
	writeTimeoutMillis = 3000
)

// peer is the dialling side of a connection. Its goroutine executes run.
type peer struct {
	messenger *Messenger
	address   string
	queue     chan frame

	// mu guards everything below.
	mu          sync.Mutex
	lastID      uint64
	pending     map[uint64]chan frame
	unreachable bool // from a failed dial until the end of the backoff
}

func newPeer(m *Messenger, address string) *peer {
	return &peer{messenger: m, address: address, queue: make(chan frame, maxQueuedFrames), pending: map[uint64]chan frame{}}
}

// call sends a request and waits for the reply, the end of ctx or the loss of the
// connection.
func (p *peer) call(ctx context.Context, kind string, body []byte) (frame, error) {
	reply := make(chan frame, 1)
	f := frame{Type: frameCall, Kind: kind, Body: body}
	if at, ok := ctx.Deadline(); ok {
		f.Deadline = figseam.DeadlineAt(at)
	}
	p.mu.Lock()
	if p.unreachable {
		p.mu.Unlock()
		return frame{}, figseam.ErrUnreachable
	}
	p.lastID++
	f.ID = p.lastID
	p.pending[f.ID] = reply
	p.mu.Unlock()
	if !p.enqueue(f) {
		p.removePending(f.ID)
		return frame{}, figseam.ErrUnreachable
	}
	select {
	case r := <-reply:
		switch r.Type {
		case frameReply:
			return r, nil
		case frameNotSent:
			return frame{}, figseam.ErrUnreachable
		default:
			return frame{}, ErrConnectionLost
		}
	case <-ctx.Done():
		p.removePending(f.ID)
		p.enqueue(frame{Type: frameCancel, ID: f.ID})
		return frame{}, ctx.Err()
	case <-p.messenger.baseCtx.Done():
		p.removePending(f.ID)
		return frame{}, ErrConnectionLost
	}
}

// enqueue adds a frame to the send queue. It returns false if the queue is full.
func (p *peer) enqueue(f frame) bool {
	select {
	case p.queue <- f:
		return true
	default:
		return false
	}
}

func (p *peer) removePending(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

// failPending ends every pending call with frameNotSent or frameConnectionLost.
func (p *peer) failPending(reason frameType) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, reply := range p.pending {
		reply <- frame{Type: reason}
		delete(p.pending, id)
	}
}

func (p *peer) setUnreachable(unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable = unreachable
}

// run dials the peer when a frame is queued, and again for the first frame after the
// connection has broken, until ctx ends.
func (p *peer) run(ctx context.Context) {
	backoff := minBackoffMillis * time.Millisecond
	for {
		var first frame
		select {
		case <-ctx.Done():
			return
		case first = <-p.queue:
		}
		conn, err := p.dial(ctx)
		if err != nil {
			p.waitUnreachable(ctx, backoff)
			backoff = min(2*backoff, maxBackoffMillis*time.Millisecond)
			continue
		}
		backoff = minBackoffMillis * time.Millisecond
		p.serveConnection(ctx, conn, first)
	}
}

// waitUnreachable waits for a backoff, jittered to between half of it and all of it.
// Meanwhile calls fail at once and queued frames are dropped.
func (p *peer) waitUnreachable(ctx context.Context, backoff time.Duration) {
	p.setUnreachable(true)
	defer p.setUnreachable(false)
	p.failPending(frameNotSent)
	p.discardQueue()
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	p.discardQueue()
}

func (p *peer) discardQueue() {
	for {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

func (p *peer) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeoutMillis*time.Millisecond)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+p.address+Path, &websocket.DialOptions{
		HTTPClient: p.messenger.client,
		HTTPHeader: http.Header{headerInstance: []string{string(p.messenger.self)}},
	})
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxFrameBytes)
	return conn, nil
}

// serveConnection writes queued frames while other goroutines read replies and send
// heartbeats, until one of them fails. It then fails the pending calls.
func (p *peer) serveConnection(ctx context.Context, conn *websocket.Conn, first frame) {
	ctx, cancel := context.WithCancel(ctx)
	readDone, heartbeatDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(readDone)
		p.readReplies(ctx, conn)
	}()
	go func() {
		defer close(heartbeatDone)
		sendHeartbeats(ctx, conn)
	}()
	defer func() {
		cancel()
		_ = conn.CloseNow()
		<-readDone
		<-heartbeatDone
		p.failPending(frameConnectionLost)
	}()
	if p.write(ctx, conn, first) != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-readDone:
			return
		case <-heartbeatDone:
			return
		case f := <-p.queue:
			if p.write(ctx, conn, f) != nil {
				return
			}
		}
	}
}

func (p *peer) write(ctx context.Context, conn *websocket.Conn, f frame) error {
	return writeFrame(ctx, conn, f, p.messenger.sentTraffic)
}

func writeFrame(ctx context.Context, conn *websocket.Conn, f frame, sent *trafficCounter) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	sent.add(f.Kind, len(data))
	ctx, cancel := context.WithTimeout(ctx, writeTimeoutMillis*time.Millisecond)
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

// sendHeartbeats sends pings at intervals and returns when a pong is late or ctx ends.
func sendHeartbeats(ctx context.Context, conn *websocket.Conn) {
	ticker := time.NewTicker(heartbeatIntervalMillis * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pingCtx, cancel := context.WithTimeout(ctx, pongTimeoutMillis*time.Millisecond)
		err := conn.Ping(pingCtx)
		cancel()
		if err != nil {
			return
		}
	}
}
