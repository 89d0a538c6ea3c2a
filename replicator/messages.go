package replicator

import (
	"context"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/journaler"
)

// Replica identifies a replica: the identity of its data directory and the
// instance that runs it.
type Replica struct {
	Identity string             `cbor:"1,keyasint" json:"identity"`
	Instance figseam.InstanceID `cbor:"2,keyasint" json:"instance"`
}

// Membership is the set of the group's replicas. Its slices are never modified.
type Membership struct {
	Voters   []Replica `cbor:"1,keyasint" json:"voters"`
	Learners []Replica `cbor:"2,keyasint" json:"learners"`
	// TargetVoters is the intended number of voters of a group with dynamic membership.
	TargetVoters int `cbor:"3,keyasint,omitempty" json:"size,omitempty"`
}

// Header is the header of vote, append and snapshot requests. A replica rejects
// requests that are addressed to another identity, so that no request to the replica of
// an erased data directory takes effect on its successor.
type Header struct {
	GroupID    uint32  `cbor:"1,keyasint"`
	ToIdentity string  `cbor:"2,keyasint"`
	From       Replica `cbor:"3,keyasint"`
	Term       uint64  `cbor:"4,keyasint"`
}

// VoteRequest requests a vote. A pre-vote does not bind the voter.
type VoteRequest struct {
	Header    Header `cbor:"1,keyasint"`
	PreVote   bool   `cbor:"2,keyasint"`
	LastIndex uint64 `cbor:"3,keyasint"`
	LastTerm  uint64 `cbor:"4,keyasint"`
}

// VoteReply is the reply to a VoteRequest.
type VoteReply struct {
	Term    uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
	// Successor is the replica that replies if the request was addressed to another one.
	Successor Replica `cbor:"3,keyasint,omitzero"`
}

// AppendRequest carries entries; without entries it is a heartbeat.
type AppendRequest struct {
	Header       Header            `cbor:"1,keyasint"`
	PrevIndex    uint64            `cbor:"2,keyasint"`
	PrevTerm     uint64            `cbor:"3,keyasint"`
	LeaderCommit uint64            `cbor:"4,keyasint"`
	Entries      []journaler.Entry `cbor:"5,keyasint"`
}

// AppendReply is the reply to an AppendRequest or an InstallSnapshotRequest.
type AppendReply struct {
	// Term is the receiver's term, or 0 if the request was addressed to another replica,
	// or the receiver has stopped or failed to store the data.
	Term    uint64 `cbor:"1,keyasint"`
	Success bool   `cbor:"2,keyasint"`
	// MatchIndex is the last index at which both logs are known to agree. If Success
	// is false, NextIndex is the index from which the leader should retry.
	MatchIndex uint64 `cbor:"3,keyasint"`
	NextIndex  uint64 `cbor:"4,keyasint"`
	// Successor is the replica that replies if the request was addressed to another one.
	Successor Replica `cbor:"5,keyasint,omitzero"`
}

// InstallSnapshotRequest carries one chunk of a snapshot.
type InstallSnapshotRequest struct {
	Header        Header `cbor:"1,keyasint"`
	SnapshotIndex uint64 `cbor:"2,keyasint"`
	Offset        int    `cbor:"3,keyasint"`
	Chunk         []byte `cbor:"4,keyasint"`
	Done          bool   `cbor:"5,keyasint"`
}

// StatusRequest requests the status of a replica.
type StatusRequest struct {
	GroupID uint32 `cbor:"1,keyasint"`
}

// StatusReply is the status of a replica.
type StatusReply struct {
	Self          Replica    `cbor:"1,keyasint" json:"self"`
	Uninitialized bool       `cbor:"2,keyasint" json:"fresh"`
	Role          string     `cbor:"3,keyasint" json:"role"`
	Term          uint64     `cbor:"4,keyasint" json:"term"`
	Leader        Replica    `cbor:"5,keyasint" json:"leader"`
	CommitIndex   uint64     `cbor:"6,keyasint" json:"commit"`
	LastIndex     uint64     `cbor:"7,keyasint" json:"last"`
	Membership    Membership `cbor:"8,keyasint" json:"group"`
	// DiskError is the error of the last write to the disk; empty if it succeeded.
	DiskError string `cbor:"9,keyasint,omitempty" json:"disk_error,omitempty"`
}

// JoinRequest requests the addition of a new replica to the group.
type JoinRequest struct {
	GroupID uint32  `cbor:"1,keyasint"`
	Replica Replica `cbor:"2,keyasint"`
	// InitialMember is set for an initial member of a group with dynamic membership.
	// It increases the target number of voters, since the replica replaces no other.
	InitialMember bool `cbor:"3,keyasint,omitempty"`
}

// JoinReply is the reply to a JoinRequest.
type JoinReply struct {
	Accepted bool               `cbor:"1,keyasint"`
	Leader   figseam.InstanceID `cbor:"2,keyasint"`
}

// LeaveRequest requests the removal of a voter that is about to stop.
type LeaveRequest struct {
	GroupID uint32  `cbor:"1,keyasint"`
	Replica Replica `cbor:"2,keyasint"`
}

// LeaveReply is the reply to a LeaveRequest.
type LeaveReply struct {
	// Done reports that the voter need not wait any longer: it was removed, or it remains
	// a voter since the group has no surplus voters.
	Done bool `cbor:"1,keyasint"`
}

// ProposeRequest requests that a command be appended to the log.
type ProposeRequest struct {
	Command figseam.Command `cbor:"1,keyasint"`
}

// ProposeReply is the reply to a ProposeRequest.
type ProposeReply struct {
	// Applied reports whether the command was applied. If Applied and OutcomeUnknown are
	// both false, the command was not applied and never will be.
	Applied bool   `cbor:"1,keyasint"`
	Result  []byte `cbor:"2,keyasint"`
	// Leader is the last known leader if this replica is not the leader.
	Leader figseam.InstanceID `cbor:"3,keyasint"`
	// OutcomeUnknown reports that the command may still be applied.
	OutcomeUnknown bool `cbor:"4,keyasint"`
}

// Transport sends requests to the replica on another instance.
type Transport interface {
	Vote(ctx context.Context, to figseam.InstanceID, r VoteRequest) (VoteReply, error)
	Append(ctx context.Context, to figseam.InstanceID, r AppendRequest) (AppendReply, error)
	InstallSnapshot(ctx context.Context, to figseam.InstanceID, r InstallSnapshotRequest) (AppendReply, error)
	Status(ctx context.Context, to figseam.InstanceID, r StatusRequest) (StatusReply, error)
	Join(ctx context.Context, to figseam.InstanceID, r JoinRequest) (JoinReply, error)
	Leave(ctx context.Context, to figseam.InstanceID, r LeaveRequest) (LeaveReply, error)
	Propose(ctx context.Context, to figseam.InstanceID, r ProposeRequest) (ProposeReply, error)
}
