package runner

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/aggregator"
	"github.com/figseam/figseam/budgeter"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/distributor"
	"github.com/figseam/figseam/keeper"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/relayer"
	"github.com/figseam/figseam/selector"
)

const (
	// entryListPart of the time of an endpoint's drain is how old the list may be
	// before an entry reads it itself.
	entryListPart = 0.65
	// shareMillis is how often what is under way is shared, shareCallMillis how long
	// one exchange may take.
	shareMillis     = 50
	shareCallMillis = 400
	// tidyMillis is how often idle connections and old records are looked at.
	tidyMillis = 1000
	// leaveMillis is how long a leaving entry goes on taking connections: the
	// platform needs two questions, a second apart, to notice.
	leaveMillis = 2600
	// leaveShare is the part of the grace period after which it ends whatever is
	// still under way.
	leaveShare = 0.93
)

// EntryInstance is an instance that relays callers' requests.
type EntryInstance struct {
	*base
	relayer  *relayer.Relayer
	follower *distributor.Subscriber
	budget   *budgeter.Budget
	conns    *connector.Connector
	board    *selector.Tracker
	leaving  atomic.Bool
	seeds    atomic.Pointer[[]figseam.InstanceID]
}

// NewEntryInstance joins the parts of an entry.
func NewEntryInstance(settings loader.RelaySettings, out io.Writer) *EntryInstance {
	e := &EntryInstance{base: newBase(settings, "entry", out), conns: connector.New(nil), board: selector.NewTracker()}
	e.readList(func() time.Duration { return e.ageOfDrain(entryListPart) })
	e.budget = budgeter.New(budgeter.Settings{
		RetryRatio: settings.RetryRatio, BaseRetries: settings.RetryAllowance, WindowMillis: int64(settings.RetryWindowSeconds * 1000),
	})
	e.relayer = relayer.New(relayer.Settings{
		Codec: platform.WireCodec{}, Connector: e.conns, EndpointList: e.list, Tracker: e.board, Budget: e.budget,
		DataCentre: settings.DataCentre, Meter: e.meter, Log: e.log,
	})
	e.ReloadSettings(settings)
	self := distributor.PollRequest{Instance: settings.PeerID(), DataCentre: settings.DataCentre}
	e.follower = distributor.NewSubscriber(self, e.follow, func() []figseam.InstanceID { return *e.seeds.Load() }, e.has, e.take, nil, e.log)
	e.meter.RegisterGauge("figseam_version", "Version of the configuration in force.", func() float64 { return float64(e.relayer.TableVersion()) })
	e.meter.RegisterGauge("figseam_list_age_seconds", "Age of the list of endpoints.", func() float64 { return e.list.Age().Seconds() })
	e.meter.RegisterGauge("figseam_requests_active", "Requests under way.", func() float64 { return float64(e.relayer.ActiveRequests()) })
	return e
}

// ReloadSettings takes over settings that may change while the instance runs.
func (e *EntryInstance) ReloadSettings(settings loader.RelaySettings) {
	seeds := settings.SeedIDs()
	e.seeds.Store(&seeds)
	e.log.Info().Strs("seeds", settings.Seeds).Str("data_centre", string(settings.DataCentre)).Msg("settings read")
}

func (e *EntryInstance) has() (version, digest uint64) {
	digest, _ = e.list.Digest()
	return e.relayer.TableVersion(), digest
}

// take takes over what a voter told.
func (e *EntryInstance) take(r distributor.PollReply) {
	e.list.Merge(r.List)
	e.budget.SetInstances(r.SubscriberCount)
	if r.Document.Version <= e.relayer.TableVersion() {
		return
	}
	text, err := keeper.Decompress(r.Document.Compressed)
	if err != nil {
		e.log.Error().Err(err).Uint64("version", r.Document.Version).Msg("configuration cannot be unpacked")
		return
	}
	table, err := platform.DecodeConfig(text)
	if err != nil {
		e.log.Error().Err(err).Uint64("version", r.Document.Version).Msg("configuration cannot be read")
		return
	}
	e.relayer.SetTable(table)
	e.log.Info().Uint64("version", table.Version).Int("routes", len(table.Routes)).Msg("configuration in force")
}

func (e *EntryInstance) ready() bool {
	return !e.leaving.Load() && e.relayer.TableVersion() > 0 && e.list.Loaded()
}

// Run serves until ctx ends, then leaves: it says so, goes on serving until no
// connection comes any more, and finishes what is under way.
func (e *EntryInstance) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "run entry") }()
	tasks, stop := context.WithCancel(context.WithoutCancel(ctx))
	recorded := e.recorder.Run(tasks)
	defer func() {
		stop()
		<-recorded
	}()
	listeners, err := listenAll(e.settings.CallerAddress, e.settings.ReadinessAddress, e.settings.PeerListenAddress(), e.settings.MetricsAddress)
	if err != nil {
		return err
	}
	e.servePeers(listeners)
	e.serve(listeners[e.settings.ReadinessAddress], platform.ReadinessHandler(e.ready))
	callers := e.serve(listeners[e.settings.CallerAddress], e.relayer)
	ends := []<-chan struct{}{e.list.Run(tasks), e.follower.Run(tasks), every(tasks, shareMillis, e.share), every(tasks, tidyMillis, e.tidy)}
	e.log.Info().Str("callers", e.settings.CallerAddress).Msg("started")
	<-ctx.Done()
	e.leaving.Store(true)
	e.log.Info().Int64("active", e.relayer.ActiveRequests()).Msg("leaving")
	callers.SetKeepAlivesEnabled(false)
	e.finish(listeners[e.settings.CallerAddress])
	e.log.Info().Int64("active", e.relayer.ActiveRequests()).Msg("ended")
	_ = callers.Close()
	stop()
	for _, end := range ends {
		<-end
	}
	e.close()
	return nil
}

// finish goes on taking connections until the platform must have noticed, then
// closes the door: where few instances are left the platform would send more, and
// there may not be time to finish what they ask for. It returns when no request is
// under way any more, or when the grace period is nearly over.
func (e *EntryInstance) finish(callers net.Listener) {
	began := time.Now()
	end := began.Add(time.Duration(leaveShare * e.settings.GracePeriodSeconds * float64(time.Second)))
	door := time.AfterFunc(leaveMillis*time.Millisecond, func() { _ = callers.Close() })
	defer door.Stop()
	ticker := time.NewTicker(drainTickMillis * time.Millisecond)
	defer ticker.Stop()
	for now := range ticker.C {
		quiet := now.Sub(began) > leaveMillis*time.Millisecond && e.relayer.ActiveRequests() == 0
		if quiet || now.After(end) {
			return
		}
	}
}

// tidy closes connections to endpoints that are gone and forgets old records.
func (e *EntryInstance) tidy(context.Context) {
	e.conns.CloseIdle(e.list.HasAddress)
	e.board.EvictIdle()
}

// share tells a voter what is under way here, and learns what is elsewhere.
func (e *EntryInstance) share(ctx context.Context) {
	to := e.follower.CurrentVoter()
	if to == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareCallMillis*time.Millisecond)
	defer cancel()
	report := aggregator.Report{Instance: e.settings.PeerID(), Load: aggregator.Load{Usage: e.board.LocalUsage(), Demand: e.relayer.LocalDemand()}}
	others, err := messenger.Call[aggregator.Report, aggregator.Load](ctx, e.messenger, string(to), kindShare, report)
	if err != nil {
		e.log.Debug().Err(err).Str("keeper", string(to)).Msg("use of endpoints not shared")
		return
	}
	e.relayer.SetRemoteDemand(others.Demand)
	e.board.SetRemoteUsage(others.Usage)
}
