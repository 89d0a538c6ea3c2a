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
	heartbeatMillis   = 150
	electionMinMillis = 500
	electionMaxMillis = 1000
	// firstElectionMillis bounds the time until a replica that starts asks for votes.
	firstElectionMillis = 500
	// requestMillis bounds one request to a peer.
	requestMillis = 600
	// batchEntries and batchBytes bound one AppendRequest.
	batchEntries = 256
	batchBytes   = 1 << 20
	// defaultSnapshotEntries is after how many entries a snapshot is taken.
	defaultSnapshotEntries = 4096
	// trailingShare is the part of them that is kept behind a snapshot for slow
	// peers.
	trailingShare = 8
	// pendingCommands bounds the commands that wait for the next batch.
	pendingCommands = 4096
)

// Kinds of entries.
const (
	kindEmpty uint8 = iota
	kindCommand
	kindGroup
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

// ErrLeadershipLost means that the leader stepped down while a command was under
// way; the command may still be applied.
var ErrLeadershipLost = errors.New("leadership was lost while the command was under way")

// NotLeaderError means that a command was not proposed, since this replica does
// not lead.
type NotLeaderError struct {
	// Leader is the instance that may lead; empty when it is not known.
	Leader figseam.InstanceID
}

// Error implements error.
func (e *NotLeaderError) Error() string { return "replica is not the leader" }

// Is makes a NotLeaderError match [figseam.ErrNotProposed].
func (e *NotLeaderError) Is(target error) bool { return target == figseam.ErrNotProposed }

// Settings describe a node.
type Settings struct {
	GroupID  uint32
	Instance figseam.InstanceID
	// Voters names the instances whose replicas are to vote. A new group is
	// founded when all of them are there and none has any data.
	Voters []figseam.InstanceID
	// DynamicMembership lets every replica that asks to join become a voter, and lets voters
	// that stopped answering be removed once others have taken their place. Voters
	// are then only where a replica looks for the group.
	DynamicMembership bool
	// InitialMember lets a replica of an open group found it, or join it as one of
	// those that the group is meant to consist of.
	InitialMember bool
	// SnapshotThresholdEntries is after how many entries a snapshot is taken; 0 for the
	// default.
	SnapshotThresholdEntries uint64
}

// Node is one replica of the log. Its methods are safe for concurrent use.
type Node struct {
	settings  Settings
	self      Replica
	transport Transport
	machines  map[string]figseam.StateMachine
	log       zerolog.Logger
	failed    chan error

	// applying guards the state machines. It is taken before mu.
	applying sync.Mutex
	install  installation

	wakeApply   chan struct{}
	wakeJournal chan struct{}

	// mu guards everything below.
	mu      sync.Mutex
	journal *journaler.Journal
	term    uint64
	vote    string
	role    role
	leader  Replica
	// entries follow index base, whose term is baseTerm.
	entries       []journaler.Entry
	base          uint64
	baseTerm      uint64
	snapshotIndex uint64
	group         Membership
	groupIndex    uint64
	// appliedGroup is the group that no dropped entry can change any more.
	appliedGroup      Membership
	appliedGroupIndex uint64
	commit            uint64
	applied           uint64
	contact           time.Time // of a live leader
	electAt           time.Time
	peers             map[string]*peer
	pending           []*proposal
	waiting           map[uint64]*proposal
	lastLogMillis     int64
	lastAppend        time.Time
	broken            error
	base0             context.Context
	tasks             sync.WaitGroup
}

// proposal is a command that somebody waits for.
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

// Open reads the disk and returns a node that does nothing until Run.
func Open(settings Settings, disk journaler.FileSystem, transport Transport, machines []figseam.StateMachine, log zerolog.Logger) (n *Node, err error) {
	defer func() { err = eris.Wrap(err, "open replica") }()
	if settings.SnapshotThresholdEntries == 0 {
		settings.SnapshotThresholdEntries = defaultSnapshotEntries
	}
	journal, contents, err := journaler.Open(disk)
	if err != nil {
		return nil, err
	}
	n = &Node{
		settings: settings, self: Replica{Identity: contents.Identity, Instance: settings.Instance},
		transport: transport, machines: map[string]figseam.StateMachine{}, log: log,
		failed: make(chan error, 1), wakeApply: make(chan struct{}, 1), wakeJournal: make(chan struct{}, 1),
		journal: journal, term: contents.HardState.Term, vote: contents.HardState.Vote,
		entries: contents.Entries, peers: map[string]*peer{}, waiting: map[uint64]*proposal{},
	}
	for _, m := range machines {
		n.machines[m.Name()] = m
	}
	if contents.TruncatedBytes > 0 {
		log.Warn().Int64("bytes", contents.TruncatedBytes).Msg("cut an interrupted write off the journal")
	}
	return n, n.restore(contents.Snapshot)
}

// restore puts the state of a snapshot in place and finds the group in force.
func (n *Node) restore(s journaler.Snapshot) error {
	if s.Index > 0 {
		if err := n.restoreMachines(s.Data); err != nil {
			return err
		}
		if err := cbor.Unmarshal(s.Membership, &n.group); err != nil {
			return err
		}
		n.base, n.baseTerm, n.snapshotIndex, n.groupIndex = s.Index, s.Term, s.Index, s.Index
		n.appliedGroup, n.appliedGroupIndex = n.group, s.Index
		n.commit, n.applied, n.lastLogMillis = s.Index, s.Index, s.LogMillis
	}
	for _, e := range n.entries {
		n.noteEntry(e)
	}
	return nil
}

// noteEntry takes the group of an appended entry into force.
func (n *Node) noteEntry(e journaler.Entry) {
	n.lastLogMillis = e.LogMillis
	if e.Kind != kindGroup {
		return
	}
	var g Membership
	if cbor.Unmarshal(e.Command, &g) == nil {
		n.group, n.groupIndex = g, e.Index
	}
}

// Run takes part in the group until ctx ends or the disk fails. It returns a
// channel that yields the reason of the end: nil or the disk's error.
func (n *Node) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.base0 = ctx
	// After a start of the whole group nobody leads. Asking soon deposes no leader
	// that there is: voters that hear one refuse.
	n.electAt = time.Now().Add(rand.N(firstElectionMillis * time.Millisecond))
	n.mu.Unlock()
	n.tasks.Go(func() { n.watchTime(ctx) })
	n.tasks.Go(func() { n.writeBatches(ctx) })
	n.tasks.Go(func() { n.applyCommitted(ctx) })
	n.tasks.Go(func() { n.maintainGroup(ctx) })
	go func() {
		var err error
		select {
		case <-ctx.Done():
		case err = <-n.failed:
			n.log.Error().Err(err).Msg("replica stops: its disk failed")
		}
		cancel()
		n.mu.Lock()
		n.stepDown()
		n.broken = errors.Join(errors.New("replica has stopped"), err)
		n.mu.Unlock()
		n.tasks.Wait()
		_ = n.journal.Close()
		ended <- err
	}()
	return ended
}

// HasQuorum reports whether this replica leads a majority that answers, or lately
// heard of a leader and is a voter.
func (n *Node) HasQuorum() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	switch {
	case n.broken != nil:
		return false
	case n.role == leader:
		return n.majorityAnswers(now)
	}
	return now.Sub(n.contact) < electionMinMillis*time.Millisecond
}

// Self returns this replica.
func (n *Node) Self() Replica { return n.self }

// Status returns what the replica says of itself.
func (n *Node) Status() StatusReply {
	n.mu.Lock()
	defer n.mu.Unlock()
	return StatusReply{
		Self: n.self, Uninitialized: n.fresh(), Role: n.role.String(), Term: n.term, Leader: n.leader,
		CommitIndex: n.commit, LastIndex: n.lastIndex(), Membership: n.group,
	}
}

// JournalBytes returns the length of the journal's segments.
func (n *Node) JournalBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.journal.SizeBytes()
}

// fresh reports whether the replica holds nothing of any group.
func (n *Node) fresh() bool { return n.lastIndex() == 0 && len(n.group.Voters) == 0 }

// Propose appends a command if this replica leads, and returns the result once
// it is applied here.
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
	if n.role != leader || n.broken != nil {
		return &NotLeaderError{Leader: n.leader.Instance}
	}
	if len(n.pending) >= pendingCommands {
		return &NotLeaderError{}
	}
	n.pending = append(n.pending, p)
	signal(n.wakeJournal)
	return nil
}

// fail stops the replica after a disk error. The caller holds the mutex.
func (n *Node) fail(err error) {
	if n.broken == nil {
		n.broken = err
	}
	select {
	case n.failed <- err:
	default:
	}
}

func (n *Node) lastIndex() uint64 {
	if len(n.entries) == 0 {
		return n.base
	}
	return n.entries[len(n.entries)-1].Index
}

func (n *Node) lastTerm() uint64 {
	t, _ := n.termAt(n.lastIndex())
	return t
}

// termAt returns the term of an entry. ok is false when the entry is not here.
func (n *Node) termAt(index uint64) (term uint64, ok bool) {
	switch {
	case index == n.base:
		return n.baseTerm, true
	case index < n.base || index > n.lastIndex():
		return 0, false
	}
	return n.entries[index-n.base-1].Term, true
}

// from returns the entries from index on, at most batchEntries of them.
func (n *Node) from(index uint64) []journaler.Entry {
	if index <= n.base || index > n.lastIndex() {
		return nil
	}
	all := n.entries[index-n.base-1:]
	size := 0
	for i, e := range all {
		size += len(e.Command)
		if i >= batchEntries || (i > 0 && size > batchBytes) {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// indexOf returns the place of a replica, or -1.
func indexOf(replicas []Replica, identity string) int {
	for i, r := range replicas {
		if r.Identity == identity {
			return i
		}
	}
	return -1
}
