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
	// ownerRetryMillis is the pause before an owner that cannot be reached is
	// looked up again.
	ownerRetryMillis = 50
	// persistMillis is the pause before a job that may not be refused is tried
	// again.
	persistMillis = 200
	// ownerWaitMillis bounds how long a job without a deadline for its first
	// token waits for an owner to appear.
	ownerWaitMillis = 20_000
	// renewMillis is how often holders renew their leases.
	renewMillis = 2000
	// silentMillis is how long an instance that could not be reached is passed
	// over as an owner, before the detector knows of it.
	silentMillis = 2000
	// maxSpills bounds the other data centres that are asked for one job.
	maxSpills = 2
)

// Peers carries messages to the owners of cells on other instances.
type Peers interface {
	Place(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, job figseam.Job) (figseam.Placement, error)
	AssignDecode(ctx context.Context, to figseam.InstanceID, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error)
	Report(to figseam.InstanceID, p figseam.Progress)
	RenewLeases(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, held GrantDigest) (bool, error)
	AnnounceGrants(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, held []figseam.GrantRecord) error
}

// Router is the entry side of placement. It implements [figseam.Placer].
type Router struct {
	membership figseam.Membership
	config     func() *figseam.Config
	host       *CellHost
	peers      Peers
	plan       plan

	// mu guards everything below.
	mu   sync.Mutex
	held map[figseam.GrantID]*heldGrant
	// busyTo remembers until when a cell said that it refuses.
	busyTo map[figseam.CellID]time.Time
	// silentTo remembers until when an instance is passed over as an owner, since
	// it could not be reached.
	silentTo map[figseam.InstanceID]time.Time
}

type heldGrant struct {
	figseam.GrantRecord
	cell  figseam.CellID
	owner figseam.InstanceID
}

// NewRouter returns a router that holds no grant.
func NewRouter(membership figseam.Membership, config func() *figseam.Config, host *CellHost, peers Peers) *Router {
	return &Router{
		membership: membership, config: config, host: host, peers: peers,
		held: map[figseam.GrantID]*heldGrant{}, busyTo: map[figseam.CellID]time.Time{},
		silentTo: map[figseam.InstanceID]time.Time{},
	}
}

// Place finds a cell for the job: first in this data centre, then in others if
// the cells here would miss the deadline. A job that may not be refused is tried
// again for as long as its caller waits.
func (r *Router) Place(ctx context.Context, job figseam.Job) (figseam.Placement, error) {
	for {
		p, err := r.placeOnce(ctx, job)
		refusal := figseam.AsRefusal(err)
		if refusal == nil || job.Refusable() || refusal.Code == explainer.NoConfig {
			return p, err
		}
		job = job.WithoutExclusions()
		if err := pause(ctx, persistMillis); err != nil {
			return figseam.Placement{}, err
		}
	}
}

// pause waits, unless ctx ends before.
func pause(ctx context.Context, millis int64) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(millis) * time.Millisecond):
		return nil
	}
}

func (r *Router) placeOnce(ctx context.Context, job figseam.Job) (figseam.Placement, error) {
	config := r.config()
	if config == nil {
		return figseam.Placement{}, figseam.NewRefusal(explainer.NoConfig, "instance has no configuration yet")
	}
	job.Holder = r.membership.Self().ID
	best := figseam.NewRefusal(explainer.NoAvailableEngine, "pool %q has no engine that can be reached", job.Pool)
	for i, cell := range r.candidates(config, job) {
		if i > 0 && !r.worthAsking(cell) {
			continue
		}
		p, err := r.placeIn(ctx, cell, job)
		if err == nil {
			r.hold(p, job)
			return p, nil
		}
		refusal := figseam.AsRefusal(err)
		if refusal == nil {
			return figseam.Placement{}, err
		}
		r.noteBusy(cell, refusal)
		best = earlierRetry(best, refusal, i == 0)
	}
	return figseam.Placement{}, best
}

func earlierRetry(best, next *figseam.Refusal, first bool) *figseam.Refusal {
	if first || next.RetryAt.Before(best.RetryAt) {
		return next
	}
	return best
}

// candidates returns the cells to ask, in order: one of this data centre, picked
// by request so that a resend finds its stream, a second one, then others.
func (r *Router) candidates(config *figseam.Config, job figseam.Job) []figseam.CellID {
	home := r.membership.Self().DataCentre
	local := sortedCells(r.plan.of(config, job.Pool, home))
	slices.SortFunc(local, func(a, b figseam.CellID) int {
		return cmp.Compare(mix(string(job.Request), uint64(b.Index)), mix(string(job.Request), uint64(a.Index)))
	})
	if len(local) > 2 {
		local = local[:2]
	}
	var remote []figseam.CellID
	for _, dc := range r.otherDataCentres() {
		cells := sortedCells(r.plan.of(config, job.Pool, dc))
		if len(cells) > 0 {
			remote = append(remote, cells[rand.IntN(len(cells))])
		}
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	if len(remote) > maxSpills {
		remote = remote[:maxSpills]
	}
	return append(local, remote...)
}

func (r *Router) otherDataCentres() []figseam.DataCentre {
	home := r.membership.Self().DataCentre
	var found []figseam.DataCentre
	for _, m := range r.membership.Members() {
		if m.DataCentre != home && m.AcceptsWork() && !slices.Contains(found, m.DataCentre) {
			found = append(found, m.DataCentre)
		}
	}
	return found
}

func (r *Router) worthAsking(cell figseam.CellID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().After(r.busyTo[cell])
}

func (r *Router) noteBusy(cell figseam.CellID, refusal *figseam.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !refusal.RetryAt.IsZero() {
		r.busyTo[cell] = refusal.RetryAt.Time()
	}
}

// placeIn asks the owner of one cell, and its successor when it is lost while
// the job waits. A job that was not placed did not start, so that is safe.
func (r *Router) placeIn(ctx context.Context, cell figseam.CellID, job figseam.Job) (figseam.Placement, error) {
	giveUp := job.FirstTokenDeadline
	if !job.Refusable() {
		giveUp = figseam.DeadlineAfterMillis(ownerWaitMillis)
	}
	for {
		owner := r.owner(cell)
		p, err := r.askPlace(ctx, owner, cell, job)
		r.noteAnswer(owner, err)
		if err == nil || ctx.Err() != nil || figseam.AsRefusal(err) != nil {
			return p, err
		}
		if owner == "" || giveUp.Passed() {
			return figseam.Placement{}, figseam.NewRefusal(explainer.OwnerUnavailable, "owner of cell %s/%s/%d does not answer", cell.Pool, cell.DataCentre, cell.Index)
		}
		if err := pause(ctx, ownerRetryMillis); err != nil {
			return figseam.Placement{}, err
		}
	}
}

var errNoOwner = errors.New("cell has no owner")

func (r *Router) askPlace(ctx context.Context, owner figseam.InstanceID, cell figseam.CellID, job figseam.Job) (figseam.Placement, error) {
	switch owner {
	case "":
		return figseam.Placement{}, errNoOwner
	case r.membership.Self().ID:
		return r.host.Place(ctx, cell, job)
	default:
		return r.peers.Place(ctx, owner, cell, job)
	}
}

// owner returns the owner of a cell, passing over instances that could not be
// reached a moment ago.
func (r *Router) owner(cell figseam.CellID) figseam.InstanceID {
	members := r.membership.Members()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.silentTo) == 0 {
		return CellOwner(cell, members)
	}
	reachable := make([]figseam.Member, 0, len(members))
	for _, m := range members {
		if !now.Before(r.silentTo[m.ID]) {
			reachable = append(reachable, m)
		}
	}
	if owner := CellOwner(cell, reachable); owner != "" {
		return owner
	}
	return CellOwner(cell, members)
}

// noteAnswer notes whether an owner could be reached.
func (r *Router) noteAnswer(owner figseam.InstanceID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, figseam.ErrUnreachable) {
		r.silentTo[owner] = time.Now().Add(silentMillis * time.Millisecond)
		return
	}
	delete(r.silentTo, owner)
}

func (r *Router) hold(p figseam.Placement, job figseam.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &heldGrant{cell: p.Cell, owner: p.Owner}
	h.GrantRecord = figseam.GrantRecord{Grant: p.Grant, Job: job, Prefill: p.Prefill, Decode: p.Decode, Stage: figseam.JobStagePrefilling}
	if p.ResumeAttempt != "" {
		h.Stage, h.Job.Attempt = figseam.JobStageDecoding, p.ResumeAttempt
	}
	r.held[p.Grant] = h
}

// AssignDecode asks the owner for the decode engine. See [figseam.Placer].
func (r *Router) AssignDecode(ctx context.Context, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	for {
		owner := r.owner(p.Cell)
		seated, err := r.askSeat(ctx, owner, p, heldUntil)
		r.noteAnswer(owner, err)
		if err == nil {
			r.noteSeat(seated)
			return seated, nil
		}
		if figseam.AsRefusal(err) != nil || ctx.Err() != nil || heldUntil.Passed() {
			return figseam.Placement{}, err
		}
		if err := pause(ctx, ownerRetryMillis); err != nil {
			return figseam.Placement{}, err
		}
		r.announce(ctx, p.Cell, r.owner(p.Cell))
	}
}

func (r *Router) askSeat(ctx context.Context, owner figseam.InstanceID, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	switch owner {
	case "":
		return figseam.Placement{}, errNoOwner
	case r.membership.Self().ID:
		return r.host.AssignDecode(ctx, p, heldUntil)
	default:
		return r.peers.AssignDecode(ctx, owner, p, heldUntil)
	}
}

func (r *Router) noteSeat(p figseam.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.held[p.Grant]; ok {
		h.Decode = p.Decode
	}
}

// ReportProgress tells the owner how far a job has come. A message lost with the owner
// is made good by the next renewal.
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
		r.host.Report(p)
		return
	}
	r.peers.Report(owner, p)
}

// Run renews the leases of the grants that this instance holds, until ctx ends.
// It returns a channel that is closed at the end.
func (r *Router) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(renewMillis * time.Millisecond / 4)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			r.followOwners(ctx, i%4 == 0)
		}
	}()
	return done
}

// followOwners announces grants to owners that changed, and with renew set
// renews all leases.
func (r *Router) followOwners(ctx context.Context, renew bool) {
	for _, cell := range r.heldCells() {
		owner := r.owner(cell)
		if owner == "" {
			continue
		}
		if r.changeOwner(cell, owner) || (renew && !r.renew(ctx, cell, owner)) {
			r.announce(ctx, cell, owner)
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

// changeOwner notes the present owner and reports whether it is a new one.
func (r *Router) changeOwner(cell figseam.CellID, owner figseam.InstanceID) bool {
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

func (r *Router) renew(ctx context.Context, cell figseam.CellID, owner figseam.InstanceID) bool {
	var held GrantDigest
	for _, h := range r.heldIn(cell) {
		held = held.With(h.Grant)
	}
	if owner == r.membership.Self().ID {
		return r.host.RenewLeases(cell, owner, held)
	}
	same, err := r.peers.RenewLeases(ctx, owner, cell, held)
	return err != nil || same
}

func (r *Router) announce(ctx context.Context, cell figseam.CellID, owner figseam.InstanceID) {
	held := r.heldIn(cell)
	if owner == r.membership.Self().ID {
		r.host.AnnounceGrants(cell, owner, held)
		return
	}
	_ = r.peers.AnnounceGrants(ctx, owner, cell, held)
}

func (r *Router) heldIn(cell figseam.CellID) []figseam.GrantRecord {
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
