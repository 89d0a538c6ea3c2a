package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	"github.com/figseam/figseam/gateway"
	"github.com/figseam/figseam/journaler"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/meter"
	"github.com/figseam/figseam/naiveplacer"
	"github.com/figseam/figseam/publisher"
	"github.com/figseam/figseam/quarantiner"
	"github.com/figseam/figseam/recoverer"
	"github.com/figseam/figseam/replicator"
	"github.com/figseam/figseam/scheduler"
	"github.com/figseam/figseam/watcher"
)

const (
	// headerTimeoutMillis limits the time to read request headers.
	headerTimeoutMillis = 5000
	// idleTimeoutMillis is the time after which an idle incoming connection is closed.
	idleTimeoutMillis = 120_000
	// engineDialTimeoutMillis limits the time to open a connection to an engine.
	engineDialTimeoutMillis = 1000
	// maxIdleConnsPerEngine is the maximum number of idle connections per engine.
	maxIdleConnsPerEngine = 64
	// drainPollMillis is the interval at which a draining instance checks whether it has
	// drained.
	drainPollMillis = 50
	// naiveRetryRatio is high enough that the retry budget never stops a retry of the
	// naive baseline.
	naiveRetryRatio = 10
	// shutdownTimeoutMillis limits the graceful shutdown of the callers' server after a
	// drain.
	shutdownTimeoutMillis = 3000
)

// Options replace parts of an instance. The zero value replaces none and discards log
// lines.
type Options struct {
	// NaivePlacement places jobs by load reports alone. It is the baseline of
	// comparisons.
	NaivePlacement bool
	// LogOutput receives log lines; nil discards them.
	LogOutput io.Writer
	// Disk replaces the data directory of the settings.
	Disk journaler.FileSystem
}

// Instance is a running instance that serves model requests and service calls.
type Instance struct {
	settings     loader.Settings
	log          zerolog.Logger
	meter        *meter.Meter
	members      *detector.MemberList
	quarantine   *quarantiner.Quarantine
	endpoints    *detector.EndpointTracker
	detector     *detector.Detector
	messenger    *messenger.Messenger
	peers        *peerClient
	store        *publisher.Store
	gossiper     *publisher.Gossiper
	node         *replicator.Node
	deduplicator *deduplicator.Deduplicator
	canceller    *canceller.Canceller
	cellHost     *scheduler.CellHost
	router       *scheduler.Router
	naivePlacer  *naiveplacer.Placer
	admitter     *admitter.Admitter
	watcher      *watcher.Watcher
	callers      *gateway.CallerServer
	operators    *gateway.OperatorServer
	servers      []*http.Server
	drainOnce    sync.Once
	draining     chan struct{}
	done         chan error
}

// Start opens the listeners and starts the background tasks. The instance stops when ctx
// is done, when it has drained, or when the state of its log cannot be stored or restored; a
// disk that refuses writes does not stop it. Start returns an error if the log or a listener
// cannot be opened.
func Start(ctx context.Context, settings loader.Settings, options Options) (i *Instance, err error) {
	defer func() { err = eris.Wrapf(err, "start instance %s", settings.Instance) }()
	i = newInstance(settings, options)
	if err := i.openLog(options); err != nil {
		return nil, err
	}
	i.assemble(options)
	listeners, err := listen(settings.CallerAddress, settings.OperatorAddress, settings.PeerAddress, settings.MetricsAddress)
	if err != nil {
		return nil, err
	}
	go i.run(ctx, listeners)
	return i, nil
}

// resolve returns the peer address of an instance. For voters, the address in the
// settings takes precedence over the address in the member list. For an unknown instance
// it returns an address that cannot be reached.
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

// resolveAddress returns the address to dial for a peer address that an instance has
// announced.
func (i *Instance) resolveAddress(address string) string {
	for _, m := range i.members.Members() {
		if m.Address == address {
			return i.resolve(m.ID)
		}
	}
	return address
}

func (i *Instance) voters() []figseam.InstanceID {
	ids := make([]figseam.InstanceID, 0, len(i.settings.Voters))
	for _, v := range i.settings.Voters {
		ids = append(ids, v.Instance)
	}
	return ids
}

// claimHolder returns the ID under which one run of an instance holds claims.
func claimHolder(m figseam.Member) figseam.InstanceID {
	return figseam.InstanceID(fmt.Sprintf("%s#%d", m.ID, m.RunID))
}

// holderEnded reports whether the run of an instance that holds a claim is known to have
// ended. It returns false for an ID that claimHolder did not create.
func (i *Instance) holderEnded(holder figseam.InstanceID) bool {
	at := strings.LastIndexByte(string(holder), '#')
	if at < 0 {
		return false
	}
	run, err := strconv.ParseUint(string(holder[at+1:]), 10, 64)
	return err == nil && i.members.RunEnded(holder[:at], run)
}

// isRemoved reports whether the configuration no longer contains an endpoint. Without a
// configuration it returns false.
func (i *Instance) isRemoved(e figseam.Endpoint) bool {
	config := i.store.Config()
	if config == nil {
		return false
	}
	_, ok := config.Endpoints[e.Name]
	return !ok
}

// enginesToWatch returns a function that lists the engines to watch: those of the cells
// that this instance owns, or all engines for naive placement.
func (i *Instance) enginesToWatch(all bool) func() []figseam.Endpoint {
	return func() []figseam.Endpoint {
		config := i.store.Config()
		if config == nil {
			return nil
		}
		if !all {
			return i.cellHost.OwnedEngines()
		}
		var engines []figseam.Endpoint
		for pool := range config.Pools {
			engines = append(engines, config.PoolEndpoints(pool)...)
		}
		return engines
	}
}

// ObserveLoad implements watcher.Observer.
func (i *Instance) ObserveLoad(e figseam.Endpoint, report figseam.LoadReport) {
	if report.Attempts != nil {
		i.cellHost.Reconcile(e.Name, report)
	}
	i.naivePlacer.UpdateLoad(e.Name, report)
}

// ObserveCache implements watcher.Observer.
func (i *Instance) ObserveCache(e figseam.Endpoint, page figseam.CachePage) {
	i.cellHost.ApplyCacheEvents(e.Name, page)
}

// listen opens TCP listeners on the addresses, in their order. If one fails, it closes
// those that it has opened and returns the error.
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

// run serves until the instance stops. It then closes the servers, the callers' first,
// stops the background tasks, and closes the messenger last.
func (i *Instance) run(ctx context.Context, listeners []net.Listener) {
	tasks, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	peerMux := http.NewServeMux()
	peerMux.Handle(messenger.Path, i.messenger.Handler())
	for n, h := range []http.Handler{i.callers.Handler(), i.operators.Handler(), peerMux, i.meter.Handler()} {
		i.serve(listeners[n], h)
	}
	var logStopped <-chan error
	if i.node != nil {
		logStopped = i.node.Run(tasks)
	}
	evidence := &evidenceGossiper{
		quarantine: i.quarantine, broadcaster: quarantiner.NewBroadcaster(i.quarantine),
		members: i.members, messenger: i.messenger, resolve: i.peers.resolve,
	}
	stopped := []<-chan struct{}{
		i.detector.Run(tasks), i.gossiper.Run(tasks), i.canceller.Run(tasks), i.deduplicator.Run(tasks),
		i.cellHost.Run(tasks), i.router.Run(tasks), i.watcher.Run(tasks),
		runPeriodically(tasks, i.log, "evidence exchange", evidenceIntervalMillis, evidence.send),
	}
	i.log.Info().Str("callers", i.settings.CallerAddress).Str("data_centre", string(i.settings.DataCentre)).Msg("started")
	var err error
	select {
	case <-ctx.Done():
	case <-i.draining:
		i.awaitDrain(ctx)
	case err = <-logStopped:
		logStopped = nil
	}
	i.closeServers()
	stopTasks()
	for _, taskStopped := range stopped {
		<-taskStopped
	}
	if logStopped != nil {
		err = errors.Join(err, <-logStopped)
	}
	i.messenger.Close()
	i.log.Info().Err(err).Msg("ended")
	i.done <- err
}

func (i *Instance) serve(l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           recoverer.Handler(i.log, h),
		ReadHeaderTimeout: headerTimeoutMillis * time.Millisecond,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeoutMillis * time.Millisecond,
	}
	i.servers = append(i.servers, s)
	go func() { _ = s.Serve(l) }()
}

// closeServers closes the servers, the callers' first. After a drain, it shuts the
// callers' server down gracefully, within shutdownTimeoutMillis.
func (i *Instance) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeoutMillis*time.Millisecond)
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

// Drain starts to drain the instance and does not block. The instance announces that it
// is leaving, serves requests until no more arrive, finishes them, and stops.
func (i *Instance) Drain() {
	i.drainOnce.Do(func() {
		i.callers.StartDraining()
		i.members.Leave()
		i.cellHost.RedirectQueues()
		i.log.Info().Msg("leaving")
		close(i.draining)
	})
}

// awaitDrain waits until platformListsDraining returns true, no request has arrived for
// DrainQuietMillis, no request is in flight, and the engines have confirmed all
// cancellations. It returns earlier if ctx is done or DrainTimeoutMillis have passed.
func (i *Instance) awaitDrain(ctx context.Context) {
	deadline := figseam.DeadlineAfterMillis(i.settings.DrainTimeoutMillis)
	startedAt := time.Now()
	quiet := time.Duration(i.settings.DrainQuietMillis) * time.Millisecond
	ticker := time.NewTicker(drainPollMillis * time.Millisecond)
	defer ticker.Stop()
	for !deadline.Passed() {
		listed := i.platformListsDraining()
		if listed && time.Since(startedAt) >= quiet && i.callers.IdleTime() >= quiet && i.callers.ActiveRequests() == 0 && i.canceller.Pending() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// platformListsDraining reports whether the platform's list shows this instance as
// draining or does not contain it. If no platform is configured or no list was received,
// it returns true, and only the quiet time delays the end of the drain.
func (i *Instance) platformListsDraining() bool {
	if i.settings.PlatformURL == "" {
		return true
	}
	for _, l := range i.watcher.PlatformList().Instances {
		if l.Name == i.settings.Instance {
			return l.State == watcher.ListedDraining
		}
	}
	return true
}

// Done returns a channel that receives one value when the instance has stopped: nil, or
// the error of the log.
func (i *Instance) Done() <-chan error { return i.done }
