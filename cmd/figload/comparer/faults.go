package comparer

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/cmd/figload/launcher"
	"github.com/figseam/figseam/emulator"
)

// faultPlan lists the faults of a run.
type faultPlan struct {
	// abandonShare is the share of callers who disconnect early.
	abandonShare float64
	// lostCapacityShare is the estimated share of the capacity bound that engine faults
	// remove, averaged over the run. Each role has 6 engines, so an engine that fails at
	// 0.3 of the run and stays faulty contributes 0.7 / 6.
	lostCapacityShare float64
	steps             []faultStep
}

// faultStep changes the faults of a deployment once during a run.
type faultStep struct {
	// runShare is the time of the step as a share of the run's arrival period.
	runShare float64
	apply    func(d *launcher.Deployment, r *rand.Rand)
}

// faultPlans holds the plans by name.
var faultPlans = map[string]faultPlan{
	"none":   {},
	"cancel": {abandonShare: 0.2},
	"engine-kill": {lostCapacityShare: (0.7 + 0.4) / 6, steps: []faultStep{
		{0.3, injectOnRandomEngine(figseam.RoleDecode, emulator.Faults{Crashed: true})},
		{0.6, injectOnRandomEngine(figseam.RolePrefill, emulator.Faults{Crashed: true})},
	}},
	"stalled-transfer": {lostCapacityShare: 0.2 / 6, steps: []faultStep{
		{0.3, injectOnRandomEngine(figseam.RolePrefill, emulator.Faults{StallTransfers: true})},
		{0.5, clearFaults},
	}},
	"slow-link": {lostCapacityShare: 0.6 / 6, steps: []faultStep{
		{0.2, injectOnRandomEngine(figseam.RolePrefill, emulator.Faults{LinkSlowdownFactor: 8})},
		{0.8, clearFaults},
	}},
	"stale-load": {steps: []faultStep{{0.1, injectOnAllEngines(emulator.Faults{FreezeLoadReport: true})}}},
	"cache-gaps": {steps: []faultStep{{0, injectOnAllEngines(emulator.Faults{DropCacheEvents: true})}}},
	"instance-kill": {steps: []faultStep{
		{0.3, killRandomInstance},
		{0.6, restartKilledInstances},
	}},
	"mixed": {abandonShare: 0.1, lostCapacityShare: (0.3 + 0.2 + 0.15) / 6, steps: []faultStep{
		{0.15, injectOnRandomEngine(figseam.RolePrefill, emulator.Faults{LinkSlowdownFactor: 6})},
		{0.25, injectOnRandomEngine(figseam.RoleDecode, emulator.Faults{Crashed: true})},
		{0.35, killRandomInstance},
		{0.45, clearFaults},
		{0.5, injectOnRandomEngine(figseam.RolePrefill, emulator.Faults{StallTransfers: true})},
		{0.6, restartKilledInstances},
		{0.65, clearFaults},
	}},
}

// inject executes the steps of the plan in order and returns after the last one or when
// ctx ends. The seed selects the affected engines and instances.
func (p faultPlan) inject(ctx context.Context, d *launcher.Deployment, seed uint64, arrivalPeriod time.Duration) {
	r := rand.New(rand.NewPCG(seed, 4))
	start := time.Now()
	for _, step := range p.steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(step.runShare * float64(arrivalPeriod))))):
		}
		step.apply(d, r)
	}
}

// injectOnRandomEngine returns a step function that sets the faults of a random engine of
// the role.
func injectOnRandomEngine(role figseam.Role, faults emulator.Faults) func(*launcher.Deployment, *rand.Rand) {
	return func(d *launcher.Deployment, r *rand.Rand) {
		engines := sortedEngines(d, func(e *emulator.Engine) bool { return e.Role() == role })
		engines[r.IntN(len(engines))].SetFaults(faults)
	}
}

// injectOnAllEngines returns a step function that sets the faults of every engine.
func injectOnAllEngines(faults emulator.Faults) func(*launcher.Deployment, *rand.Rand) {
	return func(d *launcher.Deployment, _ *rand.Rand) {
		for _, e := range sortedEngines(d, func(*emulator.Engine) bool { return true }) {
			e.SetFaults(faults)
		}
	}
}

func clearFaults(d *launcher.Deployment, r *rand.Rand) { injectOnAllEngines(emulator.Faults{})(d, r) }

// sortedEngines returns the engines for which keep returns true. It sorts them by name,
// so that a seed selects the same engine in every run.
func sortedEngines(d *launcher.Deployment, keep func(*emulator.Engine) bool) []*emulator.Engine {
	engines := slices.Collect(maps.Values(d.Fleet.Engines()))
	engines = slices.DeleteFunc(engines, func(e *emulator.Engine) bool { return !keep(e) })
	slices.SortFunc(engines, func(a, b *emulator.Engine) int { return cmp.Compare(a.Name(), b.Name()) })
	return engines
}

func killRandomInstance(d *launcher.Deployment, r *rand.Rand) {
	settings := d.InstanceSettings[r.IntN(len(d.InstanceSettings))]
	d.KillInstance(settings.Instance)
}

func restartKilledInstances(d *launcher.Deployment, _ *rand.Rand) { _ = d.RestartKilled() }
