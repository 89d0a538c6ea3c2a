package benchmarker

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/deduplicator"
	"github.com/figseam/figseam/journaler"
	"github.com/figseam/figseam/publisher"
	"github.com/figseam/figseam/replicator"
)

// claimPeriodMillis is the duration of the measurement of claims.
const claimPeriodMillis = 4000

// memoryTransport implements [replicator.Transport] by calling the replicas of this
// process directly, without encoding requests.
type memoryTransport struct {
	mu    sync.Mutex
	nodes map[figseam.InstanceID]*replicator.Node
}

func (t *memoryTransport) node(id figseam.InstanceID) (*replicator.Node, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.nodes[id]
	if !ok {
		return nil, errors.New("not started")
	}
	return n, nil
}

// callNode passes a request to the handler of the addressed replica. It fails if the
// replica has not been started.
func callNode[Req, Resp any](t *memoryTransport, to figseam.InstanceID, r Req, handle func(*replicator.Node, Req) Resp) (Resp, error) {
	n, err := t.node(to)
	if err != nil {
		var zero Resp
		return zero, err
	}
	return handle(n, r), nil
}

func (t *memoryTransport) Vote(_ context.Context, to figseam.InstanceID, r replicator.VoteRequest) (replicator.VoteReply, error) {
	return callNode(t, to, r, (*replicator.Node).HandleVote)
}

func (t *memoryTransport) Append(_ context.Context, to figseam.InstanceID, r replicator.AppendRequest) (replicator.AppendReply, error) {
	return callNode(t, to, r, (*replicator.Node).HandleAppend)
}

func (t *memoryTransport) InstallSnapshot(_ context.Context, to figseam.InstanceID, r replicator.InstallSnapshotRequest) (replicator.AppendReply, error) {
	return callNode(t, to, r, (*replicator.Node).HandleInstallSnapshot)
}

func (t *memoryTransport) Status(_ context.Context, to figseam.InstanceID, r replicator.StatusRequest) (replicator.StatusReply, error) {
	return callNode(t, to, r, func(n *replicator.Node, _ replicator.StatusRequest) replicator.StatusReply { return n.Status() })
}

func (t *memoryTransport) Join(ctx context.Context, to figseam.InstanceID, r replicator.JoinRequest) (replicator.JoinReply, error) {
	return callNode(t, to, r, func(n *replicator.Node, r replicator.JoinRequest) replicator.JoinReply { return n.HandleJoin(ctx, r) })
}

func (t *memoryTransport) Leave(ctx context.Context, to figseam.InstanceID, r replicator.LeaveRequest) (replicator.LeaveReply, error) {
	return callNode(t, to, r, func(n *replicator.Node, r replicator.LeaveRequest) replicator.LeaveReply {
		return n.HandleLeave(ctx, r)
	})
}

func (t *memoryTransport) Propose(ctx context.Context, to figseam.InstanceID, r replicator.ProposeRequest) (replicator.ProposeReply, error) {
	return callNode(t, to, r, func(n *replicator.Node, r replicator.ProposeRequest) replicator.ProposeReply {
		return n.HandlePropose(ctx, r)
	})
}

// replicaGroup is a group of replicas in this process, each with journal files on disk.
type replicaGroup struct {
	transport *memoryTransport
	instances []figseam.InstanceID
	dir       string
	// stop stops the replicas, waits until they have ended and removes their files.
	stop func() error
}

// startReplicaGroup starts one replica on each instance. newMachines returns the state
// machines of one replica.
func startReplicaGroup(instances []figseam.InstanceID, newMachines func() []figseam.StateMachine) (g *replicaGroup, err error) {
	dir, err := os.MkdirTemp("", "figseam-slopes-")
	if err != nil {
		return nil, err
	}
	g = &replicaGroup{transport: &memoryTransport{nodes: map[figseam.InstanceID]*replicator.Node{}}, instances: instances, dir: dir}
	ctx, cancel := context.WithCancel(context.Background())
	var exits []<-chan error
	g.stop = func() error {
		cancel()
		var errs error
		for _, exit := range exits {
			errs = errors.Join(errs, <-exit)
		}
		return errors.Join(errs, os.RemoveAll(dir))
	}
	for _, id := range instances {
		journalDir, err := journaler.OpenDirectory(filepath.Join(dir, string(id)))
		if err != nil {
			return nil, errors.Join(err, g.stop())
		}
		n, err := replicator.Open(replicator.Settings{Instance: id, Voters: instances}, journalDir, g.transport, newMachines(), zerolog.Nop())
		if err != nil {
			return nil, errors.Join(err, g.stop())
		}
		g.transport.mu.Lock()
		g.transport.nodes[id] = n
		g.transport.mu.Unlock()
		exits = append(exits, n.Run(ctx))
	}
	return g, nil
}

func (g *replicaGroup) newClient() *replicator.Client {
	return replicator.NewClient(nil, g.transport, func() []figseam.InstanceID { return g.instances })
}

// meanJournalBytes returns the mean size of the replicas' journals.
func (g *replicaGroup) meanJournalBytes() float64 {
	total := 0.0
	for _, node := range g.transport.nodes {
		total += float64(node.JournalBytes())
	}
	return total / float64(len(g.instances))
}

// measureClaims measures pairs of a claim and its completion, made by size concurrent
// callers on three replicas that sync to this machine's disk.
func measureClaims(size int) (map[string]float64, error) {
	g, err := startReplicaGroup([]figseam.InstanceID{"a", "b", "c"}, func() []figseam.StateMachine {
		return []figseam.StateMachine{deduplicator.NewStateMachine()}
	})
	if err != nil {
		return nil, err
	}
	d := deduplicator.New("a#1", g.newClient(), func(figseam.InstanceID) bool { return false })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, _, err := d.Claim(ctx, "first", [32]byte{}); err != nil {
		return nil, errors.Join(err, g.stop())
	}
	journalBefore, cpuBefore, start := g.meanJournalBytes(), cpuSeconds(), time.Now()
	completed := make([]int, size)
	var callers sync.WaitGroup
	for i := range size {
		callers.Go(func() {
			for time.Since(start) < claimPeriodMillis*time.Millisecond {
				claim, _, err := d.Claim(ctx, fmt.Sprintf("key-%d-%d", i, completed[i]), [32]byte{})
				if err != nil {
					return
				}
				if d.Complete(ctx, claim, figseam.StoredResponse{Status: 200, Body: make([]byte, 200)}) != nil {
					return
				}
				completed[i]++
			}
		})
	}
	callers.Wait()
	elapsed := time.Since(start).Seconds()
	total := 0.0
	for _, n := range completed {
		total += float64(n)
	}
	values := map[string]float64{
		"claims_per_s": total / elapsed, "millis_per_claim": 1000 * elapsed * float64(size) / total,
		"core_us_per_claim": 1e6 * (cpuSeconds() - cpuBefore) / total,
	}
	// A snapshot during the measurement removes journal entries. The value is left out if
	// the journals have shrunk.
	if journalAfter := g.meanJournalBytes(); journalAfter > journalBefore {
		values["journal_bytes_per_claim"] = (journalAfter - journalBefore) / total
	}
	return values, g.stop()
}

// measureJournal measures the time to append size changes to a voter's journal, the size
// of the resulting files and the time to restart from them.
func measureJournal(size int) (map[string]float64, error) {
	dir, err := os.MkdirTemp("", "figseam-slopes-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	journalDir, err := journaler.OpenDirectory(dir)
	if err != nil {
		return nil, err
	}
	machine := publisher.NewStateMachine(publisher.NewStore())
	j, _, err := journaler.Open(journalDir)
	if err != nil {
		return nil, err
	}
	appendTime, err := appendChanges(j, machine, size)
	if err != nil {
		return nil, errors.Join(err, j.Close())
	}
	if err := j.Close(); err != nil {
		return nil, err
	}
	start := time.Now()
	if err := openReplica(journalDir); err != nil {
		return nil, err
	}
	values := map[string]float64{
		"millis_per_change": 1000 * appendTime.Seconds() / float64(size), "restart_millis": 1000 * time.Since(start).Seconds(),
	}
	values["disk_bytes"], err = diskBytes(dir)
	return values, err
}

// entriesPerSnapshot equals the default of package replicator.
const entriesPerSnapshot = 4096

// appendChanges appends count changes one by one, each synced to disk, with a snapshot
// after every entriesPerSnapshot changes. It returns the time taken.
func appendChanges(j *journaler.Journal, m *publisher.StateMachine, count int) (time.Duration, error) {
	start := time.Now()
	for i := 1; i <= count; i++ {
		body, err := cbor.Marshal(publisher.Change{
			ID: fmt.Sprint("change-", i), BaseVersion: uint64(i - 1), Upsert: []publisher.Object{accountObject(i % 43_000)},
		})
		if err != nil {
			return 0, err
		}
		command, err := cbor.Marshal(figseam.Command{Machine: publisher.StateMachineName, Body: body})
		if err != nil {
			return 0, err
		}
		entry := journaler.Entry{Index: uint64(i), Term: 1, Kind: 1, Command: command}
		if err := j.Append(0, []journaler.Entry{entry}); err != nil {
			return 0, err
		}
		m.Apply(figseam.CommittedCommand{Index: uint64(i), Body: body})
		if i%entriesPerSnapshot != 0 {
			continue
		}
		if err := saveSnapshot(j, m, uint64(i)); err != nil {
			return 0, err
		}
	}
	return time.Since(start), nil
}

// saveSnapshot writes the machine's state to the journal as a snapshot up to an index.
func saveSnapshot(j *journaler.Journal, m *publisher.StateMachine, index uint64) error {
	state, err := m.Snapshot()
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(map[string][]byte{publisher.StateMachineName: state})
	if err != nil {
		return err
	}
	membership, err := cbor.Marshal(replicator.Membership{})
	if err != nil {
		return err
	}
	return j.SaveSnapshot(journaler.Snapshot{Index: index, Term: 1, Data: data, Membership: membership}, nil)
}

// openReplica opens a replica, which reads its whole state from the journal directory.
func openReplica(journalDir *journaler.Directory) error {
	store := publisher.NewStore()
	_, err := replicator.Open(replicator.Settings{Instance: "a", Voters: []figseam.InstanceID{"a"}}, journalDir, nil,
		[]figseam.StateMachine{publisher.NewStateMachine(store)}, zerolog.Nop())
	return err
}

// diskBytes returns the total size of the files in a directory.
func diskBytes(dir string) (float64, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	total := 0.0
	for _, f := range files {
		info, err := f.Info()
		if err != nil {
			return 0, err
		}
		total += float64(info.Size())
	}
	return total, nil
}
