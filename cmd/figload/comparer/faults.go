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

// faultPlan is what goes wrong during a run.
type faultPlan struct {
	// cancels is the share of callers who leave early.
	cancels float64
	// lost is the part of one role's engines that is at fault, on average over
	// the run.
	lost  float64
	steps []faultStep
}

// faultStep is done at a share of the run's length.
type faultStep struct {
	at float64
	do func(d *launcher.Deployment, r *rand.Rand)
}

// faults are the plans by name.
var faults = map[string]faultPlan{
	"none":   {},
	"cancel": {cancels: 0.2},
	"engine-kill": {lost: (0.7 + 0.4) / 6, steps: []faultStep{
		{0.3, onEngine(figseam.RoleDecode, emulator.Faults{Crashed: true})},
		{0.6, onEngine(figseam.RolePrefill, emulator.Faults{Crashed: true})},
	}},
	"stalled-transfer": {lost: 0.2 / 6, steps: []faultStep{
		{0.3, onEngine(figseam.RolePrefill, emulator.Faults{StallTransfers: true})},
		{0.5, heal},
	}},
	"slow-link": {lost: 0.6 / 6, steps: []faultStep{
		{0.2, onEngine(figseam.RolePrefill, emulator.Faults{LinkSlowdownFactor: 8})},
		{0.8, heal},
	}},
	"stale-load": {steps: []faultStep{{0.1, onAll(emulator.Faults{FreezeLoadReport: true})}}},
	"cache-gaps": {steps: []faultStep{{0, onAll(emulator.Faults{DropCacheEvents: true})}}},
	"instance-kill": {steps: []faultStep{
		{0.3, killInstance},
		{0.6, restartKilled},
	}},
	"mixed": {cancels: 0.1, lost: (0.3 + 0.2 + 0.15) / 6, steps: []faultStep{
		{0.15, onEngine(figseam.RolePrefill, emulator.Faults{LinkSlowdownFactor: 6})},
		{0.25, onEngine(figseam.RoleDecode, emulator.Faults{Crashed: true})},
		{0.35, killInstance},
		{0.45, heal},
		{0.5, onEngine(figseam.RolePrefill, emulator.Faults{StallTransfers: true})},
		{0.6, restartKilled},
		{0.65, heal},
	}},
}

// inject carries out a plan until it is done or ctx ends.
func (p faultPlan) inject(ctx context.Context, d *launcher.Deployment, seed uint64, length time.Duration) {
	r := rand.New(rand.NewPCG(seed, 4))
	began := time.Now()
	for _, s := range p.steps {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(time.Duration(s.at * float64(length))))):
		}
		s.do(d, r)
	}
}

func onEngine(role figseam.Role, f emulator.Faults) func(*launcher.Deployment, *rand.Rand) {
	return func(d *launcher.Deployment, r *rand.Rand) {
		engines := sorted(d, func(e *emulator.Engine) bool { return e.Role() == role })
		engines[r.IntN(len(engines))].SetFaults(f)
	}
}

func onAll(f emulator.Faults) func(*launcher.Deployment, *rand.Rand) {
	return func(d *launcher.Deployment, _ *rand.Rand) {
		for _, e := range sorted(d, func(*emulator.Engine) bool { return true }) {
			e.SetFaults(f)
		}
	}
}

func heal(d *launcher.Deployment, r *rand.Rand) { onAll(emulator.Faults{})(d, r) }

func sorted(d *launcher.Deployment, keep func(*emulator.Engine) bool) []*emulator.Engine {
	all := slices.Collect(maps.Values(d.Fleet.Engines()))
	all = slices.DeleteFunc(all, func(e *emulator.Engine) bool { return !keep(e) })
	slices.SortFunc(all, func(a, b *emulator.Engine) int { return cmp.Compare(a.Name(), b.Name()) })
	return all
}

func killInstance(d *launcher.Deployment, r *rand.Rand) {
	s := d.InstanceSettings[r.IntN(len(d.InstanceSettings))]
	d.KillInstance(s.Instance)
}

func restartKilled(d *launcher.Deployment, _ *rand.Rand) { _ = d.RestartKilled() }
