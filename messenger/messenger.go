package messenger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/recoverer"
)

// Path is the URL path of [Messenger.Handler].
const Path = "/peer"

// headerInstance carries the ID of the instance that dials.
const headerInstance = "Figseam-Instance"

// Messenger calls peers and serves their calls. It is safe for concurrent use.
type Messenger struct {
	self        figseam.InstanceID
	client      *http.Client
	log         zerolog.Logger
	sentTraffic *trafficCounter
	baseCtx     context.Context
	cancelBase  context.CancelFunc
	tasks       sync.WaitGroup
	handlers    map[string]rawHandler

	// mu guards peers.
	mu    sync.Mutex
	peers map[string]*peer
}

// rawHandler serves calls of one kind, with encoded request and response.
type rawHandler func(ctx context.Context, from figseam.InstanceID, body []byte) ([]byte, error)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a messenger without connections. A nil dial opens TCP connections.
func New(self figseam.InstanceID, dial DialFunc, log zerolog.Logger) *Messenger {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeoutMillis * time.Millisecond}).DialContext
	}
	baseCtx, cancelBase := context.WithCancel(context.Background())
	return &Messenger{
		self: self, log: log,
		client:      &http.Client{Transport: connector.NewTransport(connector.TransportSettings{Dial: connector.DialFunc(dial), DialTimeoutMillis: dialTimeoutMillis})},
		sentTraffic: newTrafficCounter(), baseCtx: baseCtx, cancelBase: cancelBase,
		handlers: map[string]rawHandler{}, peers: map[string]*peer{},
	}
}

// Handle registers the function that serves calls and messages of a kind. It must be
// called before the messenger is used. Messages sent with [Send] are served one after
// the other in the goroutine that reads the connection, so serve must not block if it
// serves such messages.
func Handle[Req, Resp any](m *Messenger, kind string, serve func(ctx context.Context, from figseam.InstanceID, request Req) (Resp, error)) {
	m.handlers[kind] = func(ctx context.Context, from figseam.InstanceID, body []byte) (encoded []byte, err error) {
		err = recoverer.Call(m.log, kind, func() error {
			var request Req
			if err := cbor.Unmarshal(body, &request); err != nil {
				return eris.Wrapf(err, "decode %s", kind)
			}
			response, err := serve(ctx, from, request)
			if err != nil {
				return err
			}
			encoded, err = cbor.Marshal(response)
			return err
		})
		return encoded, err
	}
}

// Call sends a request to the instance at an address and returns its response. The error
// is the peer's [figseam.Refusal], [figseam.ErrUnreachable] if the request was not sent,
// the context's error, or another one, after which the peer may have executed the call.
func Call[Req, Resp any](ctx context.Context, m *Messenger, address, kind string, request Req) (response Resp, err error) {
	defer func() {
		if err != nil && figseam.AsRefusal(err) == nil {
			err = eris.Wrapf(err, "call %s at %s", kind, address)
		}
	}()
	body, err := cbor.Marshal(request)
	if err != nil {
		return response, err
	}
	reply, err := m.peer(address).call(ctx, kind, body)
	if err != nil {
		return response, err
	}
	switch {
	case reply.Refusal != nil:
		return response, reply.Refusal
	case reply.ErrorText != "":
		return response, errors.New(reply.ErrorText)
	}
	return response, cbor.Unmarshal(reply.Body, &response)
}

// Send queues a message without waiting for a reply. Messages to one address arrive in
// order; a message is dropped if the queue is full, the peer is unreachable or the
// connection breaks.
func Send[Req any](m *Messenger, address, kind string, message Req) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return
	}
	m.peer(address).enqueue(frame{Type: frameSend, Kind: kind, Body: body})
}

// SentTraffic returns the traffic sent so far, by message kind.
func (m *Messenger) SentTraffic() map[string]Traffic { return m.sentTraffic.snapshot() }

// Close closes all connections and waits for their goroutines.
func (m *Messenger) Close() {
	m.cancelBase()
	m.mu.Lock()
	m.peers = map[string]*peer{}
	m.mu.Unlock()
	m.tasks.Wait()
	m.client.CloseIdleConnections()
}

// peer returns the peer at an address; the first call for an address starts it.
func (m *Messenger) peer(address string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[address]
	if !ok {
		p = newPeer(m, address)
		m.peers[address] = p
		if m.baseCtx.Err() == nil {
			m.tasks.Go(func() { p.run(m.baseCtx) })
		}
	}
	return p
}
