package replicator

import (
	"context"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/journaler"
)

// Replica is a member of the group: a data folder and the instance that has it.
type Replica struct {
	Identity string             `cbor:"1,keyasint" json:"identity"`
	Instance figseam.InstanceID `cbor:"2,keyasint" json:"instance"`
}

// Membership is the set of replicas. It is immutable.
type Membership struct {
	Voters   []Replica `cbor:"1,keyasint" json:"voters"`
	Learners []Replica `cbor:"2,keyasint" json:"learners"`
	// TargetVoters is how many voters an open group is meant to have.
	TargetVoters int `cbor:"3,keyasint,omitempty" json:"size,omitempty"`
}

// Header stands in every request. A request for another identity is refused, so
// that no message meant for a lost data folder reaches its successor.
type Header struct {
	GroupID    uint32  `cbor:"1,keyasint"`
	ToIdentity string  `cbor:"2,keyasint"`
	From       Replica `cbor:"3,keyasint"`
	Term       uint64  `cbor:"4,keyasint"`
}

// VoteRequest asks for a vote. With Pre set the vote binds nobody.
type VoteRequest struct {
	Header    Header `cbor:"1,keyasint"`
	PreVote   bool   `cbor:"2,keyasint"`
	LastIndex uint64 `cbor:"3,keyasint"`
	LastTerm  uint64 `cbor:"4,keyasint"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Term    uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint"`
}

// AppendRequest carries entries, or none as a heartbeat.
type AppendRequest struct {
	Header       Header            `cbor:"1,keyasint"`
	PrevIndex    uint64            `cbor:"2,keyasint"`
	PrevTerm     uint64            `cbor:"3,keyasint"`
	LeaderCommit uint64            `cbor:"4,keyasint"`
	Entries      []journaler.Entry `cbor:"5,keyasint"`
}

// AppendReply answers an AppendRequest or the last part of an InstallRequest.
type AppendReply struct {
	Term    uint64 `cbor:"1,keyasint"`
	Success bool   `cbor:"2,keyasint"`
	// MatchIndex is the last index known to agree; after a refusal, Next is where the
	// leader should try again.
	MatchIndex uint64 `cbor:"3,keyasint"`
	NextIndex  uint64 `cbor:"4,keyasint"`
}

// InstallSnapshotRequest carries a part of a snapshot.
type InstallSnapshotRequest struct {
	Header        Header `cbor:"1,keyasint"`
	SnapshotIndex uint64 `cbor:"2,keyasint"`
	Offset        int    `cbor:"3,keyasint"`
	Chunk         []byte `cbor:"4,keyasint"`
	Done          bool   `cbor:"5,keyasint"`
}

// StatusRequest asks a replica about itself.
type StatusRequest struct {
	GroupID uint32 `cbor:"1,keyasint"`
}

// StatusReply is what a replica says of itself.
type StatusReply struct {
	Self          Replica    `cbor:"1,keyasint" json:"self"`
	Uninitialized bool       `cbor:"2,keyasint" json:"fresh"`
	Role          string     `cbor:"3,keyasint" json:"role"`
	Term          uint64     `cbor:"4,keyasint" json:"term"`
	Leader        Replica    `cbor:"5,keyasint" json:"leader"`
	CommitIndex   uint64     `cbor:"6,keyasint" json:"commit"`
	LastIndex     uint64     `cbor:"7,keyasint" json:"last"`
	Membership    Membership `cbor:"8,keyasint" json:"group"`
}

// JoinRequest asks the leader to take a new replica in.
type JoinRequest struct {
	GroupID uint32  `cbor:"1,keyasint"`
	Replica Replica `cbor:"2,keyasint"`
	// InitialMember tells that the replica is one of those that an open group is
	// meant to consist of, and takes nobody's place.
	InitialMember bool `cbor:"3,keyasint,omitempty"`
}

// JoinReply answers a JoinRequest.
type JoinReply struct {
	Accepted bool               `cbor:"1,keyasint"`
	Leader   figseam.InstanceID `cbor:"2,keyasint"`
}

// ProposeRequest asks the leader to append a command.
type ProposeRequest struct {
	Command figseam.Command `cbor:"1,keyasint"`
}

// ProposeReply answers a ProposeRequest.
type ProposeReply struct {
	// Applied is false when the command was not and never will be applied.
	Applied bool   `cbor:"1,keyasint"`
	Result  []byte `cbor:"2,keyasint"`
	// Leader is who may be the leader, when this replica is not.
	Leader         figseam.InstanceID `cbor:"3,keyasint"`
	LeadershipLost bool               `cbor:"4,keyasint"`
}

// Transport carries requests to the replica on an instance.
type Transport interface {
	Vote(ctx context.Context, to figseam.InstanceID, r VoteRequest) (VoteReply, error)
	Append(ctx context.Context, to figseam.InstanceID, r AppendRequest) (AppendReply, error)
	InstallSnapshot(ctx context.Context, to figseam.InstanceID, r InstallSnapshotRequest) (AppendReply, error)
	Status(ctx context.Context, to figseam.InstanceID, r StatusRequest) (StatusReply, error)
	Join(ctx context.Context, to figseam.InstanceID, r JoinRequest) (JoinReply, error)
	Propose(ctx context.Context, to figseam.InstanceID, r ProposeRequest) (ProposeReply, error)
}
