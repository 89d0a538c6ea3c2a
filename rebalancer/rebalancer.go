// Package rebalancer decides how many of a service's engines run prefill and how many run
// decode.
//
// Load pattern: traffic whose prompts and answers need another ratio of prefill to decode
// engines than there is, above all bursts in which the memory of the decode engines is
// full while prefill engines are idle. A few engines at a time change their stage, and only
// if that lowers the load of the busier stage by a margin, and if the stage that loses an
// engine has spare capacity: an engine that changes its stage is unavailable for seconds.
// Crashed engines restart, mostly sooner than an engine changes its stage, so nothing
// changes soon after engines joined or left.
package rebalancer

import (
	"slices"

	"github.com/figseam/figseam"
)

const (
	// prefillCeiling is the utilisation of prefill engines above which prompts queue up.
	prefillCeiling = 0.7
	// decodeCeiling is the usable share of the memory of decode engines: the rest of the
	// memory of an engine is too small for another request, and reserved memory is unused
	// until the prefill has ended.
	decodeCeiling = 0.8
	// minGain is the reduction of the load of the busier stage that justifies a change,
	// and minGainAfterChurn the same if engines joined or left recently.
	minGain           = 0.05
	minGainAfterChurn = 0.25
	// sourceCeiling is the highest load that the stage that loses an engine may have
	// afterwards. If the other stage is overloaded, only the share of the load that the
	// other stage can serve counts.
	sourceCeiling = 0.85
	// maxChangingShare is the share of the engines that may change their stage at the same
	// time. One engine may in any case.
	maxChangingShare = 0.1
	// maxIdleChangingShare applies instead while the load of the stage that loses the
	// engines stays below idleSourceCeiling: engines that change their stage are not missed
	// there. It does not apply to fleets of fewer than minLargeFleet engines, in which each
	// engine is a large part of its stage.
	maxIdleChangingShare = 0.25
	idleSourceCeiling    = 0.6
	minLargeFleet        = 20
	// minLoad is the load of the busier stage below which no engine changes its stage.
	minLoad            = 0.2
	minEnginesPerStage = 2
)

// Engine is an engine with the memory that requests of all instances use there.
type Engine struct {
	Endpoint   figseam.ListedEndpoint
	UsedTokens int
	// ChangingStage reports whether the engine is changing to its stage and serves no
	// requests yet.
	ChangingStage bool
}

// Load is the offered load of a service and its engines.
type Load struct {
	Engines []Engine
	// EngineMemoryTokens is the memory of one engine.
	EngineMemoryTokens int
	// OfferedPrefillMillis is the prefill time in milliseconds of the requests that arrive
	// in a second. OfferedDecodeTokens is the memory in tokens that they occupy, times the
	// seconds for which they do. Both are means over the same period, so a burst raises
	// them in proportion.
	OfferedPrefillMillis float64
	OfferedDecodeTokens  float64
	Churn                Churn
}

// Churn is a measure of how recently engines joined or left.
type Churn int

// Levels of churn.
const (
	// ChurnHigh means that engines joined or left moments ago and more changes are expected.
	ChurnHigh Churn = iota
	// ChurnModerate means that crashed engines should have restarted by now.
	ChurnModerate
	// ChurnLow means that hardly any engine joined or left for a long time.
	ChurnLow
)

// Change is a decision to change the stage of an engine, with the loads behind it.
type Change struct {
	Endpoint figseam.ListedEndpoint
	Stage    figseam.EndpointStage
	// PrefillLoad and DecodeLoad are the current loads relative to the ceilings of the
	// stages. PrefillLoadAfter and DecodeLoadAfter are those after all steps to the best
	// split.
	PrefillLoad, DecodeLoad           float64
	PrefillLoadAfter, DecodeLoadAfter float64
}

// PlanChanges returns the changes to start now, if any: the first steps to the best split,
// as many as the stage that loses the engines has capacity for.
func PlanChanges(l Load) []Change {
	prefill := l.stageEngines(figseam.EndpointStagePrefill)
	decode := l.stageEngines(figseam.EndpointStageDecode)
	if l.Churn == ChurnHigh || len(prefill) == 0 || len(decode) == 0 || l.EngineMemoryTokens <= 0 {
		return nil
	}
	current := split{prefill: len(prefill), decode: len(decode)}
	if l.maxLoad(current) < minLoad {
		return nil
	}
	source, target, step := prefill, figseam.EndpointStageDecode, split{prefill: -1, decode: 1}
	if l.prefillLoad(current.prefill) > l.decodeLoad(current.decode) {
		source, target, step = decode, figseam.EndpointStagePrefill, split{prefill: 1, decode: -1}
	}
	best := l.bestStepCount(current, step)
	requiredGain := minGain
	if l.Churn == ChurnModerate {
		requiredGain = minGainAfterChurn
	}
	after := current.advance(step, best)
	if best == 0 || l.maxLoad(current)-l.maxLoad(after) < requiredGain {
		return nil
	}
	var changes []Change
	for range min(best, l.changeableCount(current, target, len(source), servingCount(source))) {
		i := leastUsed(source)
		changes = append(changes, Change{
			Endpoint: source[i].Endpoint, Stage: target,
			PrefillLoad: l.prefillLoad(current.prefill), DecodeLoad: l.decodeLoad(current.decode),
			PrefillLoadAfter: l.prefillLoad(after.prefill), DecodeLoadAfter: l.decodeLoad(after.decode),
		})
		source = slices.Delete(source, i, i+1)
	}
	return changes
}

// split is the number of engines in each stage.
type split struct{ prefill, decode int }

// advance returns the split after n steps.
func (s split) advance(step split, n int) split {
	return split{prefill: s.prefill + n*step.prefill, decode: s.decode + n*step.decode}
}

// maxLoad returns the load of the busier stage.
func (l Load) maxLoad(s split) float64 { return max(l.prefillLoad(s.prefill), l.decodeLoad(s.decode)) }

// bestStepCount returns the number of steps that minimises the load of the busier stage.
func (l Load) bestStepCount(current, step split) int {
	best := 0
	for n := 1; ; n++ {
		s := current.advance(step, n)
		if min(s.prefill, s.decode) < minEnginesPerStage || l.maxLoad(s) >= l.maxLoad(current.advance(step, best)) {
			return best
		}
		best = n
	}
}

// changeableCount returns the number of engines that may start to change to the target
// stage now. source is the number of engines of the stage that loses them, and serving the
// number of those that serve requests.
func (l Load) changeableCount(current split, target figseam.EndpointStage, source, serving int) int {
	sourceLoad, targetLoad := l.prefillLoad, l.decodeLoad(current.decode)
	if target == figseam.EndpointStagePrefill {
		sourceLoad, targetLoad = l.decodeLoad, l.prefillLoad(current.prefill)
	}
	changing := len(l.Engines) - servingCount(l.Engines)
	limit, idleLimit := concurrentChangeLimits(len(l.Engines))
	n := 0
	for n < source-minEnginesPerStage {
		load := sourceLoad(serving-n-1) / max(1, targetLoad)
		withinLimit := n < limit-changing || (n < idleLimit-changing && load <= idleSourceCeiling)
		if load > sourceCeiling || !withinLimit {
			break
		}
		n++
	}
	return n
}

// concurrentChangeLimits returns the number of engines of a fleet that may change their
// stage at the same time, in general and while the stage that loses them is idle.
func concurrentChangeLimits(engines int) (limit, idleLimit int) {
	limit = max(1, int(maxChangingShare*float64(engines)))
	if engines < minLargeFleet {
		return limit, limit
	}
	return limit, int(maxIdleChangingShare * float64(engines))
}

// stageEngines returns the engines of a stage that are not draining.
func (l Load) stageEngines(stage figseam.EndpointStage) []Engine {
	var engines []Engine
	for _, e := range l.Engines {
		if e.Endpoint.Stage == stage && !e.Endpoint.Draining {
			engines = append(engines, e)
		}
	}
	return engines
}

// servingCount returns the number of engines that serve requests.
func servingCount(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if !e.ChangingStage {
			n++
		}
	}
	return n
}

// prefillLoad returns the load of n prefill engines relative to their ceiling.
func (l Load) prefillLoad(n int) float64 {
	return l.OfferedPrefillMillis / (1000 * prefillCeiling * float64(max(0, n)))
}

// decodeLoad returns the same for n decode engines.
func (l Load) decodeLoad(n int) float64 {
	return l.OfferedDecodeTokens / (decodeCeiling * float64(l.EngineMemoryTokens) * float64(max(0, n)))
}

// leastUsed returns the index of the least used engine in the data centre that has the
// most of the engines.
func leastUsed(engines []Engine) int {
	count := map[figseam.DataCentre]int{}
	for _, e := range engines {
		count[e.Endpoint.DataCentre]++
	}
	best := 0
	for i, e := range engines {
		surplus := count[e.Endpoint.DataCentre] - count[engines[best].Endpoint.DataCentre]
		if surplus > 0 || (surplus == 0 && e.UsedTokens < engines[best].UsedTokens) {
			best = i
		}
	}
	return best
}
