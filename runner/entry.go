package runner

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/admitter"
	"github.com/figseam/figseam/aggregator"
	"github.com/figseam/figseam/budgeter"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/distributor"
	"github.com/figseam/figseam/keeper"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/quarantiner"
	"github.com/figseam/figseam/relayer"
	"github.com/figseam/figseam/selector"
	"github.com/figseam/figseam/throttler"
)

const (
	// entryListAgeRatio is the age of the endpoint list, as a fraction of the time for
	// which a draining endpoint may still receive requests, at which an entry reads the
	// list itself. It is greater than the voters' ratios, so that an entry usually
	// receives the list from a voter.
	entryListAgeRatio = 0.65
	// loadExchangeIntervalMillis is the interval between two exchanges of load reports.
	// loadExchangeTimeoutMillis is the timeout of one exchange.
	loadExchangeIntervalMillis = 50
	loadExchangeTimeoutMillis  = 400
	// cleanupIntervalMillis is the interval between two calls of cleanUp.
	cleanupIntervalMillis = 1000
	// drainAcceptMillis is the time for which a draining entry still accepts connections:
	// the platform needs two readiness probes, 1 s apart, to detect the drain.
	drainAcceptMillis = 2600
	// drainGraceRatio is the fraction of the grace period after which a draining entry
	// ends the requests that are still in flight. Their answers are written within
	// finalAnswersMillis.
	drainGraceRatio    = 0.93
	finalAnswersMillis = 250
)

// EntryInstance is an instance that relays callers' requests to endpoints.
type EntryInstance struct {
	*base
	relayer    *relayer.Relayer
	subscriber *distributor.Subscriber
	budget     *budgeter.Budget
	connector  *connector.Connector
	tracker    *selector.Tracker
	quarantine *quarantiner.Quarantine
	throttle   *throttler.Throttle
	quotas     *admitter.Quotas
	// evidence exchanges evidence with a voter. It is used by exchangeLoad only.
	evidence *quarantiner.Session
	// lastSum is the state of the sums that this entry received last. It is used by
	// exchangeLoad only.
	lastSum sumRevision
	// reports remembers what was reported to which voter. It is used by exchangeLoad only.
	reports aggregator.ReportLog
	// callerConns tracks the callers' connections.
	callerConns busyConns
	draining    atomic.Bool
	seeds       atomic.Pointer[[]figseam.InstanceID]
}

// NewEntryInstance assembles an entry. Log lines go to out.
func NewEntryInstance(settings loader.RelaySettings, out io.Writer) *EntryInstance {
	e := &EntryInstance{base: newBase(settings, "entry", out), tracker: selector.NewTracker()}
	e.connector = e.newConnector()
	e.openEndpointList(func() time.Duration { return e.fractionOfEndpointDrain(entryListAgeRatio) })
	e.budget = budgeter.New(budgeter.Settings{
		RetryRatio: settings.RetryRatio, RetryAllowance: settings.RetryAllowance, WindowMillis: int64(settings.RetryWindowSeconds * 1000),
	})
	e.quarantine = quarantiner.New(e.log)
	e.evidence = quarantiner.NewSession(e.quarantine)
	e.throttle = throttler.New(settings.PeerID(), e.log)
	e.quotas = admitter.NewQuotas(admitter.Tolerance{
		WindowSeconds: settings.QuotaWindowSeconds, Share: settings.QuotaTolerance, Amount: settings.QuotaAllowance,
	}, e.log)
	e.relayer = relayer.New(relayer.Settings{
		Codec: platform.WireCodec{}, Connector: e.connector, EndpointList: e.list, Tracker: e.tracker, Budget: e.budget, Quarantine: e.quarantine, Throttle: e.throttle, Quotas: e.quotas,
		BodyMemoryBytes: e.memoryShare(bodyMemoryShare),
		DataCentre:      settings.DataCentre, Meter: e.meter, Log: e.log,
	})
	e.ReloadSettings(settings)
	self := distributor.PollRequest{Instance: settings.PeerID(), DataCentre: settings.DataCentre}
	e.subscriber = distributor.NewSubscriber(self, e.poll, func() []figseam.InstanceID { return *e.seeds.Load() }, e.currentState, e.applyReply, nil, e.log)
	e.meter.RegisterGauge("figseam_version", "Version of the configuration in force.", func() float64 { return float64(e.relayer.TableVersion()) })
	e.meter.RegisterGauge("figseam_list_age_seconds", "Age of the list of endpoints.", func() float64 { return e.list.Age().Seconds() })
	e.meter.RegisterGauge("figseam_requests_active", "Requests under way.", func() float64 { return float64(e.relayer.ActiveRequests()) })
	e.meter.RegisterGauge("figseam_quarantined_parts", "Prompt parts that are quarantined because engines crash on them.", func() float64 { return float64(e.quarantine.Len()) })
	e.meter.RegisterGauge("figseam_limited_endpoints", "Endpoints that name a limit on the requests that they take.", func() float64 { return float64(e.throttle.Len()) })
	e.meter.RegisterGauge("figseam_paused_endpoints", "Endpoints that asked this instance for a pause.", func() float64 { return float64(e.throttle.PausedCount()) })
	e.meter.RegisterGauge("figseam_exhausted_accounts", "Client accounts whose last request at this instance was refused since their quota is used up.", func() float64 { return float64(e.quotas.Exhausted()) })
	e.meter.RegisterGauge("figseam_leaving_endpoints", "Listed endpoints that said that they leave.", func() float64 { return float64(e.list.LeavingCount()) })
	return e
}

// ReloadSettings applies the settings that may change while the instance runs.
func (e *EntryInstance) ReloadSettings(settings loader.RelaySettings) {
	seeds := settings.SeedIDs()
	e.seeds.Store(&seeds)
	e.log.Info().Strs("seeds", settings.Seeds).Str("data_centre", string(settings.DataCentre)).Msg("settings read")
}

// currentState returns the version of the configuration and the digest of the endpoint
// list that this entry has, so that voters send only what is newer.
func (e *EntryInstance) currentState() (version, digest uint64) {
	digest, _ = e.list.Digest()
	return e.relayer.TableVersion(), digest
}

// applyReply applies the configuration and the endpoint list of a voter's reply. It
// logs a configuration that cannot be decoded and keeps the one in force.
func (e *EntryInstance) applyReply(r distributor.PollReply) {
	e.list.Merge(r.List)
	e.budget.SetInstances(r.SubscriberCount)
	e.throttle.SetInstances(r.SubscriberCount)
	e.quotas.SetInstances(r.SubscriberCount)
	if r.Document.Version <= e.relayer.TableVersion() {
		return
	}
	text, err := keeper.Decompress(r.Document.Compressed)
	if err != nil {
		e.log.Error().Err(err).Uint64("version", r.Document.Version).Msg("cannot decompress configuration")
		return
	}
	table, err := platform.DecodeStoredConfig(text)
	if err != nil {
		e.log.Error().Err(err).Uint64("version", r.Document.Version).Msg("cannot decode configuration")
		return
	}
	e.relayer.SetTable(table)
	e.log.Info().Uint64("version", table.Version).Int("routes", len(table.Routes)).Msg("configuration in force")
}

func (e *EntryInstance) ready() bool {
	return !e.draining.Load() && e.relayer.TableVersion() > 0 && e.list.Loaded()
}

// Run serves until ctx is done, then drains: it fails its readiness check, still accepts
// connections until the platform has detected that, and finishes the requests in flight.
// It returns an error if a listener cannot be opened.
func (e *EntryInstance) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "run entry") }()
	tasks, stop := context.WithCancel(context.WithoutCancel(ctx))
	recorderDone := e.recorder.Run(tasks)
	defer func() {
		stop()
		<-recorderDone
	}()
	listeners, err := listenByAddress(e.settings.CallerAddress, e.settings.ReadinessAddress, e.settings.PeerListenAddress(), e.settings.MetricsAddress)
	if err != nil {
		return err
	}
	e.servePeers(listeners, entryPeerShare)
	e.serve("readiness", probeDescriptorShare, listeners[e.settings.ReadinessAddress], platform.ReadinessHandler(e.ready))
	callerListener, err := newClosingListener(listeners[e.settings.CallerAddress])
	if err != nil {
		return err
	}
	callers := e.newServer(e.newConnections("callers", callerDescriptorShare), e.relayer, e.callerConns.observe)
	e.start(callers, callerListener)
	stopped := []<-chan struct{}{e.list.Run(tasks), e.subscriber.Run(tasks), runPeriodically(tasks, e.log, "load exchange", loadExchangeIntervalMillis, e.exchangeLoad), runPeriodically(tasks, e.log, "clean-up", cleanupIntervalMillis, e.cleanUp)}
	e.log.Info().Str("callers", e.settings.CallerAddress).Msg("started")
	<-ctx.Done()
	e.draining.Store(true)
	e.log.Info().Int64("active", e.relayer.ActiveRequests()).Msg("leaving")
	e.drain(callerListener, callers.Server)
	e.log.Info().Int64("active", e.relayer.ActiveRequests()).Msg("ended")
	stop()
	for _, taskStopped := range stopped {
		<-taskStopped
	}
	e.close()
	return nil
}

// drain closes the callers' listener once the platform must have detected that the entry
// is not ready. If the listener stayed open, the platform could still send connections
// when few instances are left, and the remaining grace period could be too short to
// finish their requests. drain returns when no request is in flight and no connection
// waits for its first request, or when the grace period is nearly over. A graceful
// shutdown of the server would cut off requests that arrive on such connections, and so
// would disabling keep-alives: it closes idle connections, on which a request may just have
// been read. They are closed after all requests have been answered.
func (e *EntryInstance) drain(l *closingListener, callers *http.Server) {
	deadline := time.Now().Add(time.Duration(drainGraceRatio * e.settings.GracePeriodSeconds * float64(time.Second)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	e.relayer.BeginStop(figseam.DeadlineAfterMillis(drainAcceptMillis), figseam.DeadlineAt(deadline))
	time.Sleep(drainAcceptMillis * time.Millisecond)
	select {
	case <-l.CloseWhenQueueEmpty():
	case <-ctx.Done():
	}
	e.awaitCallers(ctx)
	e.relayer.EndStop()
	ctx, cancel = context.WithTimeout(context.Background(), finalAnswersMillis*time.Millisecond)
	defer cancel()
	e.awaitCallers(ctx)
	_ = callers.Close()
}

// awaitCallers waits until no caller's connection is busy or ctx is done.
func (e *EntryInstance) awaitCallers(ctx context.Context) {
	ticker := time.NewTicker(drainPollMillis * time.Millisecond)
	defer ticker.Stop()
	for e.callerConns.busy() > 0 && ctx.Err() == nil {
		<-ticker.C
	}
}

// cleanUp closes idle connections that have timed out or whose endpoint is no longer
// listed, and evicts usage records of idle endpoints.
func (e *EntryInstance) cleanUp(context.Context) {
	e.connector.CloseIdle(e.list.HasAddress)
	e.tracker.EvictIdle()
	e.quarantine.EvictExpired()
	e.throttle.EvictExpired()
	e.quotas.EvictIdle()
}

// exchangeLoad reports the load of this entry to a voter. The voter returns the sum of the
// loads of all other entries, which exchangeLoad stores.
func (e *EntryInstance) exchangeLoad(ctx context.Context) {
	voter := e.subscriber.ReportVoter()
	if voter == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadExchangeTimeoutMillis*time.Millisecond)
	defer cancel()
	report := exchangeReport{
		Report: aggregator.Report{
			Instance: e.settings.PeerID(), Load: aggregator.Load{Usage: slices.Concat(e.tracker.LocalUsage(), e.throttle.LocalUsage()), Demand: e.relayer.LocalDemand(), Accounts: e.quotas.LocalUsage()},
			Epoch: e.lastSum.epoch, Revision: e.lastSum.revision, Earlier: e.reports.Earlier(voter),
		},
		Evidence: e.evidence.Request(),
	}
	remote, err := messenger.Call[exchangeReport, exchangeReply](ctx, e.messenger, string(voter), kindExchangeLoad, report)
	if err != nil {
		e.log.Debug().Err(err).Str("keeper", string(voter)).Msg("load exchange with voter failed")
		return
	}
	e.reports.Record(voter, remote.Epoch, report.Load)
	e.evidence.Complete(remote.Evidence)
	e.relayer.SetRemoteDemand(remote.Demand)
	e.quotas.SetRemoteUsage(remote.Accounts, remote.Instances)
	if remote.ChangesOnly {
		e.tracker.MergeRemoteUsage(remote.Usage)
		e.throttle.MergeRemoteUsage(remote.Usage)
	} else {
		e.tracker.SetRemoteUsage(remote.Usage)
		e.throttle.SetRemoteUsage(remote.Usage)
	}
	e.lastSum = sumRevision{epoch: remote.Epoch, revision: remote.Revision}
}

// exchangeReport is an entry's report in a load exchange with a voter, and exchangeReply the
// voter's reply. Voters of versions before 0.5 ignore the evidence.
type exchangeReport struct {
	aggregator.Report
	Evidence quarantiner.Message `cbor:"16,keyasint,omitzero"`
}

type exchangeReply struct {
	aggregator.Sum
	Evidence quarantiner.Message `cbor:"16,keyasint,omitzero"`
}

// sumRevision identifies a state of a voter's sums.
type sumRevision struct {
	epoch, revision uint64
}
