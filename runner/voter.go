package runner

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/distributor"
	"github.com/figseam/figseam/journaler"
	"github.com/figseam/figseam/keeper"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/replicator"
	"github.com/figseam/figseam/sharer"
)

const (
	// leaderListPart and voterListPart of the time of an endpoint's drain are how
	// old the list may be before the leader, or another voter, reads it.
	leaderListPart = 0.25
	voterListPart  = 0.5
	// documentEntries is after how many entries a snapshot is taken: documents are
	// large, and only the last one counts.
	documentEntries = 64
	// restartMillis is the pause before a voter whose disk failed tries again.
	restartMillis = 500
)

// Voter is an instance that keeps the configuration.
type Voter struct {
	*base
	machine  *keeper.Machine
	node     *replicator.Node
	hub      *distributor.Hub
	follower *distributor.Follower
	handler  *keeper.Keeper
	sums     *sharer.Sums
	// shared tells that the last sum that was told was not empty.
	shared bool
	seeds  atomic.Pointer[[]figseam.InstanceID]
}

// NewVoter joins the parts of a voter and reads its disk.
func NewVoter(settings loader.RelaySettings, out io.Writer) (v *Voter, err error) {
	defer func() { err = eris.Wrap(err, "open voter") }()
	v = &Voter{base: newBase(settings, "voter", out), machine: keeper.NewMachine()}
	v.Reload(settings)
	folder, err := journaler.OpenFolder(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	peers := transport{&peers{m: v.messenger, resolve: func(id figseam.InstanceID) string { return string(id) }}}
	v.node, err = replicator.Open(replicator.Settings{
		Instance: settings.Self(), Voters: settings.Voters(), Open: true, FirstStart: settings.FirstStart, SnapshotEntries: documentEntries,
	}, folder, peers, []figseam.StateMachine{v.machine}, v.log)
	if err != nil {
		return nil, err
	}
	serveLog(v.messenger, v.node)
	v.handler = keeper.New(replicator.NewClient(v.node, peers, v.voters))
	v.readList(v.wanted)
	self := distributor.Keeper{Instance: settings.Self(), DataCentre: settings.DataCentre}
	v.hub = distributor.NewHub(self, v.machine, v.list, v.node.InQuorum, v.members)
	request := distributor.Request{Instance: self.Instance, DataCentre: self.DataCentre, Keeps: true}
	v.follower = distributor.NewFollower(request, v.follow, v.leader, v.has, v.take, v.hub.Followers, v.log)
	messenger.Handle(v.messenger, kindFollow, func(ctx context.Context, _ figseam.InstanceID, r distributor.Request) (distributor.Reply, error) {
		return v.hub.Follow(ctx, r), nil
	})
	v.sums = sharer.New()
	messenger.Handle(v.messenger, kindShare, func(_ context.Context, _ figseam.InstanceID, r sharer.Report) (sharer.Load, error) {
		return v.sums.Exchange(r), nil
	})
	messenger.Handle(v.messenger, kindSum, func(_ context.Context, _ figseam.InstanceID, r sharer.Report) (nothing, error) {
		v.sums.Merge(r)
		return nothing{}, nil
	})
	v.addGauges()
	return v, nil
}

func (v *Voter) addGauges() {
	v.meter.Gauge("figseam_version", "Version of the configuration applied here.", func() float64 {
		d, _ := v.machine.Current()
		return float64(d.Version)
	})
	v.meter.Gauge("figseam_term", "Term of the replicated log.", func() float64 { return float64(v.node.Status().Term) })
	v.meter.Gauge("figseam_leads", "1 where this voter leads.", func() float64 {
		if v.leads() {
			return 1
		}
		return 0
	})
	v.meter.Gauge("figseam_voters", "Voters of the replicated log.", func() float64 { return float64(len(v.node.Status().Group.Voters)) })
	v.meter.Gauge("figseam_followers", "Entries that follow any voter.", func() float64 { return float64(v.hub.Count()) })
	v.meter.Gauge("figseam_journal_bytes", "Length of the journal's segments.", func() float64 { return float64(v.node.JournalBytes()) })
}

// Reload takes over settings that may change while the instance runs.
func (v *Voter) Reload(settings loader.RelaySettings) {
	seeds := settings.Voters()
	v.seeds.Store(&seeds)
	v.log.Info().Strs("seeds", settings.Seeds).Str("data_centre", string(settings.DataCentre)).Msg("settings read")
}

// members returns the voters of the group.
func (v *Voter) members() []figseam.InstanceID {
	var all []figseam.InstanceID
	for _, r := range v.node.Status().Group.Voters {
		all = append(all, r.Instance)
	}
	return all
}

// voters returns the instances to which commands may be sent.
func (v *Voter) voters() []figseam.InstanceID {
	if all := v.members(); len(all) > 0 {
		return all
	}
	return *v.seeds.Load()
}

func (v *Voter) leader() []figseam.InstanceID {
	if l := v.node.Status().Leader.Instance; l != "" {
		return []figseam.InstanceID{l}
	}
	return nil
}

func (v *Voter) leads() bool { return v.node.Status().Role == "leader" }

// wanted returns the age at which this voter reads the list itself.
func (v *Voter) wanted() time.Duration {
	if v.leads() {
		return v.ageOfDrain(leaderListPart)
	}
	return v.ageOfDrain(voterListPart)
}

// has says that the follower of the leader wants no documents: they come by the
// log.
func (v *Voter) has() (version, digest uint64) {
	digest, _ = v.list.Digest()
	return 1<<64 - 1, digest
}

func (v *Voter) take(r distributor.Reply) {
	v.list.Merge(r.List)
	v.hub.Merge(r.Keepers)
}

// Run serves until ctx ends or the disk fails.
func (v *Voter) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "run voter") }()
	tasks, stop := context.WithCancel(ctx)
	recorded := v.recorder.Run(tasks)
	defer func() {
		stop()
		<-recorded
	}()
	listeners, err := listenAll(v.settings.Operators, v.settings.PeersAt(), v.settings.Metrics)
	if err != nil {
		return err
	}
	v.servePeers(listeners)
	v.serve(listeners[v.settings.Operators], platform.Operators(v.handler, v.log))
	logEnded := v.node.Run(tasks)
	ends := []<-chan struct{}{v.list.Run(tasks), v.follower.Run(tasks), every(tasks, shareMillis, v.share), every(tasks, stageMillis, newStewardship(v).look)}
	v.log.Info().Str("operators", v.settings.Operators).Str("replica", v.node.Self().Identity).Msg("started")
	err = <-logEnded
	v.log.Info().Err(err).Msg("ended")
	stop()
	v.close()
	for _, end := range ends {
		<-end
	}
	return err
}

// share tells the other voters what the entries that report here have under way.
func (v *Voter) share(context.Context) {
	load := v.sums.Local()
	if load.Empty() && !v.shared {
		return
	}
	v.shared = !load.Empty()
	report := sharer.Report{Instance: v.settings.Self(), Load: load}
	for _, to := range v.members() {
		if to != v.settings.Self() {
			messenger.Send(v.messenger, string(to), kindSum, report)
		}
	}
}

// RunVoter runs a voter, and another one on the same disk after the disk failed.
func RunVoter(ctx context.Context, settings loader.RelaySettings, out io.Writer, started func(*Voter)) error {
	for {
		v, err := NewVoter(settings, out)
		if err == nil {
			started(v)
			err = v.Run(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			return nil
		}
		_, _ = io.WriteString(out, `{"level":"error","message":"voter starts again","error":`+quoted(err.Error())+"}\n")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartMillis * time.Millisecond):
		}
	}
}
