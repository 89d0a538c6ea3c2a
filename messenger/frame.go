package messenger

import (
	"context"
	"errors"
	"sync"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
)

type frameType uint8

const (
	frameCall frameType = iota + 1
	frameReply
	frameCancel
	frameSend
	// frameNotSent and frameConnectionLost are never sent to a peer. They end a pending
	// call: frameNotSent if its frame was not sent, frameConnectionLost if the connection
	// broke.
	frameNotSent
	frameConnectionLost
)

// frame is one message on a connection.
type frame struct {
	Type      frameType        `cbor:"1,keyasint"`
	ID        uint64           `cbor:"2,keyasint,omitempty"`
	Kind      string           `cbor:"3,keyasint,omitempty"`
	Body      cbor.RawMessage  `cbor:"4,keyasint,omitempty"`
	Refusal   *figseam.Refusal `cbor:"5,keyasint,omitempty"`
	ErrorText string           `cbor:"6,keyasint,omitempty"`
	Deadline  figseam.Deadline `cbor:"7,keyasint"`
}

const maxFrameBytes = 4 << 20

// ErrConnectionLost reports that the connection broke before the reply to a call
// arrived. The peer may have executed the call.
var ErrConnectionLost = errors.New("connection to peer was lost")

// Traffic is the number and total size of the frames of one message kind.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

// trafficCounter counts traffic by message kind. It is safe for concurrent use.
type trafficCounter struct {
	// mu guards byKind.
	mu     sync.Mutex
	byKind map[string]Traffic
}

func newTrafficCounter() *trafficCounter { return &trafficCounter{byKind: map[string]Traffic{}} }

func (c *trafficCounter) add(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.byKind[kind]
	t.Messages++
	t.Bytes += uint64(bytes)
	c.byKind[kind] = t
}

func (c *trafficCounter) snapshot() map[string]Traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := make(map[string]Traffic, len(c.byKind))
	for kind, t := range c.byKind {
		s[kind] = t
	}
	return s
}

// readFrame returns the next frame and its encoded size in bytes.
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
