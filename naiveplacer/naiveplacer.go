// Package naiveplacer implements a simple placer as the baseline that the scheduler is
// compared with. It chooses the engine that is least loaded according to delayed load
// reports, starts the prefill at once and looks for decode memory afterwards.
package naiveplacer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

// pollMillis is the interval at which a full pool is checked again.
const pollMillis = 50

// Placer implements [figseam.Placer] with load reports only.
type Placer struct {
	config func() *figseam.Config
	states figseam.EndpointStates

	// mu guards everything below.
	mu       sync.Mutex
	reports  map[figseam.EndpointID]figseam.LoadReport
	excluded map[figseam.GrantID][]figseam.EndpointID
	pools    map[figseam.GrantID]string
}

// New returns a placer without load reports.
func New(config func() *figseam.Config, states figseam.EndpointStates) *Placer {
	return &Placer{
		config: config, states: states, reports: map[figseam.EndpointID]figseam.LoadReport{},
		excluded: map[figseam.GrantID][]figseam.EndpointID{}, pools: map[figseam.GrantID]string{},
	}
}

// UpdateLoad stores the latest load report of an endpoint.
func (g *Placer) UpdateLoad(endpoint figseam.EndpointID, report figseam.LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports[endpoint] = report
}

// Place returns the prefill engine with the fewest queued tokens. It does not block.
func (g *Placer) Place(_ context.Context, job figseam.Job) (figseam.Placement, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.leastLoaded(job.Pool, figseam.RolePrefill, job.ExcludedEndpoints, func(l figseam.LoadReport) int { return l.QueuedTokens })
	if !ok {
		return figseam.Placement{}, figseam.NewRefusal(explainer.NoAvailableEngine, "pool %q has no prefill engine", job.Pool)
	}
	id := figseam.GrantID(uuid.NewString())
	g.pools[id] = job.Pool
	return figseam.Placement{Grant: id, Prefill: e.Name, Code: explainer.PlacedByLoadReport}, nil
}

// AssignDecode returns the decode engine with the most free pieces according to the
// reports. It excludes engines that the placement had before, and fails if no engine is
// available before heldUntil.
func (g *Placer) AssignDecode(ctx context.Context, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	for !heldUntil.Passed() {
		if e, ok := g.selectDecode(p); ok {
			return p.WithDecode(e.Name), nil
		}
		select {
		case <-ctx.Done():
			return figseam.Placement{}, ctx.Err()
		case <-time.After(pollMillis * time.Millisecond):
		}
	}
	return figseam.Placement{}, figseam.NewRefusal(explainer.NoAvailableEngine, "no decode engine had room")
}

func (g *Placer) selectDecode(p figseam.Placement) (figseam.Endpoint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Decode != "" {
		g.excluded[p.Grant] = append(g.excluded[p.Grant], p.Decode)
	}
	negatedFreePieces := func(l figseam.LoadReport) int { return -l.FreePieces }
	return g.leastLoaded(g.pools[p.Grant], figseam.RoleDecode, g.excluded[p.Grant], negatedFreePieces)
}

// leastLoaded returns the live engine with the lowest load, and a random one among equals.
// The caller holds the mutex.
func (g *Placer) leastLoaded(pool string, role figseam.Role, exclude []figseam.EndpointID, load func(figseam.LoadReport) int) (figseam.Endpoint, bool) {
	var best figseam.Endpoint
	found := false
	engines := slices.Clone(g.config().PoolEndpoints(pool))
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	for _, e := range engines {
		if e.Role != role || slices.Contains(exclude, e.Name) || g.states.State(e.Name) != figseam.EndpointLive {
			continue
		}
		if !found || load(g.reports[e.Name]) < load(g.reports[best.Name]) {
			best, found = e, true
		}
	}
	return best, found
}

// ReportProgress drops the state of ended jobs.
func (g *Placer) ReportProgress(_ context.Context, p figseam.Progress) {
	if p.Stage != figseam.JobStageEnded {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.excluded, p.Grant)
	delete(g.pools, p.Grant)
}
