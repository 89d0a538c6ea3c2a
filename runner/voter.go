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
	"github.com/figseam/figseam/limiter"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/quarantiner"
	"github.com/figseam/figseam/replicator"
	"github.com/figseam/figseam/throttler"
)

const (
	// leaderListAgeRatio and voterListAgeRatio are the ages of the endpoint list, as
	// fractions of the time for which a draining endpoint may still receive requests, at
	// which the leader or another voter reads the list itself.
	leaderListAgeRatio = 0.25
	voterListAgeRatio  = 0.5
	// snapshotThresholdEntries is the number of log entries after which a snapshot is
	// taken: entries contain whole configurations, which are large, and only the last one
	// is needed.
	snapshotThresholdEntries = 64
	// restartDelayMillis is the delay before a voter that failed is opened again.
	restartDelayMillis = 500
)

// Voter is an instance that stores the configuration in the replicated log and
// distributes it to entries.
type Voter struct {
	*base
	machine     *keeper.Machine
	node        *replicator.Node
	distributor *distributor.Server
	subscriber  *distributor.Subscriber
	store       *keeper.Store
	loads       *aggregator.Store
	// peerSender decides what sendLoad sends to the other voters.
	peerSender *aggregator.PeerSender
	quarantine *quarantiner.Quarantine
	// pauses holds the pauses that engines asked this voter for.
	pauses *throttler.Throttle
	// evidence decides what of it is sent to the other voters.
	evidence *quarantiner.Broadcaster
	seeds    atomic.Pointer[[]figseam.InstanceID]
}

// NewVoter assembles a voter and opens its replicated log. Log lines go to out. It
// returns an error if the data directory or the log cannot be opened.
func NewVoter(settings loader.RelaySettings, out io.Writer) (v *Voter, err error) {
	defer func() { err = eris.Wrap(err, "open voter") }()
	v = &Voter{base: newBase(settings, "voter", out), machine: keeper.NewMachine()}
	v.ReloadSettings(settings)
	directory, err := journaler.OpenDirectory(settings.DataDir)
	if err != nil {
		return nil, err
	}
	peers := logTransport{&peerClient{messenger: v.messenger, resolve: func(id figseam.InstanceID) string { return string(id) }}}
	v.node, err = replicator.Open(replicator.Settings{
		Instance: settings.PeerID(), Voters: settings.SeedIDs(), DynamicMembership: true, InitialMember: settings.Bootstrap, SnapshotThresholdEntries: snapshotThresholdEntries,
	}, directory, peers, []figseam.StateMachine{v.machine}, v.log)
	if err != nil {
		return nil, err
	}
	handleLogMessages(v.messenger, v.node)
	v.store = keeper.NewStore(replicator.NewClient(v.node, peers, v.commandTargets))
	v.openEndpointList(v.maxListAge)
	self := distributor.Voter{Instance: settings.PeerID(), DataCentre: settings.DataCentre}
	v.distributor = distributor.NewServer(self, v.machine, v.list, v.node.HasQuorum, v.voterIDs)
	request := distributor.PollRequest{Instance: self.Instance, DataCentre: self.DataCentre, IsVoter: true}
	v.subscriber = distributor.NewSubscriber(request, v.poll, v.leaderIDs, v.currentState, v.applyReply, v.distributor.Subscribers, v.log)
	messenger.Handle(v.messenger, kindPoll, func(ctx context.Context, _ figseam.InstanceID, r distributor.PollRequest) (distributor.PollReply, error) {
		return v.distributor.Poll(ctx, r), nil
	})
	v.handleLoads()
	v.registerMetrics()
	return v, nil
}

// handleLoads registers the handlers of the messages on load and quarantined prompt parts.
func (v *Voter) handleLoads() {
	v.pauses = throttler.New(v.settings.PeerID(), v.log)
	v.loads = aggregator.New()
	v.peerSender = aggregator.NewPeerSender(v.loads.Epoch())
	v.quarantine = quarantiner.New(v.log)
	v.evidence = quarantiner.NewBroadcaster(v.quarantine)
	messenger.Handle(v.messenger, kindExchangeLoad, func(_ context.Context, _ figseam.InstanceID, r exchangeReport) (exchangeReply, error) {
		return exchangeReply{Sum: v.loads.ExchangeReport(r.Report), Evidence: v.quarantine.Exchange(r.Evidence)}, nil
	})
	handleEvidence(v.messenger, v.quarantine)
	messenger.Handle(v.messenger, kindPeerLoad, func(_ context.Context, _ figseam.InstanceID, r aggregator.Report) (emptyReply, error) {
		v.loads.MergePeer(r)
		return emptyReply{}, nil
	})
	messenger.Handle(v.messenger, kindPeerLoadChanges, func(_ context.Context, _ figseam.InstanceID, r aggregator.Report) (emptyReply, error) {
		v.loads.MergePeerChanges(r)
		return emptyReply{}, nil
	})
}

func (v *Voter) registerMetrics() {
	v.meter.RegisterGauge("figseam_version", "Version of the configuration applied here.", func() float64 {
		d, _ := v.machine.Current()
		return float64(d.Version)
	})
	v.meter.RegisterGauge("figseam_term", "Term of the replicated log.", func() float64 { return float64(v.node.Status().Term) })
	v.meter.RegisterGauge("figseam_leads", "1 where this voter leads.", func() float64 {
		if v.isLeader() {
			return 1
		}
		return 0
	})
	v.meter.RegisterGauge("figseam_voters", "Voters of the replicated log.", func() float64 { return float64(len(v.node.Status().Membership.Voters)) })
	v.meter.RegisterGauge("figseam_followers", "Entries that follow any voter.", func() float64 { return float64(v.distributor.SubscriberCount()) })
	v.meter.RegisterGauge("figseam_journal_bytes", "Length of the journal's open segment.", func() float64 { return float64(v.node.JournalBytes()) })
	v.meter.RegisterGauge("figseam_disk_refuses", "1 while the disk refuses writes.", func() float64 {
		if v.node.DiskError() != nil {
			return 1
		}
		return 0
	})
}

// ReloadSettings applies the settings that may change while the instance runs.
func (v *Voter) ReloadSettings(settings loader.RelaySettings) {
	seeds := settings.SeedIDs()
	v.seeds.Store(&seeds)
	v.log.Info().Strs("seeds", settings.Seeds).Str("data_centre", string(settings.DataCentre)).Msg("settings read")
}

// voterIDs returns the voters of the replicated log.
func (v *Voter) voterIDs() []figseam.InstanceID {
	var ids []figseam.InstanceID
	for _, r := range v.node.Status().Membership.Voters {
		ids = append(ids, r.Instance)
	}
	return ids
}

// commandTargets returns the instances to which commands may be sent: the voters, or the
// seeds as long as no voters are known.
func (v *Voter) commandTargets() []figseam.InstanceID {
	if ids := v.voterIDs(); len(ids) > 0 {
		return ids
	}
	return *v.seeds.Load()
}

// leaderIDs returns the leader, or nil if none is known.
func (v *Voter) leaderIDs() []figseam.InstanceID {
	if l := v.node.Status().Leader.Instance; l != "" {
		return []figseam.InstanceID{l}
	}
	return nil
}

func (v *Voter) isLeader() bool { return v.node.Status().Role == "leader" }

// maxListAge returns the age of the endpoint list at which this voter reads it itself.
func (v *Voter) maxListAge() time.Duration {
	if v.isLeader() {
		return v.fractionOfEndpointDrain(leaderListAgeRatio)
	}
	return v.fractionOfEndpointDrain(voterListAgeRatio)
}

// currentState returns the highest possible version and the digest of the endpoint list
// that this voter has. With that version, the leader's replies contain no configuration:
// this voter receives configurations through the log.
func (v *Voter) currentState() (version, digest uint64) {
	digest, _ = v.list.Digest()
	return 1<<64 - 1, digest
}

// applyReply merges the endpoint list, the voters and the number of subscribers of the leader's
// reply.
func (v *Voter) applyReply(r distributor.PollReply) {
	v.list.Merge(r.List)
	v.distributor.MergeReply(r)
}

// Run serves until ctx is done. A disk that refuses writes does not end it, see
// [replicator.Node.Run]. It returns an error if a listener cannot be opened, or if the state
// of the log cannot be stored or restored.
func (v *Voter) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "run voter") }()
	tasks, stop := context.WithCancel(ctx)
	recorderDone := v.recorder.Run(tasks)
	defer func() {
		stop()
		<-recorderDone
	}()
	listeners, err := listenByAddress(v.settings.OperatorAddress, v.settings.PeerListenAddress(), v.settings.MetricsAddress)
	if err != nil {
		return err
	}
	v.servePeers(listeners, voterPeerShare)
	v.serve("operators", operatorDescriptorShare, listeners[v.settings.OperatorAddress], platform.OperatorHandler(v.store, limiter.NewBudget(v.memoryShare(operatorMemoryShare)), v.log))
	logStopped := v.node.Run(tasks)
	stopped := []<-chan struct{}{v.list.Run(tasks), v.subscriber.Run(tasks), runPeriodically(tasks, v.log, "load exchange", loadExchangeIntervalMillis, v.exchangeWithVoters), runPeriodically(tasks, v.log, "stage changes", stageCheckIntervalMillis, newStageManager(v).changeStages)}
	v.log.Info().Str("operators", v.settings.OperatorAddress).Str("replica", v.node.Self().Identity).Msg("started")
	err = <-logStopped
	v.log.Info().Err(err).Msg("ended")
	stop()
	v.close()
	for _, taskStopped := range stopped {
		<-taskStopped
	}
	return err
}

// exchangeWithVoters sends the other voters what entries reported to this voter.
func (v *Voter) exchangeWithVoters(context.Context) {
	v.sendLoad()
	evidence, whole := v.evidence.Next()
	if whole {
		v.quarantine.EvictExpired()
		v.pauses.EvictExpired()
	}
	if len(evidence) > 0 {
		sendToVoters(v, kindPeerEvidence, evidence)
	}
}

// sendToVoters sends a message to all other voters.
func sendToVoters[T any](v *Voter, kind string, message T) {
	for _, to := range v.voterIDs() {
		if to != v.settings.PeerID() {
			messenger.Send(v.messenger, string(to), kind, message)
		}
	}
}

// sendLoad sends the other voters the sum of the loads that entries report to this voter,
// or its changes.
func (v *Voter) sendLoad() {
	message, changesOnly, send := v.peerSender.Next(v.settings.PeerID(), v.loads.LocalSum())
	if !send {
		return
	}
	kind := kindPeerLoad
	if changesOnly {
		kind = kindPeerLoadChanges
	}
	sendToVoters(v, kind, message)
}

// RunVoterWithRestarts runs a voter until ctx is done or the voter stops without an error.
// If a voter cannot be opened, for example because its disk is full when it first starts, or
// fails, another one is opened on the same disk after restartDelayMillis. Changed settings from
// reloads apply to the voter that runs and to those after it. The returned error is always nil.
func RunVoterWithRestarts(ctx context.Context, settings loader.RelaySettings, reloads <-chan loader.RelaySettings, out io.Writer) error {
	for {
		v, err := NewVoter(settings, out)
		if err == nil {
			settings, err = runWithReloads(ctx, v, settings, reloads)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			return nil
		}
		_, _ = io.WriteString(out, `{"level":"error","message":"voter starts again","error":`+jsonString(err.Error())+"}\n")
		select {
		case <-ctx.Done():
			return nil
		case changed := <-reloads:
			settings = withReload(settings, changed)
		case <-time.After(restartDelayMillis * time.Millisecond):
		}
	}
}

// runWithReloads runs a voter until it ends and passes changed settings to it. It returns the
// settings that apply then.
func runWithReloads(ctx context.Context, v *Voter, settings loader.RelaySettings, reloads <-chan loader.RelaySettings) (loader.RelaySettings, error) {
	ended := make(chan error, 1)
	go func() { ended <- v.Run(ctx) }()
	for {
		select {
		case err := <-ended:
			return settings, err
		case changed := <-reloads:
			settings = withReload(settings, changed)
			v.ReloadSettings(settings)
		}
	}
}

// withReload returns the changed settings for a process that started with the old ones. Whether
// the voter may bootstrap the group is decided at the start of the process.
func withReload(old, changed loader.RelaySettings) loader.RelaySettings {
	changed.Bootstrap = old.Bootstrap
	return changed
}
