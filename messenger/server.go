package messenger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/figseam/figseam"
)

const (
	// maxConcurrentCalls bounds the calls in flight on one connection.
	maxConcurrentCalls = 1024
	// idleTimeoutMillis is the longest time without a ping before a connection is closed.
	idleTimeoutMillis = 10_000
)

// Handler returns the handler that serves the connections of peers. It is to be
// registered at [Path].
func (m *Messenger) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var idleTimer *time.Timer
		conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
			OnPingReceived: func(context.Context, []byte) bool {
				idleTimer.Reset(idleTimeoutMillis * time.Millisecond)
				return true
			},
		})
		if err != nil {
			return
		}
		idleTimer = time.AfterFunc(idleTimeoutMillis*time.Millisecond, func() { _ = conn.CloseNow() })
		defer idleTimer.Stop()
		conn.SetReadLimit(maxFrameBytes)
		m.tasks.Add(1)
		defer m.tasks.Done()
		s := &session{
			messenger: m, conn: conn, peerID: figseam.InstanceID(r.Header.Get(headerInstance)),
			replies: make(chan frame, maxConcurrentCalls), calls: map[uint64]context.CancelFunc{},
		}
		s.serve(m.baseCtx)
	})
}

// session is the accepting side of a connection.
type session struct {
	messenger *Messenger
	conn      *websocket.Conn
	peerID    figseam.InstanceID
	replies   chan frame
	callTasks sync.WaitGroup

	// mu guards calls.
	mu    sync.Mutex
	calls map[uint64]context.CancelFunc
}

// serve reads frames until the connection breaks, while another goroutine writes the
// replies. It returns when all calls of the connection have ended.
func (s *session) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		defer cancel()
		s.writeReplies(ctx)
	}()
	s.readFrames(ctx)
	cancel()
	_ = s.conn.CloseNow()
	<-writerDone
	s.callTasks.Wait()
}

func (s *session) readFrames(ctx context.Context) {
	for {
		f, _, err := readFrame(ctx, s.conn)
		if err != nil {
			return
		}
		switch f.Type {
		case frameCancel:
			s.cancelCall(f.ID)
		case frameSend:
			if serve, ok := s.messenger.handlers[f.Kind]; ok {
				_, _ = serve(ctx, s.peerID, f.Body)
			}
		case frameCall:
			s.startCall(ctx, f)
		}
	}
}

// startCall serves a call in a goroutine, or refuses it if too many are in flight.
func (s *session) startCall(ctx context.Context, f frame) {
	callCtx, cancel := f.Deadline.Context(ctx)
	s.mu.Lock()
	full := len(s.calls) >= maxConcurrentCalls
	if !full {
		s.calls[f.ID] = cancel
	}
	s.mu.Unlock()
	if full {
		cancel()
		s.enqueueReply(ctx, frame{Type: frameReply, ID: f.ID, Kind: f.Kind, ErrorText: "too many calls under way"})
		return
	}
	s.callTasks.Go(func() {
		defer s.cancelCall(f.ID)
		s.enqueueReply(ctx, s.handleCall(callCtx, f))
	})
}

func (s *session) handleCall(ctx context.Context, f frame) frame {
	reply := frame{Type: frameReply, ID: f.ID, Kind: f.Kind}
	serve, ok := s.messenger.handlers[f.Kind]
	if !ok {
		reply.ErrorText = "kind of call is not known: " + f.Kind
		return reply
	}
	body, err := serve(ctx, s.peerID, f.Body)
	reply.Body = body
	if err != nil {
		reply.Refusal = figseam.AsRefusal(err)
		reply.ErrorText = err.Error()
	}
	return reply
}

func (s *session) enqueueReply(ctx context.Context, f frame) {
	select {
	case s.replies <- f:
	case <-ctx.Done():
	}
}

func (s *session) cancelCall(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.calls[id]; ok {
		cancel()
		delete(s.calls, id)
	}
}

func (s *session) writeReplies(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.replies:
			if writeFrame(ctx, s.conn, f, s.messenger.sentTraffic) != nil {
				return
			}
		}
	}
}
