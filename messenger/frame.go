package messenger

import (
	"context"
	"errors"
	"sync"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
)

// frameType says what a frame is.
type frameType uint8

const (
	frameCall frameType = iota + 1
	frameReply
	frameCancel
	frameSend
	// frameUnsent and frameLost never travel: they tell a waiting call that its
	// frame did not leave, or that its connection broke.
	frameUnsent
	frameLost
)

// frame is one message on a connection.
type frame struct {
	Type     frameType        `cbor:"1,keyasint"`
	ID       uint64           `cbor:"2,keyasint,omitempty"`
	Kind     string           `cbor:"3,keyasint,omitempty"`
	Body     cbor.RawMessage  `cbor:"4,keyasint,omitempty"`
	Refusal  *figseam.Refusal `cbor:"5,keyasint,omitempty"`
	Fault    string           `cbor:"6,keyasint,omitempty"`
	Deadline figseam.Deadline `cbor:"7,keyasint"`
}

// maxFrameBytes bounds one message.
const maxFrameBytes = 4 << 20

// ErrConnectionLost means that the connection broke while a call was under way. The peer
// may have acted on it.
var ErrConnectionLost = errors.New("connection to peer was lost")

// Traffic counts messages and bytes of one kind.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

// counter counts traffic by kind. It is safe for concurrent use.
type counter struct {
	// mu guards byKind.
	mu     sync.Mutex
	byKind map[string]Traffic
}

func newCounter() *counter { return &counter{byKind: map[string]Traffic{}} }

func (c *counter) add(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.byKind[kind]
	t.Messages++
	t.Bytes += uint64(bytes)
	c.byKind[kind] = t
}

func (c *counter) snapshot() map[string]Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := make(map[string]Traffic, len(c.byKind))
	for k, t := range c.byKind {
		s[k] = t
	}
	return s
}

func readFrame(ctx context.Context, conn *websocket.Conn) (frame, int, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return frame{}, 0, err
	}
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return frame{}, 0, err
	}
	return f, len(data), nil
}
