package runner

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/aggregator"
	"github.com/figseam/figseam/keeper"
	"github.com/figseam/figseam/platform"
	"github.com/figseam/figseam/rebalancer"
)

const (
	// stageMillis is how often the stages of engines are looked at.
	stageMillis = 500
	// leaseSlackMillis is added to the time in which no two instances may both give
	// orders.
	leaseSlackMillis = 1000
	// spreadWaitMillis is how long before an order the engine is listed as leaving.
	spreadWaitMillis = 400
	// listLagMillis is how long after a change the list may still show the former
	// stage: the engine finishes what it runs first.
	listLagMillis = 2000
	// orderMillis bounds the question and the order to one engine, changesMillis all
	// that belongs to the changes made at once.
	orderMillis   = 800
	changesMillis = 2000
	// orderPauseMillis is the least time between two orders.
	orderPauseMillis = 1500
)

// stewardship gives orders to engines while this voter leads. One leader has a
// term, which is the fencing number; a new leader waits until the orders of the
// last one cannot come any more, and every order follows a proof of leadership.
type stewardship struct {
	*Voter
	steward figseam.StageController
	proof   *keeper.Store
	term    uint64
	// begins is when a term's orders may begin, pausedUntil when the next one may
	// follow.
	begins      figseam.Deadline
	pausedUntil figseam.Deadline
	// fenced is a term in which an engine saw a higher fencing number.
	fenced atomic.Uint64
	table  *figseam.Table
	// changing are the engines that were ordered lately; the list may still show
	// their former stage.
	changing map[string]changing
	// turnovers are the engines of each service that came and went.
	turnovers map[string]turnover
}

type changing struct {
	stage figseam.EndpointStage
	until figseam.Deadline
}

// newStewardship returns the stewardship of a voter.
func newStewardship(v *Voter) *stewardship {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return &stewardship{Voter: v, steward: platform.NewStageController(client), proof: keeper.NewStore(v.node), changing: map[string]changing{}, turnovers: map[string]turnover{}}
}

// look changes an engine's stage if that is called for.
func (s *stewardship) look(ctx context.Context) {
	for _, service := range s.list.ServiceNames() {
		s.noteEngines(service)
	}
	status := s.node.Status()
	if status.Role != "leader" {
		s.term = 0
		return
	}
	if s.term != status.Term {
		s.term = status.Term
		s.begins = figseam.DeadlineAfterMillis(int64(s.settings.OrderLeaseMillis) + leaseSlackMillis)
	}
	if !s.begins.Passed() || s.fenced.Load() == s.term || (!s.pausedUntil.IsZero() && !s.pausedUntil.Passed()) {
		return
	}
	s.loadTable()
	if s.table == nil {
		return
	}
	total := s.sums.Total()
	for _, service := range s.list.ServiceNames() {
		traits := s.table.Services[service].Engine
		if traits == nil || traits.StageChangeMillis <= 0 {
			continue
		}
		if changes := rebalancer.PlanChanges(s.load(service, traits, total)); len(changes) > 0 {
			s.change(ctx, service, traits, changes)
			return
		}
	}
}

// loadTable reads the newest configuration.
func (s *stewardship) loadTable() {
	d, _ := s.machine.Current()
	if d.Version == 0 || (s.table != nil && s.table.Version == d.Version) {
		return
	}
	text, err := keeper.Decompress(d.Compressed)
	if err != nil {
		s.log.Error().Err(err).Uint64("version", d.Version).Msg("configuration cannot be unpacked")
		return
	}
	table, err := platform.DecodeConfig(text)
	if err != nil {
		s.log.Error().Err(err).Uint64("version", d.Version).Msg("configuration cannot be read")
		return
	}
	s.table = table
}

func (s *stewardship) load(service string, traits *figseam.EngineSpec, total *aggregator.Total) rebalancer.Load {
	demand := total.ServiceDemand(service)
	l := rebalancer.Load{
		MemoryTokens: traits.MemoryTokens, OfferedPrefillMillis: float64(demand.OfferedPrefillMillis), OfferedDecodeTokens: float64(demand.OfferedDecodeTokens),
		Churn: s.turnover(service),
	}
	for _, e := range s.list.ServiceEndpoints(service) {
		c, ok := s.changing[e.ID]
		away := ok && !c.until.Passed()
		if away {
			e.Stage, e.Draining = c.stage, false
		}
		l.Engines = append(l.Engines, rebalancer.Engine{Endpoint: e, UsedTokens: total.EndpointUsage(e.ID).MemoryTokens, ChangingStage: away})
	}
	return l
}

// change lists the engines as leaving, proves that this voter still leads, and
// gives the orders.
func (s *stewardship) change(ctx context.Context, service string, traits *figseam.EngineSpec, changes []rebalancer.Change) {
	ctx, cancel := context.WithTimeout(ctx, changesMillis*time.Millisecond)
	defer cancel()
	s.pausedUntil = figseam.DeadlineAfterMillis(orderPauseMillis)
	away := figseam.DeadlineAfterMillis(traits.StageChangeMillis + listLagMillis)
	suspended := make([]string, 0, len(changes))
	for _, c := range changes {
		s.changing[c.Endpoint.ID] = changing{stage: c.Stage, until: away}
		suspended = append(suspended, c.Endpoint.ID)
	}
	s.list.Suspend(suspended, away)
	log := s.log.With().Str("service", service).Uint64("fence", s.term).Logger()
	orders := s.prepare(ctx, log, changes)
	select {
	case <-ctx.Done():
		return
	case <-time.After(spreadWaitMillis * time.Millisecond):
	}
	if _, _, err := s.proof.Read(ctx); err != nil || s.node.Status().Term != s.term {
		log.Info().Err(err).Strs("endpoints", suspended).Msg("engines not ordered: leadership is not certain")
		return
	}
	var given sync.WaitGroup
	for _, o := range orders {
		given.Go(func() { s.order(ctx, log, o) })
	}
	given.Wait()
}

// plannedOrder is an order that is ready to be given.
type plannedOrder struct {
	change rebalancer.Change
	order  figseam.StageChange
}

// prepare asks the engines for their state and returns the orders to those that can
// change.
func (s *stewardship) prepare(ctx context.Context, log zerolog.Logger, changes []rebalancer.Change) []plannedOrder {
	ctx, cancel := context.WithTimeout(ctx, orderMillis*time.Millisecond)
	defer cancel()
	var mu sync.Mutex
	var orders []plannedOrder
	var asked sync.WaitGroup
	for _, c := range changes {
		asked.Go(func() {
			state, err := s.steward.QueryState(ctx, c.Endpoint)
			if err != nil || state.ChangingStage || state.Stage != c.Endpoint.Stage {
				log.Info().Err(err).Str("endpoint", c.Endpoint.ID).Bool("busy", state.ChangingStage).Msg("engine not ordered")
				return
			}
			order := figseam.StageChange{
				Stage: c.Stage, Issuer: figseam.InstanceID(s.settings.Instance), Fence: s.term, ExpectedChanges: state.AcceptedChanges,
			}
			mu.Lock()
			defer mu.Unlock()
			orders = append(orders, plannedOrder{change: c, order: order})
		})
	}
	asked.Wait()
	return orders
}

// order gives one order.
func (s *stewardship) order(ctx context.Context, log zerolog.Logger, o plannedOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderMillis*time.Millisecond)
	defer cancel()
	c := o.change
	outcome, err := s.steward.ChangeStage(ctx, c.Endpoint, o.order)
	if outcome == figseam.StageChangeFenced {
		s.fenced.Store(o.order.Fence)
	}
	log.Info().Str("endpoint", c.Endpoint.ID).Float64("prefill_load", c.PrefillLoad).Float64("decode_load", c.DecodeLoad).
		Float64("prefill_after", c.PrefillLoadAfter).Float64("decode_after", c.DecodeLoadAfter).Int("stage", int(c.Stage)).
		Err(err).Int("outcome", int(outcome)).Msg("engine ordered to change its stage")
}
