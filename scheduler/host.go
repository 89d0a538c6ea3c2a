package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

const (
	// adoptionMillis is the delay before a new owner places jobs. During it, the holders
	// announce their grants.
	adoptionMillis = 600
	// leaseCheckMillis is the interval between checks of leases and cell ownership.
	leaseCheckMillis = 1000
)

// CellHost runs the cells that this instance owns. A cell whose ownership moves to another
// instance is retained until its last grant ends. The methods are safe for concurrent use.
type CellHost struct {
	membership figseam.Membership
	states     figseam.EndpointStates
	canceller  Canceller
	isDead     func(figseam.InstanceID) bool
	partitions partitionCache

	// mu guards everything below.
	mu     sync.Mutex
	config *figseam.Config
	cells  map[figseam.CellID]*hostedCell
}

// hostedCell is a running cell. stop ends its Run, after which done is closed.
type hostedCell struct {
	cell *Cell
	stop context.CancelFunc
	done <-chan struct{}
}

// NewCellHost returns a host without cells. isDead reports whether an instance is known
// to be dead.
func NewCellHost(membership figseam.Membership, states figseam.EndpointStates, canceller Canceller, isDead func(figseam.InstanceID) bool) *CellHost {
	return &CellHost{
		membership: membership, states: states, canceller: canceller, isDead: isDead,
		cells: map[figseam.CellID]*hostedCell{},
	}
}

// Run creates and removes cells as the configuration and the membership change, and
// expires leases, until ctx ends. The returned channel is closed after all cells have
// stopped.
func (h *CellHost) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer h.stopAll()
		ticker := time.NewTicker(leaseCheckMillis * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			h.createOwned()
			for _, c := range h.hosted() {
				c.ExpireLeases(h.isDead)
			}
			h.redirectForeign()
		}
	}()
	return done
}

// createOwned creates the cells that this instance owns, so that attempts left over from a
// previous owner are cancelled even if no job is placed there.
func (h *CellHost) createOwned() {
	h.mu.Lock()
	config := h.config
	h.mu.Unlock()
	if config == nil {
		return
	}
	self, members := h.membership.Self(), h.membership.Members()
	for pool := range config.Pools {
		for id := range h.partitions.cellsOf(config, pool, self.DataCentre) {
			if CellOwner(id, members) == self.ID {
				_, _ = h.cellFor(id)
			}
		}
	}
}

// redirectForeign redirects the queues of hosted cells that another instance owns now.
// Such a cell is removed once it has no grants.
func (h *CellHost) redirectForeign() {
	members := h.membership.Members()
	for _, c := range h.hosted() {
		if owner := CellOwner(c.id, members); owner == "" || owner == c.owner {
			continue
		}
		c.RedirectQueue()
		if c.Load().Grants == 0 {
			h.remove(c.id)
		}
	}
}

// RedirectQueues redirects the queues of all hosted cells.
func (h *CellHost) RedirectQueues() {
	for _, c := range h.hosted() {
		c.RedirectQueue()
	}
}

// remove closes a cell, so that its queued jobs are redirected to the new owner, and waits
// until its Run has ended.
func (h *CellHost) remove(id figseam.CellID) {
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

// Configure applies a new configuration to all hosted cells.
func (h *CellHost) Configure(config *figseam.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.config = config
	for id, c := range h.cells {
		cells := h.partitions.cellsOf(config, id.Pool, id.DataCentre)
		c.cell.Configure(config.Pools[id.Pool], cells[id])
	}
}

// cellFor returns the cell and creates it at its first use. It does not check the
// ownership: accepting a job from a sender with an outdated membership list costs less than
// refusing it.
func (h *CellHost) cellFor(id figseam.CellID) (*Cell, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.cells[id]; ok {
		return c.cell, nil
	}
	if h.config == nil {
		// The instance has just started. The sender retries on this error, but not
		// on a refusal.
		return nil, errNotOwner
	}
	endpoints := h.partitions.cellsOf(h.config, id.Pool, id.DataCentre)[id]
	if len(endpoints) == 0 {
		return nil, figseam.NewRefusal(explainer.NoAvailableEngine, "pool %q has no engine in %s", id.Pool, id.DataCentre)
	}
	c := NewCell(id, h.membership.Self().ID, h.states, h.canceller, figseam.DeadlineAfterMillis(adoptionMillis))
	c.Configure(h.config.Pools[id.Pool], endpoints)
	ctx, stop := context.WithCancel(context.Background())
	h.cells[id] = &hostedCell{cell: c, stop: stop, done: c.Run(ctx)}
	return c, nil
}

// hosted returns the cells on this instance, including those that another instance owns
// now, in the order of [sortedCells].
func (h *CellHost) hosted() []*Cell {
	h.mu.Lock()
	defer h.mu.Unlock()
	cells := make([]*Cell, 0, len(h.cells))
	for _, id := range sortedCells(h.cells) {
		cells = append(cells, h.cells[id].cell)
	}
	return cells
}

// Reconcile passes the attempts in an engine's load report to the cells that this
// instance owns. See [Cell.Reconcile].
func (h *CellHost) Reconcile(endpoint figseam.EndpointID, report figseam.LoadReport) {
	for _, c := range h.hosted() {
		if CellOwner(c.id, h.membership.Members()) == c.owner {
			c.Reconcile(endpoint, report.Attempts)
		}
	}
}

// ApplyCacheEvents passes changes of an engine's prefix cache to all hosted cells. See
// [Cell.ApplyCacheEvents].
func (h *CellHost) ApplyCacheEvents(endpoint figseam.EndpointID, page figseam.CachePage) {
	for _, c := range h.hosted() {
		c.ApplyCacheEvents(endpoint, page)
	}
}

// CellLoads returns the load of every hosted cell.
func (h *CellHost) CellLoads() map[figseam.CellID]Load {
	loads := map[figseam.CellID]Load{}
	for _, c := range h.hosted() {
		loads[c.id] = c.Load()
	}
	return loads
}

// OwnedEngines returns the engines of the cells that this instance owns. This instance
// polls their load.
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
		for id, endpoints := range h.partitions.cellsOf(config, pool, self.DataCentre) {
			if CellOwner(id, members) == self.ID {
				owned = append(owned, endpoints...)
			}
		}
	}
	return owned
}

// Place places a job in a cell on this instance. See [Cell.Place].
func (h *CellHost) Place(ctx context.Context, id figseam.CellID, job figseam.Job) (figseam.Placement, error) {
	c, err := h.cellFor(id)
	if err != nil {
		return figseam.Placement{}, err
	}
	p, err := c.Place(ctx, job)
	if err == nil && ctx.Err() != nil {
		c.ReportProgress(figseam.Progress{Grant: p.Grant, Cell: id, Stage: figseam.JobStageEnded})
		return figseam.Placement{}, ctx.Err()
	}
	return p, err
}

// AssignDecode assigns a decode engine in a cell on this instance. See
// [Cell.AssignDecode].
func (h *CellHost) AssignDecode(ctx context.Context, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	c, err := h.cellFor(p.Cell)
	if err != nil {
		return figseam.Placement{}, err
	}
	return c.AssignDecode(ctx, p, heldUntil)
}

// ReportProgress passes the progress of a job to its cell on this instance. Without a
// configuration or engines for the cell it does nothing.
func (h *CellHost) ReportProgress(p figseam.Progress) {
	if c, err := h.cellFor(p.Cell); err == nil {
		c.ReportProgress(p)
	}
}

// RenewLeases renews a holder's leases in a cell on this instance. See
// [Cell.RenewLeases].
func (h *CellHost) RenewLeases(id figseam.CellID, holder figseam.InstanceID, held GrantDigest) bool {
	c, err := h.cellFor(id)
	return err == nil && c.RenewLeases(holder, held)
}

// AnnounceGrants passes a holder's complete list of grants to a cell on this instance.
// See [Cell.AnnounceGrants].
func (h *CellHost) AnnounceGrants(id figseam.CellID, holder figseam.InstanceID, held []figseam.GrantRecord) {
	if c, err := h.cellFor(id); err == nil {
		c.AnnounceGrants(holder, held)
	}
}
