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

// claimMillis is how long claims are made.
const claimMillis = 4000

// mesh joins replicas in memory. Requests are not encoded on the way.
type mesh struct {
	mu    sync.Mutex
	nodes map[figseam.InstanceID]*replicator.Node
}

func (m *mesh) node(id figseam.InstanceID) (*replicator.Node, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.nodes[id]
	if !ok {
		return nil, errors.New("not started")
	}
	return n, nil
}

func through[Req, Resp any](m *mesh, to figseam.InstanceID, r Req, serve func(*replicator.Node, Req) Resp) (Resp, error) {
	n, err := m.node(to)
	if err != nil {
		var none Resp
		return none, err
	}
	return serve(n, r), nil
}

func (m *mesh) Vote(_ context.Context, to figseam.InstanceID, r replicator.VoteRequest) (replicator.VoteReply, error) {
	return through(m, to, r, (*replicator.Node).HandleVote)
}

func (m *mesh) Append(_ context.Context, to figseam.InstanceID, r replicator.AppendRequest) (replicator.AppendReply, error) {
	return through(m, to, r, (*replicator.Node).HandleAppend)
}

func (m *mesh) InstallSnapshot(_ context.Context, to figseam.InstanceID, r replicator.InstallSnapshotRequest) (replicator.AppendReply, error) {
	return through(m, to, r, (*replicator.Node).HandleInstallSnapshot)
}

func (m *mesh) Status(_ context.Context, to figseam.InstanceID, r replicator.StatusRequest) (replicator.StatusReply, error) {
	return through(m, to, r, func(n *replicator.Node, _ replicator.StatusRequest) replicator.StatusReply { return n.Status() })
}

func (m *mesh) Join(ctx context.Context, to figseam.InstanceID, r replicator.JoinRequest) (replicator.JoinReply, error) {
	return through(m, to, r, func(n *replicator.Node, r replicator.JoinRequest) replicator.JoinReply { return n.HandleJoin(ctx, r) })
}

func (m *mesh) Propose(ctx context.Context, to figseam.InstanceID, r replicator.ProposeRequest) (replicator.ProposeReply, error) {
	return through(m, to, r, func(n *replicator.Node, r replicator.ProposeRequest) replicator.ProposeReply {
		return n.HandlePropose(ctx, r)
	})
}

// group is three replicas with real files.
type group struct {
	mesh  *mesh
	names []figseam.InstanceID
	dir   string
	stop  func() error
}

func newGroup(names []figseam.InstanceID, machines func() []figseam.StateMachine) (g *group, err error) {
	dir, err := os.MkdirTemp("", "figseam-slopes-")
	if err != nil {
		return nil, err
	}
	g = &group{mesh: &mesh{nodes: map[figseam.InstanceID]*replicator.Node{}}, names: names, dir: dir}
	ctx, cancel := context.WithCancel(context.Background())
	var ends []<-chan error
	g.stop = func() error {
		cancel()
		var all error
		for _, e := range ends {
			all = errors.Join(all, <-e)
		}
		return errors.Join(all, os.RemoveAll(dir))
	}
	for _, name := range names {
		folder, err := journaler.OpenDirectory(filepath.Join(dir, string(name)))
		if err != nil {
			return nil, errors.Join(err, g.stop())
		}
		n, err := replicator.Open(replicator.Settings{Instance: name, Voters: names}, folder, g.mesh, machines(), zerolog.Nop())
		if err != nil {
			return nil, errors.Join(err, g.stop())
		}
		g.mesh.mu.Lock()
		g.mesh.nodes[name] = n
		g.mesh.mu.Unlock()
		ends = append(ends, n.Run(ctx))
	}
	return g, nil
}

func (g *group) client() *replicator.Client {
	return replicator.NewClient(nil, g.mesh, func() []figseam.InstanceID { return g.names })
}

func (g *group) journalBytes() float64 {
	n := 0.0
	for _, node := range g.mesh.nodes {
		n += float64(node.JournalBytes())
	}
	return n / float64(len(g.names))
}

// claims measures claims and settlements by size callers at once, on three
// replicas that sync to this machine's disk.
func claims(size int) (map[string]float64, error) {
	g, err := newGroup([]figseam.InstanceID{"a", "b", "c"}, func() []figseam.StateMachine {
		return []figseam.StateMachine{deduplicator.NewStateMachine()}
	})
	if err != nil {
		return nil, err
	}
	d := deduplicator.New("a#1", g.client(), func(figseam.InstanceID) bool { return false })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, _, err := d.Claim(ctx, "first", [32]byte{}); err != nil {
		return nil, errors.Join(err, g.stop())
	}
	before, cpu, began := g.journalBytes(), cpuSeconds(), time.Now()
	done := make([]int, size)
	var tasks sync.WaitGroup
	for i := range size {
		tasks.Go(func() {
			for time.Since(began) < claimMillis*time.Millisecond {
				claim, _, err := d.Claim(ctx, fmt.Sprintf("key-%d-%d", i, done[i]), [32]byte{})
				if err != nil {
					return
				}
				if d.Complete(ctx, claim, figseam.StoredResponse{Status: 200, Body: make([]byte, 200)}) != nil {
					return
				}
				done[i]++
			}
		})
	}
	tasks.Wait()
	took := time.Since(began).Seconds()
	total := 0.0
	for _, n := range done {
		total += float64(n)
	}
	values := map[string]float64{
		"claims_per_s": total / took, "millis_per_claim": 1000 * took * float64(size) / total,
		"core_us_per_claim": 1e6 * (cpuSeconds() - cpu) / total,
	}
	if after := g.journalBytes(); after > before {
		values["journal_bytes_per_claim"] = (after - before) / total
	}
	return values, g.stop()
}

// journal measures a voter's files and restart after size changes.
func journal(size int) (map[string]float64, error) {
	dir, err := os.MkdirTemp("", "figseam-slopes-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	folder, err := journaler.OpenDirectory(dir)
	if err != nil {
		return nil, err
	}
	m := publisher.NewStateMachine(publisher.NewStore())
	j, _, err := journaler.Open(folder)
	if err != nil {
		return nil, err
	}
	took, err := fill(j, m, size)
	if err != nil {
		return nil, errors.Join(err, j.Close())
	}
	if err := j.Close(); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := restart(folder); err != nil {
		return nil, err
	}
	values := map[string]float64{
		"millis_per_change": 1000 * took.Seconds() / float64(size), "restart_millis": 1000 * time.Since(began).Seconds(),
	}
	values["disk_bytes"], err = diskBytes(dir)
	return values, err
}

const snapshotEvery = 4096

// fill appends changes one by one, each synced, with snapshots between.
func fill(j *journaler.Journal, m *publisher.StateMachine, size int) (time.Duration, error) {
	began := time.Now()
	for i := 1; i <= size; i++ {
		body, err := cbor.Marshal(publisher.Change{
			ID: fmt.Sprint("change-", i), BaseVersion: uint64(i - 1), Upsert: []publisher.Object{account(i % 43_000)},
		})
		if err != nil {
			return 0, err
		}
		command, err := cbor.Marshal(figseam.Command{Machine: publisher.StateMachineName, Body: body})
		if err != nil {
			return 0, err
		}
		e := journaler.Entry{Index: uint64(i), Term: 1, Kind: 1, Command: command}
		if err := j.Append(0, []journaler.Entry{e}); err != nil {
			return 0, err
		}
		m.Apply(figseam.CommittedCommand{Index: uint64(i), Body: body})
		if i%snapshotEvery != 0 {
			continue
		}
		if err := snapshot(j, m, uint64(i)); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}

func snapshot(j *journaler.Journal, m *publisher.StateMachine, index uint64) error {
	state, err := m.Snapshot()
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(map[string][]byte{publisher.StateMachineName: state})
	if err != nil {
		return err
	}
	group, err := cbor.Marshal(replicator.Membership{})
	if err != nil {
		return err
	}
	return j.SaveSnapshot(journaler.Snapshot{Index: index, Term: 1, Data: data, Membership: group}, nil)
}

// restart opens a replica on the files and waits until it has the state.
func restart(folder *journaler.Directory) error {
	store := publisher.NewStore()
	_, err := replicator.Open(replicator.Settings{Instance: "a", Voters: []figseam.InstanceID{"a"}}, folder, nil,
		[]figseam.StateMachine{publisher.NewStateMachine(store)}, zerolog.Nop())
	return err
}

func diskBytes(dir string) (float64, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	n := 0.0
	for _, f := range files {
		info, err := f.Info()
		if err != nil {
			return 0, err
		}
		n += float64(info.Size())
	}
	return n, nil
}
