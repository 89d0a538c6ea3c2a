package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
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
	"github.com/figseam/figseam/replicator"
	"github.com/figseam/figseam/scheduler"
	"github.com/figseam/figseam/watcher"
)

const (
	// headerMillis bounds the reading of a request's headers.
	headerMillis = 5000
	// idleMillis is how long a caller's connection may be idle.
	idleMillis = 120_000
	// connectMillis bounds the opening of a connection to an engine.
	connectMillis = 1000
	// idleConnections is how many idle connections are kept per engine.
	idleConnections = 64
	// drainTickMillis is how often a draining instance looks whether it may end.
	drainTickMillis = 50
	// naiveRetryShare lets the naive baseline make every retry of its routes.
	naiveRetryShare = 10
	// stopMillis bounds the end of tasks after the last request.
	stopMillis = 3000
)

// Options change what an instance is joined from. The zero value is the product.
type Options struct {
	// NaivePlacement places by load reports alone, for comparisons.
	NaivePlacement bool
	// LogOutput is where log lines go; nil discards them.
	LogOutput io.Writer
	// Disk replaces the settings' data folder.
	Disk journaler.FileSystem
}

// Instance is a running instance.
type Instance struct {
	settings  loader.Settings
	log       zerolog.Logger
	meter     *meter.Meter
	members   *detector.MemberList
	endpoints *detector.EndpointTracker
	detector  *detector.Detector
	messenger *messenger.Messenger
	peers     *peers
	store     *publisher.Store
	spreader  *publisher.Gossiper
	node      *replicator.Node
	claims    *deduplicator.Deduplicator
	canceller *canceller.Canceller
	host      *scheduler.CellHost
	router    *scheduler.Router
	guesser   *naiveplacer.Placer
	admitter  *admitter.Admitter
	watcher   *watcher.Watcher
	callers   *gateway.CallerServer
	operators *gateway.OperatorServer
	servers   []*http.Server
	drainOnce sync.Once
	draining  chan struct{}
	ended     chan error
}

// Start opens the addresses and starts every task. The instance ends when ctx
// ends, when it has drained, or when its disk fails.
func Start(ctx context.Context, settings loader.Settings, options Options) (i *Instance, err error) {
	defer func() { err = eris.Wrapf(err, "start instance %s", settings.Instance) }()
	i = newInstance(settings, options)
	if err := i.openLog(options); err != nil {
		return nil, err
	}
	i.join(options)
	listeners, err := listen(settings.CallerAddress, settings.OperatorAddress, settings.PeerAddress, settings.MetricsAddress)
	if err != nil {
		return nil, err
	}
	go i.run(ctx, listeners)
	return i, nil
}

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
		draining: make(chan struct{}), ended: make(chan error, 1),
	}
	i.members = detector.NewMemberList(figseam.Member{
		ID: settings.Instance, DataCentre: settings.DataCentre, Address: settings.PeerAddress,
		Incarnation: uint64(time.Now().Unix()), RunID: rand.Uint64(),
	})
	i.messenger = messenger.New(settings.Instance, nil, i.log)
	i.peers = &peers{m: i.messenger, resolve: i.resolve, route: i.route}
	return i
}

// resolve returns an instance's peer address. What the settings say of a voter
// goes before what other instances say of it.
func (i *Instance) resolve(id figseam.InstanceID) string {
	for _, v := range i.settings.Voters {
		if v.Instance == id {
			return v.Address
		}
	}
	if m, ok := i.members.Find(id); ok && m.Address != "" {
		return m.Address
	}
	return "unknown.invalid:1"
}

// route returns the address to use for an address that an instance gave.
func (i *Instance) route(address string) string {
	for _, m := range i.members.Members() {
		if m.Address == address {
			return i.resolve(m.ID)
		}
	}
	return address
}

func (i *Instance) voters() []figseam.InstanceID {
	names := make([]figseam.InstanceID, 0, len(i.settings.Voters))
	for _, v := range i.settings.Voters {
		names = append(names, v.Instance)
	}
	return names
}

// openLog opens the replicated log if the instance has a disk.
func (i *Instance) openLog(options Options) error {
	disk := options.Disk
	if disk == nil && i.settings.DataDir != "" {
		folder, err := journaler.OpenDirectory(i.settings.DataDir)
		if err != nil {
			return err
		}
		disk = folder
	}
	if disk == nil {
		return nil
	}
	machine := deduplicator.NewStateMachine()
	machines := []figseam.StateMachine{publisher.NewStateMachine(i.store), machine}
	settings := replicator.Settings{Instance: i.settings.Instance, Voters: i.voters()}
	node, err := replicator.Open(settings, disk, transport{i.peers}, machines, i.log)
	if err != nil {
		return err
	}
	i.node = node
	serveLog(i.messenger, node)
	i.meter.RegisterGauge("figseam_claims", "Claims of calls that must not be repeated that the log keeps.", func() float64 { return float64(machine.ClaimCount()) })
	i.meter.RegisterGauge("figseam_journal_bytes", "Length of the journal's segments.", func() float64 { return float64(node.JournalBytes()) })
	return nil
}

// join makes the parts and connects them.
func (i *Instance) join(options Options) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectMillis * time.Millisecond}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
	}}
	dial := dialer.New(client)
	proposer := replicator.NewClient(i.node, transport{i.peers}, i.voters)
	i.canceller = canceller.New(dial, i.gone, i.log)
	i.host = scheduler.NewCellHost(i.members, i.endpoints, i.canceller, i.members.IsDead)
	i.router = scheduler.NewRouter(i.members, i.store.Config, i.host, i.peers)
	i.guesser = naiveplacer.New(i.store.Config, i.endpoints)
	i.store.Subscribe(i.host.Configure)
	i.store.Subscribe(func(c *figseam.Config) { i.members.SetConfigVersion(c.Version) })
	i.spreader = publisher.NewGossiper(i.store, i.members, i.peers)
	i.detector = detector.New(i.members, i.peers, i.settings.Seeds, i.log)
	i.admitter = admitter.New(i.members, i.store.Config, i.peers)
	i.claims = deduplicator.New(holderName(i.members.Self()), proposer, i.holderLost)
	i.watcher = watcher.New(client, i.settings.PlatformURL, i.endpoints, dial, i.watched(options.NaivePlacement), i, i.log)
	var placer figseam.Placer = i.router
	budget := executor.NewRetryBudget(executor.RetryRatio)
	if options.NaivePlacement {
		placer, budget = i.guesser, executor.NewRetryBudget(naiveRetryShare)
	}
	x := executor.New(placer, dial, i.canceller, i.store.Config, budget, i.meter, i.log)
	f := forwarder.New(i.settings.DataCentre, i.store.Config, i.endpoints, i.claims, i.log)
	i.callers = gateway.NewCallerServer(x, f, i.admitter, i.meter, i.store.Config, i.settings.MaxBodyBytes, i.log)
	i.operators = gateway.NewOperatorServer(i.store, publisher.New(i.store, proposer), i, i.meter.Handler())
	serveCells(i.messenger, i.host)
	serveSpread(i.messenger, i.spreader, i.store, i.detector, i.admitter)
	messenger.Handle(i.messenger, kindSpread, func(ctx context.Context, _ figseam.InstanceID, r spreadRequest) (spreadReply, error) {
		if r.Local {
			return spreadLocal(ctx, i.peers, i.members), nil
		}
		self := i.members.Self()
		return spreadReply{Versions: []gateway.InstanceVersion{{Instance: self.ID, Version: self.ConfigVersion}}}, nil
	})
	i.addGauges()
}

// holderName names one run of an instance as the holder of claims.
func holderName(m figseam.Member) figseam.InstanceID {
	return figseam.InstanceID(fmt.Sprintf("%s#%d", m.ID, m.RunID))
}

// holderLost reports whether the run that made a claim is known to be over.
func (i *Instance) holderLost(holder figseam.InstanceID) bool {
	at := strings.LastIndexByte(string(holder), '#')
	if at < 0 {
		return false
	}
	run, err := strconv.ParseUint(string(holder[at+1:]), 10, 64)
	return err == nil && i.members.RunEnded(holder[:at], run)
}

// gone reports whether no configuration names the endpoint any more.
func (i *Instance) gone(e figseam.Endpoint) bool {
	config := i.store.Config()
	if config == nil {
		return false
	}
	_, ok := config.Endpoints[e.Name]
	return !ok
}

// watched returns the function that lists the engines to watch: those of the
// cells that this instance owns, or all when it places by their reports alone.
func (i *Instance) watched(all bool) func() []figseam.Endpoint {
	return func() []figseam.Endpoint {
		config := i.store.Config()
		if config == nil {
			return nil
		}
		if !all {
			return i.host.OwnedEngines()
		}
		var found []figseam.Endpoint
		for pool := range config.Pools {
			found = append(found, config.PoolEndpoints(pool)...)
		}
		return found
	}
}

// ObserveLoad implements watcher.Observer.
func (i *Instance) ObserveLoad(e figseam.Endpoint, report figseam.LoadReport) {
	if report.Attempts != nil {
		i.host.Reconcile(e.Name, report)
	}
	i.guesser.UpdateLoad(e.Name, report)
}

// ObserveCache implements watcher.Observer.
func (i *Instance) ObserveCache(e figseam.Endpoint, page figseam.CachePage) {
	i.host.ApplyCacheEvents(e.Name, page)
}

func listen(addresses ...string) (listeners []net.Listener, err error) {
	defer func() {
		if err != nil {
			for _, l := range listeners {
				_ = l.Close()
			}
		}
	}()
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return listeners, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// run works until the instance ends, then ends the tasks: first the callers'
// side, then what serves it, and the messages last.
func (i *Instance) run(ctx context.Context, listeners []net.Listener) {
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	peerMux := http.NewServeMux()
	peerMux.Handle(messenger.Path, i.messenger.Handler())
	for n, h := range []http.Handler{i.callers.Handler(), i.operators.Handler(), peerMux, i.meter.Handler()} {
		i.serve(listeners[n], h)
	}
	var logEnded <-chan error
	if i.node != nil {
		logEnded = i.node.Run(tasks)
	}
	ends := []<-chan struct{}{
		i.detector.Run(tasks), i.spreader.Run(tasks), i.canceller.Run(tasks), i.claims.Run(tasks),
		i.host.Run(tasks), i.router.Run(tasks), i.watcher.Run(tasks),
	}
	i.log.Info().Str("callers", i.settings.CallerAddress).Str("data_centre", string(i.settings.DataCentre)).Msg("started")
	var err error
	select {
	case <-ctx.Done():
	case <-i.draining:
		i.drain(ctx)
	case err = <-logEnded:
		logEnded = nil
	}
	i.shutDown()
	stopTasks()
	for _, e := range ends {
		<-e
	}
	if logEnded != nil {
		err = errors.Join(err, <-logEnded)
	}
	i.messenger.Close()
	i.log.Info().Err(err).Msg("ended")
	i.ended <- err
}

func (i *Instance) serve(l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerMillis * time.Millisecond,
		IdleTimeout:       idleMillis * time.Millisecond,
	}
	i.servers = append(i.servers, s)
	go func() { _ = s.Serve(l) }()
}

// shutDown closes the servers, the callers' first.
func (i *Instance) shutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), stopMillis*time.Millisecond)
	defer cancel()
	if i.isDraining() {
		_ = i.servers[0].Shutdown(ctx)
	}
	for _, s := range i.servers {
		_ = s.Close()
	}
}

func (i *Instance) isDraining() bool {
	select {
	case <-i.draining:
		return true
	default:
		return false
	}
}

// Drain makes the instance leave: it says so at once, goes on serving until no
// more requests come, finishes them, and ends. It does not block.
func (i *Instance) Drain() {
	i.drainOnce.Do(func() {
		i.callers.StartDraining()
		i.members.Leave()
		i.host.Drain()
		i.log.Info().Msg("leaving")
		close(i.draining)
	})
}

// drain waits until the platform knows and no request came for the quiet time,
// then until all requests are done and their cancels are confirmed.
func (i *Instance) drain(ctx context.Context) {
	limit := figseam.DeadlineAfterMillis(i.settings.DrainTimeoutMillis)
	began := time.Now()
	quiet := time.Duration(i.settings.DrainQuietMillis) * time.Millisecond
	ticker := time.NewTicker(drainTickMillis * time.Millisecond)
	defer ticker.Stop()
	for !limit.Passed() {
		known := i.platformKnows()
		if known && time.Since(began) >= quiet && i.callers.IdleTime() >= quiet && i.callers.ActiveRequests() == 0 && i.canceller.Pending() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// platformKnows reports whether the platform's list shows this instance as
// leaving or not at all. Without a list the quiet time has to do.
func (i *Instance) platformKnows() bool {
	if i.settings.PlatformURL == "" {
		return true
	}
	for _, l := range i.watcher.PlatformList().Instances {
		if l.Name == i.settings.Instance {
			return l.State == watcher.ListedLeaving
		}
	}
	return true
}

// Done yields the reason of the end once the instance has ended: nil or the
// disk's error.
func (i *Instance) Done() <-chan error { return i.ended }
