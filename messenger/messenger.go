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
)

// Path is where peers connect.
const Path = "/peer"

const headerInstance = "Figseam-Instance"

// Messenger calls peers and serves their calls. It is safe for concurrent use.
type Messenger struct {
	self    figseam.InstanceID
	client  *http.Client
	log     zerolog.Logger
	sent    *counter
	base    context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	methods map[string]method

	// mu guards peers.
	mu    sync.Mutex
	peers map[string]*peer
}

// method serves calls of one kind.
type method func(ctx context.Context, from figseam.InstanceID, body []byte) ([]byte, error)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a messenger without connections. A nil dial uses the network.
func New(self figseam.InstanceID, dial DialFunc, log zerolog.Logger) *Messenger {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialMillis * time.Millisecond}).DialContext
	}
	base, stop := context.WithCancel(context.Background())
	return &Messenger{
		self: self, client: &http.Client{Transport: &http.Transport{DialContext: dial}}, log: log,
		sent: newCounter(), base: base, stop: stop,
		methods: map[string]method{}, peers: map[string]*peer{},
	}
}

// Handle registers the function that serves calls and messages of a kind. It
// must be called before the messenger is used. Messages sent without a reply
// are served in their order and must be served quickly.
func Handle[Req, Resp any](m *Messenger, kind string, serve func(ctx context.Context, from figseam.InstanceID, request Req) (Resp, error)) {
	m.methods[kind] = func(ctx context.Context, from figseam.InstanceID, body []byte) ([]byte, error) {
		var request Req
		if err := cbor.Unmarshal(body, &request); err != nil {
			return nil, eris.Wrapf(err, "decode %s", kind)
		}
		response, err := serve(ctx, from, request)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(response)
	}
}

// Call sends a request to the instance at an address and returns its reply. The
// error is the peer's *Refusal, ErrUnreachable when the peer did not get the
// request, the context's error, or another that leaves open what happened.
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
	case reply.Fault != "":
		return response, errors.New(reply.Fault)
	}
	return response, cbor.Unmarshal(reply.Body, &response)
}

// Send sends a message without waiting for a reply. Messages to one address
// arrive in order or not at all.
func Send[Req any](m *Messenger, address, kind string, message Req) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return
	}
	m.peer(address).post(frame{Type: frameSend, Kind: kind, Body: body})
}

// SentTraffic returns the traffic sent so far, by kind.
func (m *Messenger) SentTraffic() map[string]Traffic { return m.sent.snapshot() }

// Close cuts all connections and waits for their tasks.
func (m *Messenger) Close() {
	m.stop()
	m.mu.Lock()
	m.peers = map[string]*peer{}
	m.mu.Unlock()
	m.tasks.Wait()
	m.client.CloseIdleConnections()
}

func (m *Messenger) peer(address string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[address]
	if !ok {
		p = newPeer(m, address)
		m.peers[address] = p
		if m.base.Err() == nil {
			m.tasks.Go(func() { p.run(m.base) })
		}
	}
	return p
}
