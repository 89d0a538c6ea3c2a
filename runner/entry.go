package runner

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/budgeter"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/distributor"
	"github.com/figseam/figseam/keeper"
	"github.com/figseam/figseam/loader"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/relayer"
	"github.com/figseam/figseam/selector"
	"github.com/figseam/figseam/sharer"
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

// Entry is an instance that relays callers' requests.
type Entry struct {
	*base
	relayer  *relayer.Relayer
	follower *distributor.Follower
	budget   *budgeter.Budget
	conns    *connector.Connector
	board    *selector.Board
	leaving  atomic.Bool
	seeds    atomic.Pointer[[]figseam.InstanceID]
}

// NewEntry joins the parts of an entry.
func NewEntry(settings loader.RelaySettings, out io.Writer) *Entry {
	e := &Entry{base: newBase(settings, "entry", out), conns: connector.New(nil), board: selector.NewBoard()}
	e.readList(func() time.Duration { return e.ageOfDrain(entryListPart) })
	e.budget = budgeter.New(budgeter.Settings{
		Share: settings.RetryShare, Allowance: settings.RetryAllowance, WindowMillis: int64(settings.RetryWindowSeconds * 1000),
	})
	e.relayer = relayer.New(relayer.Settings{
		Wire: platform.Wire{}, Connector: e.conns, List: e.list, Board: e.board, Budget: e.budget,
		DataCentre: settings.DataCentre, Meter: e.meter, Log: e.log,
	})
	e.Reload(settings)
	self := distributor.Request{Instance: settings.Self(), DataCentre: settings.DataCentre}
	e.follower = distributor.NewFollower(self, e.follow, func() []figseam.InstanceID { return *e.seeds.Load() }, e.has, e.take, nil, e.log)
	e.meter.Gauge("figseam_version", "Version of the configuration in force.", func() float64 { return float64(e.relayer.Version()) })
	e.meter.Gauge("figseam_list_age_seconds", "Age of the list of endpoints.", func() float64 { return e.list.Age().Seconds() })
	e.meter.Gauge("figseam_requests_active", "Requests under way.", func() float64 { return float64(e.relayer.Active()) })
	return e
}

// Reload takes over settings that may change while the instance runs.
func (e *Entry) Reload(settings loader.RelaySettings) {
	seeds := settings.Voters()
	e.seeds.Store(&seeds)
	e.log.Info().Strs("seeds", settings.Seeds).Str("data_centre", string(settings.DataCentre)).Msg("settings read")
}

func (e *Entry) has() (version, digest uint64) {
	digest, _ = e.list.Digest()
	return e.relayer.Version(), digest
}

// take takes over what a voter told.
func (e *Entry) take(r distributor.Reply) {
	e.list.Merge(r.List)
	e.budget.SetInstances(r.Followers)
	if r.Document.Version <= e.relayer.Version() {
		return
	}
	text, err := keeper.Unpack(r.Document.Packed)
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

func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.relayer.Version() > 0 && e.list.Known()
}

// Run serves until ctx ends, then leaves: it says so, goes on serving until no
// connection comes any more, and finishes what is under way.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "run entry") }()
	tasks, stop := context.WithCancel(context.WithoutCancel(ctx))
	recorded := e.recorder.Run(tasks)
	defer func() {
		stop()
		<-recorded
	}()
	listeners, err := listenAll(e.settings.Callers, e.settings.Readiness, e.settings.PeersAt(), e.settings.Metrics)
	if err != nil {
		return err
	}
	e.servePeers(listeners)
	e.serve(listeners[e.settings.Readiness], platform.Readiness(e.ready))
	callers := e.serve(listeners[e.settings.Callers], e.relayer)
	ends := []<-chan struct{}{e.list.Run(tasks), e.follower.Run(tasks), every(tasks, shareMillis, e.share), every(tasks, tidyMillis, e.tidy)}
	e.log.Info().Str("callers", e.settings.Callers).Msg("started")
	<-ctx.Done()
	e.leaving.Store(true)
	e.log.Info().Int64("active", e.relayer.Active()).Msg("leaving")
	callers.SetKeepAlivesEnabled(false)
	e.finish(listeners[e.settings.Callers])
	e.log.Info().Int64("active", e.relayer.Active()).Msg("ended")
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
func (e *Entry) finish(callers net.Listener) {
	began := time.Now()
	end := began.Add(time.Duration(leaveShare * e.settings.GraceSeconds * float64(time.Second)))
	door := time.AfterFunc(leaveMillis*time.Millisecond, func() { _ = callers.Close() })
	defer door.Stop()
	ticker := time.NewTicker(drainTickMillis * time.Millisecond)
	defer ticker.Stop()
	for now := range ticker.C {
		quiet := now.Sub(began) > leaveMillis*time.Millisecond && e.relayer.Active() == 0
		if quiet || now.After(end) {
			return
		}
	}
}

// tidy closes connections to endpoints that are gone and forgets old records.
func (e *Entry) tidy(context.Context) {
	e.conns.Keep(e.list.Listed)
	e.board.Forget()
}

// share tells a voter what is under way here, and learns what is elsewhere.
func (e *Entry) share(ctx context.Context) {
	to := e.follower.Keeper()
	if to == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareCallMillis*time.Millisecond)
	defer cancel()
	report := sharer.Report{Instance: e.settings.Self(), Load: sharer.Load{Uses: e.board.Own(), Demands: e.relayer.Demands()}}
	others, err := messenger.Call[sharer.Report, sharer.Load](ctx, e.messenger, string(to), kindShare, report)
	if err != nil {
		e.log.Debug().Err(err).Str("keeper", string(to)).Msg("use of endpoints not shared")
		return
	}
	e.relayer.SetOtherDemands(others.Demands)
	e.board.SetOthers(others.Uses)
}
