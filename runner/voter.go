package runner

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/aggregator"
	"github.com/figseam/figseam/distributor"
	"github.com/figseam/figseam/journaler"
	"github.com/figseam/figseam/keeper"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/replicator"
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
	hub      *distributor.Server
	follower *distributor.Subscriber
	handler  *keeper.Store
	sums     *aggregator.Store
	// shared tells that the last sum that was told was not empty.
	shared bool
	seeds  atomic.Pointer[[]figseam.InstanceID]
}

// NewVoter joins the parts of a voter and reads its disk.
func NewVoter(settings loader.RelaySettings, out io.Writer) (v *Voter, err error) {
	defer func() { err = eris.Wrap(err, "open voter") }()
	v = &Voter{base: newBase(settings, "voter", out), machine: keeper.NewMachine()}
	v.ReloadSettings(settings)
	folder, err := journaler.OpenDirectory(settings.DataDir)
	if err != nil {
		return nil, err
	}
	peers := transport{&peers{m: v.messenger, resolve: func(id figseam.InstanceID) string { return string(id) }}}
	v.node, err = replicator.Open(replicator.Settings{
		Instance: settings.PeerID(), Voters: settings.SeedIDs(), DynamicMembership: true, InitialMember: settings.Bootstrap, SnapshotThresholdEntries: documentEntries,
	}, folder, peers, []figseam.StateMachine{v.machine}, v.log)
	if err != nil {
		return nil, err
	}
	serveLog(v.messenger, v.node)
	v.handler = keeper.NewStore(replicator.NewClient(v.node, peers, v.voters))
	v.readList(v.wanted)
	self := distributor.Voter{Instance: settings.PeerID(), DataCentre: settings.DataCentre}
	v.hub = distributor.NewServer(self, v.machine, v.list, v.node.HasQuorum, v.members)
	request := distributor.PollRequest{Instance: self.Instance, DataCentre: self.DataCentre, IsVoter: true}
	v.follower = distributor.NewSubscriber(request, v.follow, v.leader, v.has, v.take, v.hub.Subscribers, v.log)
	messenger.Handle(v.messenger, kindFollow, func(ctx context.Context, _ figseam.InstanceID, r distributor.PollRequest) (distributor.PollReply, error) {
		return v.hub.Poll(ctx, r), nil
	})
	v.sums = aggregator.New()
	messenger.Handle(v.messenger, kindShare, func(_ context.Context, _ figseam.InstanceID, r aggregator.Report) (aggregator.Load, error) {
		return v.sums.ExchangeReport(r), nil
	})
	messenger.Handle(v.messenger, kindSum, func(_ context.Context, _ figseam.InstanceID, r aggregator.Report) (nothing, error) {
		v.sums.MergePeer(r)
		return nothing{}, nil
	})
	v.addGauges()
	return v, nil
}

func (v *Voter) addGauges() {
	v.meter.RegisterGauge("figseam_version", "Version of the configuration applied here.", func() float64 {
		d, _ := v.machine.Current()
		return float64(d.Version)
	})
	v.meter.RegisterGauge("figseam_term", "Term of the replicated log.", func() float64 { return float64(v.node.Status().Term) })
	v.meter.RegisterGauge("figseam_leads", "1 where this voter leads.", func() float64 {
		if v.leads() {
			return 1
		}
		return 0
	})
	v.meter.RegisterGauge("figseam_voters", "Voters of the replicated log.", func() float64 { return float64(len(v.node.Status().Membership.Voters)) })
	v.meter.RegisterGauge("figseam_followers", "Entries that follow any voter.", func() float64 { return float64(v.hub.SubscriberCount()) })
	v.meter.RegisterGauge("figseam_journal_bytes", "Length of the journal's segments.", func() float64 { return float64(v.node.JournalBytes()) })
}

// ReloadSettings takes over settings that may change while the instance runs.
func (v *Voter) ReloadSettings(settings loader.RelaySettings) {
	seeds := settings.SeedIDs()
	v.seeds.Store(&seeds)
	v.log.Info().Strs("seeds", settings.Seeds).Str("data_centre", string(settings.DataCentre)).Msg("settings read")
}

// members returns the voters of the group.
func (v *Voter) members() []figseam.InstanceID {
	var all []figseam.InstanceID
	for _, r := range v.node.Status().Membership.Voters {
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

func (v *Voter) take(r distributor.PollReply) {
	v.list.Merge(r.List)
	v.hub.MergeVoters(r.Voters)
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
	listeners, err := listenAll(v.settings.OperatorAddress, v.settings.PeerListenAddress(), v.settings.MetricsAddress)
	if err != nil {
		return err
	}
	v.servePeers(listeners)
	v.serve(listeners[v.settings.OperatorAddress], platform.OperatorHandler(v.handler, v.log))
	logEnded := v.node.Run(tasks)
	ends := []<-chan struct{}{v.list.Run(tasks), v.follower.Run(tasks), every(tasks, shareMillis, v.share), every(tasks, stageMillis, newStewardship(v).look)}
	v.log.Info().Str("operators", v.settings.OperatorAddress).Str("replica", v.node.Self().Identity).Msg("started")
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
	load := v.sums.LocalSum()
	if load.Empty() && !v.shared {
		return
	}
	v.shared = !load.Empty()
	report := aggregator.Report{Instance: v.settings.PeerID(), Load: load}
	for _, to := range v.members() {
		if to != v.settings.PeerID() {
			messenger.Send(v.messenger, string(to), kindSum, report)
		}
	}
}

// RunVoterWithRestarts runs a voter, and another one on the same disk after the disk failed.
func RunVoterWithRestarts(ctx context.Context, settings loader.RelaySettings, out io.Writer, started func(*Voter)) error {
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
