package figseam

import (
	"context"
	"errors"
)

// Command is an entry of a replicated log. Machine is the name of the state machine that
// applies it, and Group identifies the log.
type Command struct {
	Group   uint32 `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
}

// CommittedCommand is a committed command as passed to a state machine.
type CommittedCommand struct {
	// Index is the position of the command in the log.
	Index uint64
	// LogMillis is the time of the log in milliseconds. It advances with the monotonic
	// clocks of the leaders, so steps of a wall clock do not affect it.
	LogMillis int64
	Body      []byte
}

// StateMachine is a deterministic state machine driven by a replicated log. Apply must
// depend on nothing but the state and its argument, so that all replicas reach the same
// state. Calls of Apply, Snapshot and Restore never overlap.
type StateMachine interface {
	// Name returns the Machine of the commands for this state machine.
	Name() string
	// Apply applies a committed command and returns its result.
	Apply(entry CommittedCommand) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Proposer appends commands to the replicated log.
type Proposer interface {
	// Propose returns the result of the command after a majority has stored it.
	// ErrNotProposed means that the command was not applied and never will be; any other
	// error leaves the outcome unknown.
	Propose(ctx context.Context, command Command) ([]byte, error)
}

// Claim is the exclusive right to send one call that must not be repeated.
type Claim struct {
	Key    string
	Digest [32]byte
	Holder InstanceID
	// Fence is the fencing token. It rises with each claim of any key.
	Fence uint64
	// SendDeadline is the time by which the holder must have sent the call or abandoned
	// it.
	SendDeadline Deadline
}

// StoredResponse is the recorded response to a claimed call.
type StoredResponse struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
}

// Claimer grants claims, so that calls that must not be repeated are sent at most once.
type Claimer interface {
	// Claim returns the claim, or the response that an earlier holder stored, or a
	// *Refusal.
	Claim(ctx context.Context, key string, digest [32]byte) (Claim, *StoredResponse, error)
	// Complete stores the response to a claimed call.
	Complete(ctx context.Context, claim Claim, response StoredResponse) error
	// Release gives up the claim of a call that was certainly not sent.
	Release(ctx context.Context, claim Claim) error
}

// ErrNotProposed means that a command was not applied and never will be.
var ErrNotProposed = errors.New("command was not proposed")
