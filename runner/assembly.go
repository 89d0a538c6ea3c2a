package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/admitter"
	"github.com/figseam/figseam/canceller"
	"github.com/figseam/figseam/deduplicator"
	"github.com/figseam/figseam/detector"
	"github.com/figseam/figseam/dialer"
	"github.com/figseam/figseam/executor"
	"github.com/figseam/figseam/forwarder"
	"github.com/figseam/figseam/gateway"
	"github.com/figseam/figseam/journaler"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/meter"
	"github.com/figseam/figseam/naiveplacer"
	"github.com/figseam/figseam/publisher"
	"github.com/figseam/figseam/quarantiner"
	"github.com/figseam/figseam/replicator"
	"github.com/figseam/figseam/scheduler"
	"github.com/figseam/figseam/watcher"
)

func newInstance(settings loader.Settings, options Options) *Instance {
	settings = settings.WithDefaults()
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	out := options.LogOutput
	if out == nil {
		out = io.Discard
	}
	i := &Instance{
		settings: settings, meter: meter.New(), endpoints: detector.NewEndpointTracker(), store: publisher.NewStore(),
		log:      zerolog.New(out).Level(level).With().Timestamp().Str("instance", string(settings.Instance)).Logger(),
		draining: make(chan struct{}), done: make(chan error, 1),
	}
	i.members = detector.NewMemberList(figseam.Member{
		ID: settings.Instance, DataCentre: settings.DataCentre, Address: settings.PeerAddress,
		Incarnation: uint64(time.Now().Unix()), RunID: rand.Uint64(),
	})
	i.messenger = messenger.New(settings.Instance, nil, i.log)
	i.peers = &peerClient{messenger: i.messenger, resolve: i.resolve, resolveAddress: i.resolveAddress}
	return i
}

// openLog opens the replicated log if the instance has a disk. Without one, the
// instance hosts no replica and sends commands to the voters.
func (i *Instance) openLog(options Options) error {
	disk := options.Disk
	if disk == nil && i.settings.DataDir != "" {
		directory, err := journaler.OpenDirectory(i.settings.DataDir)
		if err != nil {
			return err
		}
		disk = directory
	}
	if disk == nil {
		return nil
	}
	claims := deduplicator.NewStateMachine()
	machines := []figseam.StateMachine{publisher.NewStateMachine(i.store), claims}
	settings := replicator.Settings{Instance: i.settings.Instance, Voters: i.voters()}
	node, err := replicator.Open(settings, disk, logTransport{i.peers}, machines, i.log)
	if err != nil {
		return err
	}
	i.node = node
	handleLogMessages(i.messenger, node)
	i.meter.RegisterGauge("figseam_claims", "Claims of calls that must not be repeated that the log keeps.", func() float64 { return float64(claims.ClaimCount()) })
	i.meter.RegisterGauge("figseam_journal_bytes", "Length of the journal's segments.", func() float64 { return float64(node.JournalBytes()) })
	return nil
}

// assemble creates the components of the instance, connects them and registers the
// handlers of messages from other instances.
func (i *Instance) assemble(options Options) {
	client := newModelEngineClient()
	engineDialer := dialer.New(client)
	i.quarantine = quarantiner.New(i.log)
	proposer := replicator.NewClient(i.node, logTransport{i.peers}, i.voters)
	i.canceller = canceller.New(engineDialer, i.isRemoved, i.log)
	i.cellHost = scheduler.NewCellHost(i.members, i.endpoints, i.canceller, i.members.IsDead)
	i.router = scheduler.NewRouter(i.members, i.store.Config, i.cellHost, i.peers)
	i.naivePlacer = naiveplacer.New(i.store.Config, i.endpoints)
	i.store.Subscribe(i.cellHost.Configure)
	i.store.Subscribe(func(c *figseam.Config) { i.members.SetConfigVersion(c.Version) })
	i.gossiper = publisher.NewGossiper(i.store, i.members, i.peers)
	i.detector = detector.New(i.members, i.peers, i.settings.Seeds, i.log)
	i.admitter = admitter.New(i.members, i.store.Config, i.peers)
	i.deduplicator = deduplicator.New(claimHolder(i.members.Self()), proposer, i.holderEnded)
	i.watcher = watcher.New(client, i.settings.PlatformURL, i.endpoints, engineDialer, i.enginesToWatch(options.NaivePlacement), i, i.log)
	var placer figseam.Placer = i.router
	budget := executor.NewRetryBudget(executor.RetryRatio)
	if options.NaivePlacement {
		placer, budget = i.naivePlacer, executor.NewRetryBudget(naiveRetryRatio)
	}
	modelExecutor := executor.New(placer, engineDialer, i.canceller, i.store.Config, budget, i.meter, i.quarantine, i.log)
	serviceForwarder := forwarder.New(i.settings.DataCentre, i.store.Config, i.endpoints, i.deduplicator, i.log)
	i.callers = gateway.NewCallerServer(modelExecutor, serviceForwarder, i.admitter, i.meter, i.store.Config, i.settings.MaxBodyBytes, i.log)
	i.operators = gateway.NewOperatorServer(i.store, publisher.New(i.store, proposer), i, i.meter.Handler())
	handleCellMessages(i.messenger, i.cellHost)
	handleInstanceMessages(i.messenger, i.gossiper, i.store, i.detector, i.admitter)
	handleEvidence(i.messenger, i.quarantine)
	messenger.Handle(i.messenger, kindVersions, func(ctx context.Context, _ figseam.InstanceID, r versionsRequest) (versionsReply, error) {
		if r.WholeDataCentre {
			return collectLocalVersions(ctx, i.peers, i.members), nil
		}
		self := i.members.Self()
		return versionsReply{Versions: []gateway.InstanceVersion{{Instance: self.ID, Version: self.ConfigVersion}}}, nil
	})
	i.registerMetrics()
}
