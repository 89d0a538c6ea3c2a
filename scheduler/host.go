package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

const (
	// adoptionMillis is how long a new owner waits for holders to announce their
	// grants before it gives new ones.
	adoptionMillis = 600
	// leaseTickMillis is how often leases are looked at and renewed.
	leaseTickMillis = 1000
)

// CellHost runs the cells that this instance owns. Its methods are safe for
// concurrent use.
type CellHost struct {
	membership figseam.Membership
	states     figseam.EndpointStates
	canceller  Canceller
	dead       func(figseam.InstanceID) bool
	plan       plan

	// mu guards everything below.
	mu     sync.Mutex
	config *figseam.Config
	cells  map[figseam.CellID]*hosted
}

type hosted struct {
	cell *Cell
	stop context.CancelFunc
	done <-chan struct{}
}

// NewCellHost returns a host without cells. dead tells which instances are known to
// be dead.
func NewCellHost(membership figseam.Membership, states figseam.EndpointStates, canceller Canceller, dead func(figseam.InstanceID) bool) *CellHost {
	return &CellHost{
		membership: membership, states: states, canceller: canceller, dead: dead,
		cells: map[figseam.CellID]*hosted{},
	}
}

// Run keeps the cells in step with the configuration and the members, until ctx
// ends. It returns a channel that is closed at the end.
func (h *CellHost) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer h.stopAll()
		ticker := time.NewTicker(leaseTickMillis * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			h.takeOwned()
			for _, c := range h.owned() {
				c.ExpireLeases(h.dead)
			}
			h.handOver()
		}
	}()
	return done
}

// takeOwned makes the cells that this instance owns, so that what an earlier owner
// left behind is found also when no job asks for them.
func (h *CellHost) takeOwned() {
	h.mu.Lock()
	config := h.config
	h.mu.Unlock()
	if config == nil {
		return
	}
	self, members := h.membership.Self(), h.membership.Members()
	for pool := range config.Pools {
		for id := range h.plan.of(config, pool, self.DataCentre) {
			if CellOwner(id, members) == self.ID {
				_, _ = h.cell(id)
			}
		}
	}
}

// handOver sends the jobs that wait in cells of other owners there. A cell that
// holds nothing any more is dropped.
func (h *CellHost) handOver() {
	members := h.membership.Members()
	for _, c := range h.owned() {
		if owner := CellOwner(c.id, members); owner == "" || owner == c.owner {
			continue
		}
		c.RedirectQueue()
		if c.Load().Grants == 0 {
			h.drop(c.id)
		}
	}
}

// Drain hands every cell over at once.
func (h *CellHost) Drain() {
	for _, c := range h.owned() {
		c.RedirectQueue()
	}
}

func (h *CellHost) drop(id figseam.CellID) {
	h.mu.Lock()
	c := h.cells[id]
	delete(h.cells, id)
	h.mu.Unlock()
	c.cell.Close()
	c.stop()
	<-c.done
}

func (h *CellHost) stopAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.cells {
		c.stop()
		<-c.done
	}
}

// Configure takes a new configuration into force.
func (h *CellHost) Configure(config *figseam.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config = config
	for id, c := range h.cells {
		cells := h.plan.of(config, id.Pool, id.DataCentre)
		c.cell.Configure(config.Pools[id.Pool], cells[id])
	}
}

// cell returns the cell, made at the first use: whoever asks believes that this
// instance owns it, and a late belief costs less than a refusal.
func (h *CellHost) cell(id figseam.CellID) (*Cell, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.cells[id]; ok {
		return c.cell, nil
	}
	if h.config == nil {
		// Not a refusal: the instance was only just started, and the asker tries
		// again.
		return nil, errMoved
	}
	endpoints := h.plan.of(h.config, id.Pool, id.DataCentre)[id]
	if len(endpoints) == 0 {
		return nil, figseam.NewRefusal(explainer.NoAvailableEngine, "pool %q has no engine in %s", id.Pool, id.DataCentre)
	}
	c := NewCell(id, h.membership.Self().ID, h.states, h.canceller, figseam.DeadlineAfterMillis(adoptionMillis))
	c.Configure(h.config.Pools[id.Pool], endpoints)
	ctx, stop := context.WithCancel(context.Background())
	h.cells[id] = &hosted{cell: c, stop: stop, done: c.Run(ctx)}
	return c, nil
}

func (h *CellHost) owned() []*Cell {
	h.mu.Lock()
	defer h.mu.Unlock()
	cells := make([]*Cell, 0, len(h.cells))
	for _, id := range sortedCells(h.cells) {
		cells = append(cells, h.cells[id].cell)
	}
	return cells
}

// Reconcile hands an engine's list of attempts to the cells that may know it.
func (h *CellHost) Reconcile(endpoint figseam.EndpointID, report figseam.LoadReport) {
	for _, c := range h.owned() {
		if CellOwner(c.id, h.membership.Members()) == c.owner {
			c.Reconcile(endpoint, report.Attempts)
		}
	}
}

// ApplyCacheEvents hands changes of an engine's prefix cache to the cells.
func (h *CellHost) ApplyCacheEvents(endpoint figseam.EndpointID, page figseam.CachePage) {
	for _, c := range h.owned() {
		c.ApplyCacheEvents(endpoint, page)
	}
}

// CellLoads returns the load of every cell of this instance.
func (h *CellHost) CellLoads() map[figseam.CellID]Load {
	loads := map[figseam.CellID]Load{}
	for _, c := range h.owned() {
		loads[c.id] = c.Load()
	}
	return loads
}

// OwnedEngines returns the engines of the cells that this instance owns: those whose
// load it has to watch.
func (h *CellHost) OwnedEngines() []figseam.Endpoint {
	h.mu.Lock()
	config := h.config
	h.mu.Unlock()
	if config == nil {
		return nil
	}
	self, members := h.membership.Self(), h.membership.Members()
	var owned []figseam.Endpoint
	for pool := range config.Pools {
		for id, endpoints := range h.plan.of(config, pool, self.DataCentre) {
			if CellOwner(id, members) == self.ID {
				owned = append(owned, endpoints...)
			}
		}
	}
	return owned
}

// Place asks a cell of this instance. See [figseam.Placer].
func (h *CellHost) Place(ctx context.Context, id figseam.CellID, job figseam.Job) (figseam.Placement, error) {
	c, err := h.cell(id)
	if err != nil {
		return figseam.Placement{}, err
	}
	p, err := c.Place(ctx, job)
	if err == nil && ctx.Err() != nil {
		c.Report(figseam.Progress{Grant: p.Grant, Cell: id, Stage: figseam.JobStageEnded})
		return figseam.Placement{}, ctx.Err()
	}
	return p, err
}

// AssignDecode asks a cell of this instance. See [figseam.Placer].
func (h *CellHost) AssignDecode(ctx context.Context, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	c, err := h.cell(p.Cell)
	if err != nil {
		return figseam.Placement{}, err
	}
	return c.AssignDecode(ctx, p, heldUntil)
}

// Report tells a cell of this instance.
func (h *CellHost) Report(p figseam.Progress) {
	if c, err := h.cell(p.Cell); err == nil {
		c.Report(p)
	}
}

// RenewLeases renews a holder's leases in a cell of this instance.
func (h *CellHost) RenewLeases(id figseam.CellID, holder figseam.InstanceID, held GrantDigest) bool {
	c, err := h.cell(id)
	return err == nil && c.RenewLeases(holder, held)
}

// AnnounceGrants tells a cell of this instance what a holder has.
func (h *CellHost) AnnounceGrants(id figseam.CellID, holder figseam.InstanceID, held []figseam.GrantRecord) {
	if c, err := h.cell(id); err == nil {
		c.AnnounceGrants(holder, held)
	}
}
