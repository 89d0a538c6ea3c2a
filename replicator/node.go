package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/journaler"
)

const (
	heartbeatIntervalMillis  = 150
	electionTimeoutMinMillis = 500
	electionTimeoutMaxMillis = 1000
	// firstElectionMaxMillis bounds the random delay between the start of a replica
	// and its first election.
	firstElectionMaxMillis = 500
	// requestTimeoutMillis is the timeout of a request to a peer. That of a snapshot
	// chunk is four times as long.
	requestTimeoutMillis = 600
	// maxAppendEntries and maxAppendBytes limit the entries of one AppendRequest, and
	// of one batch that is applied. A single entry may exceed maxAppendBytes.
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
	// defaultSnapshotThresholdEntries is the default of
	// Settings.SnapshotThresholdEntries.
	defaultSnapshotThresholdEntries = 4096
	// trailingEntriesDivisor sets how many entries covered by a snapshot are retained
	// for slow peers: the snapshot threshold divided by it.
	trailingEntriesDivisor = 8
	// maxQueuedProposals is the capacity of the queue for the next batch.
	maxQueuedProposals = 4096
)

// Kinds of entries.
const (
	kindEmpty uint8 = iota
	kindCommand
	kindMembership
)

type role uint8

const (
	follower role = iota
	candidate
	leader
)

func (r role) String() string {
	return [...]string{"follower", "candidate", "leader"}[r]
}

// ErrLeadershipLost is returned for a command that was in flight when the leader
// stepped down, and by a client for a command whose outcome the remote leader reports
// as unknown. The command may still be applied.
var ErrLeadershipLost = errors.New("leadership was lost while the command was under way")

// NotLeaderError is returned for a command that was not proposed, because this
// replica is not the leader or its queue of proposals is full.
type NotLeaderError struct {
	// Leader is the instance of the last known leader, or empty.
	Leader figseam.InstanceID
}

// Error implements error.
func (e *NotLeaderError) Error() string { return "replica is not the leader" }

// Is makes a NotLeaderError match [figseam.ErrNotProposed].
func (e *NotLeaderError) Is(target error) bool { return target == figseam.ErrNotProposed }

// Settings configure a node.
type Settings struct {
	GroupID  uint32
	Instance figseam.InstanceID
	// Voters lists the instances whose replicas vote. A new group is bootstrapped
	// once all of them are reachable and none holds any data.
	Voters []figseam.InstanceID
	// DynamicMembership lets every replica that requests to join become a voter, and
	// lets the leader remove unresponsive voters once others have replaced them. Voters
	// then lists only instances that a replica queries to discover the group.
	DynamicMembership bool
	// InitialMember applies to groups with dynamic membership. It lets a replica
	// bootstrap the group. If it joins the group instead, the target number of voters
	// increases by one.
	InitialMember bool
	// SnapshotThresholdEntries is the number of entries applied between two
	// snapshots; 0 selects the default.
	SnapshotThresholdEntries uint64
}

// Node is a replica of the log. Its methods are safe for concurrent use.
type Node struct {
	settings  Settings
	self      Replica
	transport Transport
	machines  map[string]figseam.StateMachine
	log       zerolog.Logger
	// failure receives the first error after which the replica cannot go on.
	failure chan error

	// applyMu guards the state machines and incomingSnapshot. It is locked before mu.
	applyMu          sync.Mutex
	incomingSnapshot snapshotTransfer

	wakeApply   chan struct{}
	wakeJournal chan struct{}

	// mu guards everything below.
	mu       sync.Mutex
	journal  *journaler.Journal
	term     uint64
	votedFor string
	role     role
	leader   Replica
	// leaderChanged is closed and replaced when another leader becomes known.
	leaderChanged chan struct{}
	// entries holds the log after baseIndex; baseTerm is the term of the discarded
	// entry at baseIndex.
	entries         []journaler.Entry
	baseIndex       uint64
	baseTerm        uint64
	snapshotIndex   uint64
	membership      Membership
	membershipIndex uint64
	// appliedMembership is the last applied membership. It is committed, so truncating
	// the log cannot change it.
	appliedMembership      Membership
	appliedMembershipIndex uint64
	commitIndex            uint64
	appliedIndex           uint64
	lastLeaderContact      time.Time
	// lastCaughtUp is the time of the last request from the leader after which this replica had
	// all entries that were committed when it was sent.
	lastCaughtUp     time.Time
	electionDeadline time.Time
	peers            map[string]*peer
	queued           []*proposal
	inFlight         map[uint64]*proposal
	lastLogMillis    int64
	lastAppend       time.Time
	// diskError is the error of the last write to the journal, or nil. While it is set, the
	// replica neither leads nor answers its leader; it tries the disk again at diskRetry.
	diskError error
	diskRetry time.Time
	// snapshotRetry is the time before which no snapshot is tried after one that failed.
	snapshotRetry time.Time
	// leaving is set once the replica is to stop. It then does not join the group again.
	leaving    bool
	stopCause  error
	runContext context.Context
	tasks      sync.WaitGroup
}

// proposal is an entry whose outcome a caller waits for.
type proposal struct {
	kind    uint8
	body    []byte
	term    uint64
	outcome chan proposalOutcome
}

type proposalOutcome struct {
	result []byte
	err    error
}

func newProposal(kind uint8, body []byte) *proposal {
	return &proposal{kind: kind, body: body, outcome: make(chan proposalOutcome, 1)}
}

// Open recovers a node from the disk. The node is inactive until Run is called.
func Open(settings Settings, disk journaler.FileSystem, transport Transport, machines []figseam.StateMachine, log zerolog.Logger) (n *Node, err error) {
	defer func() { err = eris.Wrap(err, "open replica") }()
	if settings.SnapshotThresholdEntries == 0 {
		settings.SnapshotThresholdEntries = defaultSnapshotThresholdEntries
	}
	journal, recovered, err := journaler.Open(disk)
	if err != nil {
		return nil, err
	}
	n = &Node{
		settings: settings, self: Replica{Identity: recovered.Identity, Instance: settings.Instance},
		transport: transport, machines: map[string]figseam.StateMachine{}, log: log,
		failure: make(chan error, 1), wakeApply: make(chan struct{}, 1), wakeJournal: make(chan struct{}, 1),
		journal: journal, term: recovered.HardState.Term, votedFor: recovered.HardState.Vote,
		entries: recovered.Entries, peers: map[string]*peer{}, inFlight: map[uint64]*proposal{},
		leaderChanged: make(chan struct{}),
	}
	for _, m := range machines {
		n.machines[m.Name()] = m
	}
	if recovered.TruncatedBytes > 0 {
		log.Warn().Int64("bytes", recovered.TruncatedBytes).Msg("truncated an interrupted write at the end of the journal")
	}
	return n, n.restore(recovered.Snapshot)
}

// restore loads a snapshot into the state machines and determines the current
// membership.
func (n *Node) restore(s journaler.Snapshot) error {
	if s.Index > 0 {
		if err := n.restoreMachines(s.Data); err != nil {
			return err
		}
		if err := cbor.Unmarshal(s.Membership, &n.membership); err != nil {
			return err
		}
		n.baseIndex, n.baseTerm, n.snapshotIndex, n.membershipIndex = s.Index, s.Term, s.Index, s.Index
		n.appliedMembership, n.appliedMembershipIndex = n.membership, s.Index
		n.commitIndex, n.appliedIndex, n.lastLogMillis = s.Index, s.Index, s.LogMillis
	}
	for _, e := range n.entries {
		n.recordAppended(e)
	}
	return nil
}

// recordAppended updates the log's clock and, for a membership entry, the current
// membership. As in Raft, a membership takes effect once it is appended.
func (n *Node) recordAppended(e journaler.Entry) {
	n.lastLogMillis = e.LogMillis
	if e.Kind != kindMembership {
		return
	}
	var m Membership
	if cbor.Unmarshal(e.Command, &m) == nil {
		n.membership, n.membershipIndex = m, e.Index
	}
}

// Run participates in the group until ctx is cancelled, or until the state machines cannot
// store or restore their state. A replica that the group can do without leaves it before it
// stops. A disk that refuses writes does not end it: the replica serves again once the disk
// accepts them. The returned channel receives nil or the error once the node has stopped.
func (n *Node) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	stopping := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n.mu.Lock()
	n.runContext = ctx
	// When the whole group starts, it has no leader, so the first election should be
	// early. It cannot depose an existing leader, because voters that are in contact
	// with a leader refuse.
	n.electionDeadline = time.Now().Add(rand.N(firstElectionMaxMillis * time.Millisecond))
	n.mu.Unlock()
	n.tasks.Go(func() { n.runElectionTimer(ctx) })
	n.tasks.Go(func() { n.writeBatches(ctx) })
	n.tasks.Go(func() { n.applyCommitted(ctx) })
	n.tasks.Go(func() { n.maintainMembership(ctx) })
	go func() {
		var err error
		select {
		case <-stopping:
			err = n.leaveGroup(ctx)
		case err = <-n.failure:
			n.log.Error().Err(err).Msg("replica stops: its state cannot be stored or restored")
		}
		cancel()
		n.mu.Lock()
		n.stepDown()
		n.stopCause = errors.Join(errors.New("replica has stopped"), err)
		n.mu.Unlock()
		n.tasks.Wait()
		_ = n.journal.Close()
		ended <- err
	}()
	return ended
}

// HasQuorum reports whether this replica is a leader in contact with a majority of voters, or
// a follower that recently had all entries that its leader had committed. Contact with the
// leader alone is not enough, since a follower whose disk refuses writes falls behind.
func (n *Node) HasQuorum() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	switch {
	case n.stopCause != nil || n.diskError != nil:
		return false
	case n.role == leader:
		return n.majorityResponds(now)
	}
	return now.Sub(n.lastCaughtUp) < electionTimeoutMinMillis*time.Millisecond
}

// Self returns the identity and the instance of this replica.
func (n *Node) Self() Replica { return n.self }

// Status returns the state of this replica and its current view of the group.
func (n *Node) Status() StatusReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	diskError := ""
	if n.diskError != nil {
		diskError = n.diskError.Error()
	}
	return StatusReply{
		DiskError: diskError, Self: n.self, Uninitialized: n.uninitializedLocked(), Role: n.role.String(), Term: n.term, Leader: n.leader,
		CommitIndex: n.commitIndex, LastIndex: n.lastIndex(), Membership: n.membership,
	}
}

// JournalBytes returns the size of the journal's open segment in bytes.
func (n *Node) JournalBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.journal.SizeBytes()
}

// uninitializedLocked reports whether the replica has no entries and no membership, so
// that it belongs to no group yet. The caller holds mu.
func (n *Node) uninitializedLocked() bool { return n.lastIndex() == 0 && len(n.membership.Voters) == 0 }

// Propose appends a command to the log and returns its result after this replica
// has applied it. The error matches [figseam.ErrNotProposed] if the command was not
// proposed; after [ErrLeadershipLost] or the context's error it may still be
// applied.
func (n *Node) Propose(ctx context.Context, command figseam.Command) ([]byte, error) {
	body, err := cbor.Marshal(command)
	if err != nil {
		return nil, err
	}
	return n.propose(ctx, newProposal(kindCommand, body))
}

func (n *Node) propose(ctx context.Context, p *proposal) ([]byte, error) {
	if err := n.enqueue(p); err != nil {
		return nil, err
	}
	select {
	case o := <-p.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Node) enqueue(p *proposal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != leader || n.stopCause != nil {
		return &NotLeaderError{Leader: n.leader.Instance}
	}
	if len(n.queued) >= maxQueuedProposals {
		return &NotLeaderError{}
	}
	n.queued = append(n.queued, p)
	signal(n.wakeJournal)
	return nil
}

// fail stops the replica after an error with which it cannot go on. The caller holds mu.
func (n *Node) fail(err error) {
	if n.stopCause == nil {
		n.stopCause = err
	}
	select {
	case n.failure <- err:
	default:
	}
}

func (n *Node) lastIndex() uint64 {
	if len(n.entries) == 0 {
		return n.baseIndex
	}
	return n.entries[len(n.entries)-1].Index
}

func (n *Node) lastTerm() uint64 {
	t, _ := n.termAt(n.lastIndex())
	return t
}

// termAt returns the term of an entry. ok is false if the log does not hold it.
func (n *Node) termAt(index uint64) (term uint64, ok bool) {
	switch {
	case index == n.baseIndex:
		return n.baseTerm, true
	case index < n.baseIndex || index > n.lastIndex():
		return 0, false
	}
	return n.entries[index-n.baseIndex-1].Term, true
}

// entriesFrom returns the entries from index on, up to the limits of one
// AppendRequest.
func (n *Node) entriesFrom(index uint64) []journaler.Entry {
	if index <= n.baseIndex || index > n.lastIndex() {
		return nil
	}
	rest := n.entries[index-n.baseIndex-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Command)
		if i >= maxAppendEntries || (i > 0 && size > maxAppendBytes) {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// signal wakes the receiver of a channel with capacity 1. It never blocks.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// indexOf returns the position of the replica with an identity, or -1.
func indexOf(replicas []Replica, identity string) int {
	for i, r := range replicas {
		if r.Identity == identity {
			return i
		}
	}
	return -1
}
