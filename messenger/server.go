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
	// parallelCalls bounds the calls under way on one connection.
	parallelCalls = 1024
	// idleMillis is how long a connection may be without a heartbeat.
	idleMillis = 10_000
)

// Handler serves the connections of peers; it is mounted at [Path].
func (m *Messenger) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var idle *time.Timer
		conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{
			OnPingReceived: func(context.Context, []byte) bool {
				idle.Reset(idleMillis * time.Millisecond)
				return true
			},
		})
		if err != nil {
			return
		}
		idle = time.AfterFunc(idleMillis*time.Millisecond, func() { _ = conn.CloseNow() })
		defer idle.Stop()
		conn.SetReadLimit(maxFrameBytes)
		m.tasks.Add(1)
		defer m.tasks.Done()
		s := &session{
			m: m, conn: conn, from: figseam.InstanceID(r.Header.Get(headerInstance)),
			replies: make(chan frame, parallelCalls), calls: map[uint64]context.CancelFunc{},
		}
		s.serve(m.base)
	})
}

// session is the incoming side of a connection.
type session struct {
	m       *Messenger
	conn    *websocket.Conn
	from    figseam.InstanceID
	replies chan frame
	serving sync.WaitGroup

	// mu guards calls.
	mu    sync.Mutex
	calls map[uint64]context.CancelFunc
}

// serve reads frames until the connection breaks, while another task writes the
// replies.
func (s *session) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer cancel()
		s.writeReplies(ctx)
	}()
	s.read(ctx)
	cancel()
	_ = s.conn.CloseNow()
	<-written
	s.serving.Wait()
}

func (s *session) read(ctx context.Context) {
	for {
		f, _, err := readFrame(ctx, s.conn)
		if err != nil {
			return
		}
		switch f.Type {
		case frameCancel:
			s.cancel(f.ID)
		case frameSend:
			if serve, ok := s.m.methods[f.Kind]; ok {
				_, _ = serve(ctx, s.from, f.Body)
			}
		case frameCall:
			s.begin(ctx, f)
		}
	}
}

func (s *session) begin(ctx context.Context, f frame) {
	call, cancel := f.Deadline.Context(ctx)
	s.mu.Lock()
	full := len(s.calls) >= parallelCalls
	if !full {
		s.calls[f.ID] = cancel
	}
	s.mu.Unlock()
	if full {
		cancel()
		s.reply(ctx, frame{Type: frameReply, ID: f.ID, Kind: f.Kind, Fault: "too many calls under way"})
		return
	}
	s.serving.Go(func() {
		defer s.cancel(f.ID)
		s.reply(ctx, s.answer(call, f))
	})
}

func (s *session) answer(ctx context.Context, f frame) frame {
	reply := frame{Type: frameReply, ID: f.ID, Kind: f.Kind}
	serve, ok := s.m.methods[f.Kind]
	if !ok {
		reply.Fault = "kind of call is not known: " + f.Kind
		return reply
	}
	body, err := serve(ctx, s.from, f.Body)
	reply.Body = body
	if err != nil {
		reply.Refusal = figseam.AsRefusal(err)
		reply.Fault = err.Error()
	}
	return reply
}

func (s *session) reply(ctx context.Context, f frame) {
	select {
	case s.replies <- f:
	case <-ctx.Done():
	}
}

func (s *session) cancel(id uint64) {
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
			if writeFrame(ctx, s.conn, f, s.m.sent) != nil {
				return
			}
		}
	}
}
