package scheduler

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

const (
	// ownerRetryMillis is the delay before the owner of a cell is looked up again after
	// it could not be reached.
	ownerRetryMillis = 50
	// placeRetryMillis is the delay before another attempt to place a job that is not
	// refusable (see [figseam.Job.Refusable]) and that no cell accepted.
	placeRetryMillis = 200
	// ownerWaitMillis bounds the time for which a job that is not refusable waits for a
	// reachable owner of one cell.
	ownerWaitMillis = 20_000
	// leaseRenewMillis is the interval between a holder's renewals of its leases.
	leaseRenewMillis = 2000
	// unreachableMillis is the time for which an instance that could not be reached is
	// skipped as an owner. It covers the time until the detector reports the failure.
	unreachableMillis = 2000
	// maxRemoteDataCentres bounds the other data centres that are tried for one job.
	maxRemoteDataCentres = 2
)

// Peers sends messages to cell owners on other instances. An error that wraps
// [figseam.ErrUnreachable] reports that the instance could not be reached.
type Peers interface {
	Place(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, job figseam.Job) (figseam.Placement, error)
	AssignDecode(ctx context.Context, to figseam.InstanceID, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error)
	ReportProgress(to figseam.InstanceID, p figseam.Progress)
	RenewLeases(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, held GrantDigest) (bool, error)
	AnnounceGrants(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, held []figseam.GrantRecord) error
}

// Router sends jobs to the owners of cells and renews the leases of the grants that this
// instance holds. It implements [figseam.Placer].
type Router struct {
	membership figseam.Membership
	config     func() *figseam.Config
	host       *CellHost
	peers      Peers
	partitions partitionCache

	// mu guards everything below.
	mu   sync.Mutex
	held map[figseam.GrantID]*heldGrant
	// busyUntil holds the retry times of the cells that refused a job.
	busyUntil map[figseam.CellID]time.Time
	// unreachableUntil holds the times until which unreachable instances are skipped as
	// owners.
	unreachableUntil map[figseam.InstanceID]time.Time
}

// heldGrant is a grant that this instance holds, with the last known owner of its cell.
type heldGrant struct {
	figseam.GrantRecord
	cell  figseam.CellID
	owner figseam.InstanceID
}

// NewRouter returns a router without grants. config returns nil before the first
// configuration; peers may be nil if there are no other instances.
func NewRouter(membership figseam.Membership, config func() *figseam.Config, host *CellHost, peers Peers) *Router {
	return &Router{
		membership: membership, config: config, host: host, peers: peers,
		held: map[figseam.GrantID]*heldGrant{}, busyUntil: map[figseam.CellID]time.Time{},
		unreachableUntil: map[figseam.InstanceID]time.Time{},
	}
}

// Place places the job in a cell of this data centre, or of another one if the local
// cells refuse it. A job that is not refusable is retried until ctx ends, unless the
// instance has no configuration. The error is a [figseam.Refusal] or the context's error.
func (r *Router) Place(ctx context.Context, job figseam.Job) (figseam.Placement, error) {
	for {
		p, err := r.placeOnce(ctx, job)
		refusal := figseam.AsRefusal(err)
		if refusal == nil || job.Refusable() || refusal.Code == explainer.NoConfig {
			return p, err
		}
		job = job.WithoutExclusions()
		if err := sleep(ctx, placeRetryMillis); err != nil {
			return figseam.Placement{}, err
		}
	}
}

// sleep waits for a number of milliseconds. It returns the context's error if ctx ends
// first.
func sleep(ctx context.Context, millis int64) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(millis) * time.Millisecond):
		return nil
	}
}

// placeOnce tries each candidate cell once. If all refuse, it returns the refusal with
// the earliest retry time.
func (r *Router) placeOnce(ctx context.Context, job figseam.Job) (figseam.Placement, error) {
	config := r.config()
	if config == nil {
		return figseam.Placement{}, figseam.NewRefusal(explainer.NoConfig, "instance has no configuration yet")
	}
	job.Holder = r.membership.Self().ID
	earliest := figseam.NewRefusal(explainer.NoAvailableEngine, "pool %q has no engine that can be reached", job.Pool)
	for i, cell := range r.candidates(config, job) {
		if i > 0 && !r.mayAccept(cell) {
			continue
		}
		p, err := r.placeInCell(ctx, cell, job)
		if err == nil {
			r.addHeld(p, job)
			return p, nil
		}
		refusal := figseam.AsRefusal(err)
		if refusal == nil {
			return figseam.Placement{}, err
		}
		r.recordBusy(cell, refusal)
		earliest = earlierRetry(earliest, refusal, i == 0)
	}
	return figseam.Placement{}, earliest
}

// earlierRetry returns the refusal with the earlier retry time. The first cell's refusal
// always replaces the initial one.
func earlierRetry(earliest, next *figseam.Refusal, first bool) *figseam.Refusal {
	if first || next.RetryAt.Before(earliest.RetryAt) {
		return next
	}
	return earliest
}

// candidates returns the cells to try, in order: up to two cells of this data centre,
// chosen by a hash of the request so that a resent request finds its stream, then one
// random cell in each of up to maxRemoteDataCentres others.
func (r *Router) candidates(config *figseam.Config, job figseam.Job) []figseam.CellID {
	home := r.membership.Self().DataCentre
	local := sortedCells(r.partitions.cellsOf(config, job.Pool, home))
	slices.SortFunc(local, func(a, b figseam.CellID) int {
		return cmp.Compare(seededHash(string(job.Request), uint64(b.Index)), seededHash(string(job.Request), uint64(a.Index)))
	})
	if len(local) > 2 {
		local = local[:2]
	}
	var remote []figseam.CellID
	for _, dc := range r.otherDataCentres() {
		cells := sortedCells(r.partitions.cellsOf(config, job.Pool, dc))
		if len(cells) > 0 {
			remote = append(remote, cells[rand.IntN(len(cells))])
		}
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	if len(remote) > maxRemoteDataCentres {
		remote = remote[:maxRemoteDataCentres]
	}
	return append(local, remote...)
}

// otherDataCentres returns the other data centres with a member that accepts work.
func (r *Router) otherDataCentres() []figseam.DataCentre {
	home := r.membership.Self().DataCentre
	var others []figseam.DataCentre
	for _, m := range r.membership.Members() {
		if m.DataCentre != home && m.AcceptsWork() && !slices.Contains(others, m.DataCentre) {
			others = append(others, m.DataCentre)
		}
	}
	return others
}

// mayAccept reports whether the retry time of the cell's last refusal has passed.
func (r *Router) mayAccept(cell figseam.CellID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().After(r.busyUntil[cell])
}

// recordBusy records the retry time of a cell's refusal, if it has one.
func (r *Router) recordBusy(cell figseam.CellID, refusal *figseam.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !refusal.RetryAt.IsZero() {
		r.busyUntil[cell] = refusal.RetryAt.Time()
	}
}

// placeInCell places the job with the cell's owner, or with the next owner if the first
// one is unreachable or loses the cell while the job is queued. The retry is safe: a job
// that was not placed has not started.
func (r *Router) placeInCell(ctx context.Context, cell figseam.CellID, job figseam.Job) (figseam.Placement, error) {
	retryUntil := job.FirstTokenDeadline
	if !job.Refusable() {
		retryUntil = figseam.DeadlineAfterMillis(ownerWaitMillis)
	}
	for {
		owner := r.owner(cell)
		p, err := r.sendPlace(ctx, owner, cell, job)
		r.recordReachability(owner, err)
		if err == nil || ctx.Err() != nil || figseam.AsRefusal(err) != nil {
			return p, err
		}
		if owner == "" || retryUntil.Passed() {
			return figseam.Placement{}, figseam.NewRefusal(explainer.OwnerUnavailable, "owner of cell %s/%s/%d does not answer", cell.Pool, cell.DataCentre, cell.Index)
		}
		if err := sleep(ctx, ownerRetryMillis); err != nil {
			return figseam.Placement{}, err
		}
	}
}

var errNoOwner = errors.New("cell has no owner")

func (r *Router) sendPlace(ctx context.Context, owner figseam.InstanceID, cell figseam.CellID, job figseam.Job) (figseam.Placement, error) {
	switch owner {
	case "":
		return figseam.Placement{}, errNoOwner
	case r.membership.Self().ID:
		return r.host.Place(ctx, cell, job)
	default:
		return r.peers.Place(ctx, owner, cell, job)
	}
}

// owner returns the owner of a cell. It skips instances that were unreachable within the
// last unreachableMillis, unless no other instance can own the cell.
func (r *Router) owner(cell figseam.CellID) figseam.InstanceID {
	members := r.membership.Members()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unreachableUntil) == 0 {
		return CellOwner(cell, members)
	}
	reachable := make([]figseam.Member, 0, len(members))
	for _, m := range members {
		if !now.Before(r.unreachableUntil[m.ID]) {
			reachable = append(reachable, m)
		}
	}
	if owner := CellOwner(cell, reachable); owner != "" {
		return owner
	}
	return CellOwner(cell, members)
}

// recordReachability marks the owner as unreachable if err is
// [figseam.ErrUnreachable], and as reachable otherwise.
func (r *Router) recordReachability(owner figseam.InstanceID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, figseam.ErrUnreachable) {
		r.unreachableUntil[owner] = time.Now().Add(unreachableMillis * time.Millisecond)
		return
	}
	delete(r.unreachableUntil, owner)
}

// addHeld records a new grant. For a resumed stream it records the running attempt.
func (r *Router) addHeld(p figseam.Placement, job figseam.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &heldGrant{cell: p.Cell, owner: p.Owner}
	h.GrantRecord = figseam.GrantRecord{Grant: p.Grant, Job: job, Prefill: p.Prefill, Decode: p.Decode, Stage: figseam.JobStagePrefilling}
	if p.ResumeAttempt != "" {
		h.Stage, h.Job.Attempt = figseam.JobStageDecoding, p.ResumeAttempt
	}
	r.held[p.Grant] = h
}

// AssignDecode returns the placement with a decode engine assigned by the cell's owner.
// While the owner cannot be reached, it retries with the next owner until heldUntil. See
// [figseam.Placer].
func (r *Router) AssignDecode(ctx context.Context, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	for {
		owner := r.owner(p.Cell)
		assigned, err := r.sendAssignDecode(ctx, owner, p, heldUntil)
		r.recordReachability(owner, err)
		if err == nil {
			r.recordDecode(assigned)
			return assigned, nil
		}
		if figseam.AsRefusal(err) != nil || ctx.Err() != nil || heldUntil.Passed() {
			return figseam.Placement{}, err
		}
		if err := sleep(ctx, ownerRetryMillis); err != nil {
			return figseam.Placement{}, err
		}
		r.announceGrants(ctx, p.Cell, r.owner(p.Cell))
	}
}

func (r *Router) sendAssignDecode(ctx context.Context, owner figseam.InstanceID, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	switch owner {
	case "":
		return figseam.Placement{}, errNoOwner
	case r.membership.Self().ID:
		return r.host.AssignDecode(ctx, p, heldUntil)
	default:
		return r.peers.AssignDecode(ctx, owner, p, heldUntil)
	}
}

func (r *Router) recordDecode(p figseam.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.held[p.Grant]; ok {
		h.Decode = p.Decode
	}
}

// ReportProgress sends the progress of a job to the cell's owner. If the owner fails
// before it processes the report, the next owner receives the progress with the announced
// grants.
func (r *Router) ReportProgress(_ context.Context, p figseam.Progress) {
	r.mu.Lock()
	if h, ok := r.held[p.Grant]; ok {
		h.Stage, h.OutputTokens = max(h.Stage, p.Stage), max(h.OutputTokens, p.OutputTokens)
		if p.Stage == figseam.JobStageEnded {
			delete(r.held, p.Grant)
		}
	}
	r.mu.Unlock()
	owner := r.owner(p.Cell)
	if owner == r.membership.Self().ID {
		r.host.ReportProgress(p)
		return
	}
	r.peers.ReportProgress(owner, p)
}

// Run renews the leases of the grants that this instance holds, until ctx ends. It checks
// for changes of owner four times per leaseRenewMillis. The returned channel is closed
// after the last renewal.
func (r *Router) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(leaseRenewMillis * time.Millisecond / 4)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			r.syncOwners(ctx, i%4 == 0)
		}
	}()
	return done
}

// syncOwners announces grants to new owners of their cells. If renew is set, it also
// renews all leases, and announces the grants of a cell whose owner has a different set.
func (r *Router) syncOwners(ctx context.Context, renew bool) {
	for _, cell := range r.heldCells() {
		owner := r.owner(cell)
		if owner == "" {
			continue
		}
		if r.updateOwner(cell, owner) || (renew && !r.renewLeases(ctx, cell, owner)) {
			r.announceGrants(ctx, cell, owner)
		}
	}
}

func (r *Router) heldCells() []figseam.CellID {
	r.mu.Lock()
	defer r.mu.Unlock()
	cells := map[figseam.CellID]bool{}
	for _, h := range r.held {
		cells[h.cell] = true
	}
	return sortedCells(cells)
}

// updateOwner records the owner of a cell's held grants and reports whether it changed.
func (r *Router) updateOwner(cell figseam.CellID, owner figseam.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, h := range r.held {
		if h.cell == cell && h.owner != owner {
			h.owner = owner
			changed = true
		}
	}
	return changed
}

// renewLeases renews the leases of a cell's held grants. It reports false if the owner
// has a different set of grants. An unreachable owner counts as having the same set.
func (r *Router) renewLeases(ctx context.Context, cell figseam.CellID, owner figseam.InstanceID) bool {
	var held GrantDigest
	for _, h := range r.heldInCell(cell) {
		held = held.With(h.Grant)
	}
	if owner == r.membership.Self().ID {
		return r.host.RenewLeases(cell, owner, held)
	}
	same, err := r.peers.RenewLeases(ctx, owner, cell, held)
	return err != nil || same
}

// announceGrants sends all held grants of a cell to its owner. Errors are ignored: the
// next renewal finds the difference.
func (r *Router) announceGrants(ctx context.Context, cell figseam.CellID, owner figseam.InstanceID) {
	held := r.heldInCell(cell)
	if owner == r.membership.Self().ID {
		r.host.AnnounceGrants(cell, owner, held)
		return
	}
	_ = r.peers.AnnounceGrants(ctx, owner, cell, held)
}

// heldInCell returns the held grants of a cell, ordered by identifier.
func (r *Router) heldInCell(cell figseam.CellID) []figseam.GrantRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var held []figseam.GrantRecord
	for _, h := range r.held {
		if h.cell == cell {
			held = append(held, h.GrantRecord)
		}
	}
	slices.SortFunc(held, func(a, b figseam.GrantRecord) int { return cmp.Compare(a.Grant, b.Grant) })
	return held
}
