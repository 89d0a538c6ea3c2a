package figseam

import (
	"context"
	"errors"
)

// Command is an entry of the replicated log. Machine names the state machine
// that it is for; Group is the log that it belongs to.
type Command struct {
	Group   uint32 `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
}

// CommittedCommand is a committed command as a state machine sees it.
type CommittedCommand struct {
	// Index is the command's place in the log.
	Index uint64
	// LogMillis is the log's own clock in milliseconds. It advances with the
	// leaders' monotonic clocks, so steps of a wall clock cannot move it.
	LogMillis int64
	Body      []byte
}

// StateMachine is what the replicated log drives. Apply must depend on nothing
// but the state and its arguments, so that every replica comes to the same
// state. Apply, Snapshot and Restore are never called at the same time.
type StateMachine interface {
	// Name is the Machine of the commands that it takes.
	Name() string
	// Apply carries out a committed command and returns its result.
	Apply(entry CommittedCommand) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Proposer appends commands to the replicated log.
type Proposer interface {
	// Propose returns the result of the command once a majority has stored it.
	// ErrNotProposed means that it was not and never will be applied; any other
	// error leaves that open.
	Propose(ctx context.Context, command Command) ([]byte, error)
}

// Claim is the right to send one call that must not be repeated.
type Claim struct {
	Key    string
	Digest [32]byte
	Holder InstanceID
	// Fence rises with each claim of any key.
	Fence uint64
	// SendDeadline is when the holder must have sent the call, or give it up.
	SendDeadline Deadline
}

// StoredResponse is the recorded answer of a claimed call.
type StoredResponse struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
}

// Claimer guards calls that must not be repeated.
type Claimer interface {
	// Claim returns the right to send the call, or the answer that an earlier
	// holder stored, or a *Refusal.
	Claim(ctx context.Context, key string, digest [32]byte) (Claim, *StoredResponse, error)
	// Complete stores the answer of a claimed call.
	Complete(ctx context.Context, claim Claim, answer StoredResponse) error
	// Release gives a claim back after a call that was certainly not sent.
	Release(ctx context.Context, claim Claim) error
}

// ErrNotProposed means that a command was not and never will be applied.
var ErrNotProposed = errors.New("command was not proposed")
