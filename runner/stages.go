package runner

import (
	"context"
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
	// stageCheckIntervalMillis is the interval at which the stages of engines are checked.
	stageCheckIntervalMillis = 500
	// leaseMarginMillis is added to OrderLeaseMillis, the time in which no two instances
	// may both order an engine to change its stage. A new leader waits for the sum before
	// its first order.
	leaseMarginMillis = 1000
	// propagationDelayMillis is the delay between listing an engine as draining and
	// ordering it to change its stage, so that the other instances receive the listing.
	propagationDelayMillis = 400
	// listLagMillis is added to the duration of a stage change to obtain the time for which
	// the list may show the former stage: the engine first finishes the requests that it
	// runs.
	listLagMillis = 2000
	// orderTimeoutMillis limits each query of an engine's state and each order.
	// changesTimeoutMillis limits a whole batch of changes.
	orderTimeoutMillis   = 800
	changesTimeoutMillis = 2000
	// minOrderIntervalMillis is the minimum interval between two batches of changes.
	minOrderIntervalMillis = 1500
)

// stageManager orders engines to change their stage while this voter is the leader. The
// leader's term is the fencing token of its orders. A new leader waits until orders of
// its predecessor can no longer arrive, and a leader confirms its leadership with a
// quorum before each batch of orders.
type stageManager struct {
	*Voter
	controller figseam.StageController
	// quorumReader confirms this voter's leadership by a read from a quorum.
	quorumReader *keeper.Store
	// term is the term that this voter leads, 0 if it is not the leader.
	term uint64
	// ordersAllowedAt is the time from which the leader of a term may send orders.
	// nextOrderAt is the earliest time of its next batch.
	ordersAllowedAt figseam.Deadline
	nextOrderAt     figseam.Deadline
	// fencedTerm is the last term in which an engine refused an order because it had
	// received a higher fencing token. No more orders are sent in that term.
	fencedTerm atomic.Uint64
	// table is the newest decoded configuration, or nil before the first one.
	table *figseam.Table
	// pendingChanges holds the most recent stage change of each engine. Until a change
	// expires, the list may show the engine's former stage.
	pendingChanges map[string]pendingChange
	// churnHistories holds the recent changes of each service's engines.
	churnHistories map[string]churnHistory
}

// pendingChange is the stage that an engine is to change to, and the time until which the
// list may show the former one.
type pendingChange struct {
	stage     figseam.EndpointStage
	expiresAt figseam.Deadline
}

// newStageManager returns the stage manager of a voter.
func newStageManager(v *Voter) *stageManager {
	return &stageManager{Voter: v, controller: platform.NewStageController(newEngineClient(), v.recordNotice), quorumReader: keeper.NewStore(v.node), pendingChanges: map[string]pendingChange{}, churnHistories: map[string]churnHistory{}}
}

// recordNotice records what an engine said of itself.
func (v *Voter) recordNotice(e figseam.ListedEndpoint, notice figseam.EndpointNotice) {
	if notice.Leaving {
		v.list.RecordLeaving(e)
	}
	v.pauses.RecordPause(e, notice.PauseMillis)
}

// changeStages records the churn of all services. If this voter may send orders, it
// applies the stage changes that the rebalancer plans for the first service that needs
// any.
func (s *stageManager) changeStages(ctx context.Context) {
	for _, service := range s.list.ServiceNames() {
		s.recordChurn(service)
	}
	status := s.node.Status()
	if status.Role != "leader" {
		s.term = 0
		return
	}
	if s.term != status.Term {
		s.term = status.Term
		s.ordersAllowedAt = figseam.DeadlineAfterMillis(int64(s.settings.OrderLeaseMillis) + leaseMarginMillis)
	}
	if !s.ordersAllowedAt.Passed() || s.fencedTerm.Load() == s.term || (!s.nextOrderAt.IsZero() && !s.nextOrderAt.Passed()) {
		return
	}
	s.loadTable()
	if s.table == nil {
		return
	}
	total := s.loads.Total()
	for _, service := range s.list.ServiceNames() {
		engine := s.table.Services[service].Engine
		if engine == nil || engine.StageChangeMillis <= 0 {
			continue
		}
		if changes := rebalancer.PlanChanges(s.serviceLoad(service, engine, total)); len(changes) > 0 {
			s.applyChanges(ctx, service, engine, changes)
			return
		}
	}
}

// loadTable decodes the newest configuration. If that fails, it logs the error and keeps
// the current table.
func (s *stageManager) loadTable() {
	d, _ := s.machine.Current()
	if d.Version == 0 || (s.table != nil && s.table.Version == d.Version) {
		return
	}
	text, err := keeper.Decompress(d.Compressed)
	if err != nil {
		s.log.Error().Err(err).Uint64("version", d.Version).Msg("cannot decompress configuration")
		return
	}
	table, err := platform.DecodeStoredConfig(text)
	if err != nil {
		s.log.Error().Err(err).Uint64("version", d.Version).Msg("cannot decode configuration")
		return
	}
	s.table = table
}

// serviceLoad returns the load of a service's engines. In the result, engines with a
// pending change have the stage that they are to change to.
func (s *stageManager) serviceLoad(service string, engine *figseam.EngineSpec, total *aggregator.Total) rebalancer.Load {
	demand := total.ServiceDemand(service)
	l := rebalancer.Load{
		EngineMemoryTokens: engine.MemoryTokens, OfferedPrefillMillis: float64(demand.OfferedPrefillMillis), OfferedDecodeTokens: float64(demand.OfferedDecodeTokens),
		Churn: s.churnLevel(service),
	}
	for _, e := range s.list.ServiceEndpoints(service) {
		c, ok := s.pendingChanges[e.ID]
		pending := ok && !c.expiresAt.Passed()
		if pending {
			e.Stage, e.Draining = c.stage, false
		}
		l.Engines = append(l.Engines, rebalancer.Engine{Endpoint: e, UsedTokens: total.EndpointUsage(e.ID).MemoryTokens, ChangingStage: pending})
	}
	return l
}

// applyChanges lists the engines as draining, queries their state, confirms that this
// voter is still the leader of the term, and sends the orders.
func (s *stageManager) applyChanges(ctx context.Context, service string, engine *figseam.EngineSpec, changes []rebalancer.Change) {
	ctx, cancel := context.WithTimeout(ctx, changesTimeoutMillis*time.Millisecond)
	defer cancel()
	s.nextOrderAt = figseam.DeadlineAfterMillis(minOrderIntervalMillis)
	expiresAt := figseam.DeadlineAfterMillis(engine.StageChangeMillis + listLagMillis)
	suspended := make([]string, 0, len(changes))
	for _, c := range changes {
		s.pendingChanges[c.Endpoint.ID] = pendingChange{stage: c.Stage, expiresAt: expiresAt}
		suspended = append(suspended, c.Endpoint.ID)
	}
	s.list.Suspend(suspended, expiresAt)
	log := s.log.With().Str("service", service).Uint64("fence", s.term).Logger()
	orders := s.prepareOrders(ctx, log, changes)
	select {
	case <-ctx.Done():
		return
	case <-time.After(propagationDelayMillis * time.Millisecond):
	}
	if _, _, err := s.quorumReader.Read(ctx); err != nil || s.node.Status().Term != s.term {
		log.Info().Err(err).Strs("endpoints", suspended).Msg("engines not ordered: leadership is not confirmed")
		return
	}
	var tasks sync.WaitGroup
	for _, o := range orders {
		if s.takesOrders(o.change.Endpoint) {
			tasks.Go(func() { s.sendOrder(ctx, log, o) })
		}
	}
	tasks.Wait()
}

// takesOrders reports whether an engine has neither said that it leaves nor asked this voter for
// a pause.
func (s *stageManager) takesOrders(e figseam.ListedEndpoint) bool {
	return !s.list.SaysItLeaves(e) && !s.pauses.Paused(e)
}

// plannedOrder is a change and the order that carries it out.
type plannedOrder struct {
	change rebalancer.Change
	order  figseam.StageChange
}

// prepareOrders queries the state of the engines and returns the orders for those that
// can change their stage.
func (s *stageManager) prepareOrders(ctx context.Context, log zerolog.Logger, changes []rebalancer.Change) []plannedOrder {
	ctx, cancel := context.WithTimeout(ctx, orderTimeoutMillis*time.Millisecond)
	defer cancel()
	// mu guards orders while the engines are queried.
	var mu sync.Mutex
	var orders []plannedOrder
	var tasks sync.WaitGroup
	for _, c := range changes {
		if !s.takesOrders(c.Endpoint) {
			continue
		}
		tasks.Go(func() {
			state, err := s.controller.QueryState(ctx, c.Endpoint)
			takesOrders := s.takesOrders(c.Endpoint)
			if err != nil || !takesOrders || state.ChangingStage || state.Stage != c.Endpoint.Stage {
				log.Info().Err(err).Str("endpoint", c.Endpoint.ID).Bool("busy", state.ChangingStage).Bool("takes_orders", takesOrders).Msg("engine not ordered")
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
	tasks.Wait()
	return orders
}

// sendOrder sends one order to its engine and logs the outcome. If the engine has
// received a higher fencing token, no more orders are sent in this term.
func (s *stageManager) sendOrder(ctx context.Context, log zerolog.Logger, o plannedOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeoutMillis*time.Millisecond)
	defer cancel()
	c := o.change
	outcome, err := s.controller.ChangeStage(ctx, c.Endpoint, o.order)
	if outcome == figseam.StageChangeFenced {
		s.fencedTerm.Store(o.order.Fence)
	}
	log.Info().Str("endpoint", c.Endpoint.ID).Float64("prefill_load", c.PrefillLoad).Float64("decode_load", c.DecodeLoad).
		Float64("prefill_after", c.PrefillLoadAfter).Float64("decode_after", c.DecodeLoadAfter).Int("stage", int(c.Stage)).
		Err(err).Int("outcome", int(outcome)).Msg("engine ordered to change its stage")
}
