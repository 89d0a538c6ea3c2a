// Package naiveplacer is the naive placer that the scheduler is measured against:
// the least loaded engine by the lagging load report, prefill at once, decode
// where there is room afterwards.
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

// pollMillis is the pause before a full pool is looked at again.
const pollMillis = 50

// Placer implements [figseam.Placer] by load reports alone.
type Placer struct {
	config func() *figseam.Config
	states figseam.EndpointStates

	// mu guards everything below.
	mu    sync.Mutex
	loads map[figseam.EndpointID]figseam.LoadReport
	tried map[figseam.GrantID][]figseam.EndpointID
	pools map[figseam.GrantID]string
}

// New returns a placer that has seen no report.
func New(config func() *figseam.Config, states figseam.EndpointStates) *Placer {
	return &Placer{
		config: config, states: states, loads: map[figseam.EndpointID]figseam.LoadReport{},
		tried: map[figseam.GrantID][]figseam.EndpointID{}, pools: map[figseam.GrantID]string{},
	}
}

// UpdateLoad takes a load report.
func (g *Placer) UpdateLoad(endpoint figseam.EndpointID, report figseam.LoadReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads[endpoint] = report
}

// Place returns the prefill engine with the fewest queued tokens, at once.
func (g *Placer) Place(_ context.Context, job figseam.Job) (figseam.Placement, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.least(job.Pool, figseam.RolePrefill, job.ExcludedEndpoints, func(l figseam.LoadReport) int { return l.QueuedTokens })
	if !ok {
		return figseam.Placement{}, figseam.NewRefusal(explainer.NoAvailableEngine, "pool %q has no prefill engine", job.Pool)
	}
	id := figseam.GrantID(uuid.NewString())
	g.pools[id] = job.Pool
	return figseam.Placement{Grant: id, Prefill: e.Name, Code: explainer.PlacedByLoadReport}, nil
}

// AssignDecode returns the decode engine with the most free pieces in its report.
func (g *Placer) AssignDecode(ctx context.Context, p figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	for !heldUntil.Passed() {
		if e, ok := g.seat(p); ok {
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

func (g *Placer) seat(p figseam.Placement) (figseam.Endpoint, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Decode != "" {
		g.tried[p.Grant] = append(g.tried[p.Grant], p.Decode)
	}
	fewest := func(l figseam.LoadReport) int { return -l.FreePieces }
	return g.least(g.pools[p.Grant], figseam.RoleDecode, g.tried[p.Grant], fewest)
}

// least returns the live engine with the lowest load, a random one of equals. The
// caller holds the mutex.
func (g *Placer) least(pool string, role figseam.Role, avoid []figseam.EndpointID, load func(figseam.LoadReport) int) (figseam.Endpoint, bool) {
	var best figseam.Endpoint
	found := false
	engines := slices.Clone(g.config().PoolEndpoints(pool))
	rand.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	for _, e := range engines {
		if e.Role != role || slices.Contains(avoid, e.Name) || g.states.State(e.Name) != figseam.EndpointLive {
			continue
		}
		if !found || load(g.loads[e.Name]) < load(g.loads[best.Name]) {
			best, found = e, true
		}
	}
	return best, found
}

// ReportProgress forgets ended jobs.
func (g *Placer) ReportProgress(_ context.Context, p figseam.Progress) {
	if p.Stage != figseam.JobStageEnded {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.tried, p.Grant)
	delete(g.pools, p.Grant)
}
