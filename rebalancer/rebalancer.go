// Package rebalancer decides how many of a service's engines read prompts and how many
// generate.
//
// Load pattern: traffic whose prompts and answers need another ratio of prefill to
// decode engines than there is, above all bursts in which the decode engines'
// memory is full while prefill engines idle. A few engines at a time change their
// stage, and only if afterwards the busier side is still less busy than the busier
// one is now, by a margin, and if the side that loses the engine can spare it: the
// engine is away for seconds. Engines that crash come back, mostly sooner than one
// that changes its stage, so nothing changes soon after engines came or went.
package rebalancer

import (
	"slices"

	"github.com/figseam/figseam"
)

const (
	// prefillCeiling is how busy prefill engines may be before prompts queue up.
	prefillCeiling = 0.7
	// decodeCeiling is the part of decode engines' memory that can be used: the last
	// gap of an engine is too small for a request, and what is set aside waits for
	// its prefill.
	decodeCeiling = 0.8
	// margin is by how much the busier side must gain, and largeMargin the same if
	// engines came or went lately.
	margin      = 0.05
	largeMargin = 0.25
	// spareCeiling is how busy the side that loses an engine may become, by what the
	// other side lets through.
	spareCeiling = 0.85
	// awayShare is the share of the engines that may be away to change their stage at
	// the same time; one may in any case.
	awayShare = 0.1
	// quiet is the load of the busier side below which nothing changes.
	quiet = 0.2
	// fewest is how many engines of a stage are kept.
	fewest = 2
)

// Engine is an engine with what all instances have under way there.
type Engine struct {
	Endpoint   figseam.ListedEndpoint
	UsedTokens int
	// ChangingStage tells that the engine is changing to this stage and serves nobody yet.
	ChangingStage bool
}

// Load is the load of a service's engines.
type Load struct {
	Engines []Engine
	// MemoryTokens is the memory of one engine.
	MemoryTokens int
	// OfferedPrefillMillis is how many milliseconds of prefill arrive in a second,
	// DecodeTokens how much memory is asked for in a second, for a second. Both are
	// means over the same time, so a burst raises them alike.
	OfferedPrefillMillis float64
	OfferedDecodeTokens  float64
	Churn                Churn
}

// Churn tells how long ago engines came or went.
type Churn int

// Turnovers.
const (
	// ChurnHigh is so soon after a turnover that the next one is to be expected.
	ChurnHigh Churn = iota
	// ChurnModerate is when those that crashed and come back should be back.
	ChurnModerate
	// ChurnLow is when hardly any engine came or went for long.
	ChurnLow
)

// Change is a decision to change an engine's stage, with the loads that led to it.
type Change struct {
	Endpoint figseam.ListedEndpoint
	Stage    figseam.EndpointStage
	// PrefillLoad and DecodeLoad are how near to their limits the sides are now,
	// PrefillAfter and DecodeAfter how near they will be.
	PrefillLoad, DecodeLoad           float64
	PrefillLoadAfter, DecodeLoadAfter float64
}

// PlanChanges returns the changes to make, if any: the first of those that lead to the
// best split, as many as the side that loses the engines can spare at once.
func PlanChanges(l Load) []Change {
	prefill := l.side(figseam.EndpointStagePrefill)
	decode := l.side(figseam.EndpointStageDecode)
	if l.Churn == ChurnHigh || len(prefill) == 0 || len(decode) == 0 || l.MemoryTokens <= 0 {
		return nil
	}
	now := split{prefill: len(prefill), decode: len(decode)}
	if l.worst(now) < quiet {
		return nil
	}
	from, stage, step := prefill, figseam.EndpointStageDecode, split{prefill: -1, decode: 1}
	if l.prefillLoad(now.prefill) > l.decodeLoad(now.decode) {
		from, stage, step = decode, figseam.EndpointStagePrefill, split{prefill: 1, decode: -1}
	}
	best := l.bestSteps(now, step)
	needed := margin
	if l.Churn == ChurnModerate {
		needed = largeMargin
	}
	after := now.plus(step, best)
	if best == 0 || l.worst(now)-l.worst(after) < needed {
		return nil
	}
	var changes []Change
	for range min(best, l.spared(now, stage, len(from), present(from))) {
		i := leastUsed(from)
		changes = append(changes, Change{
			Endpoint: from[i].Endpoint, Stage: stage,
			PrefillLoad: l.prefillLoad(now.prefill), DecodeLoad: l.decodeLoad(now.decode),
			PrefillLoadAfter: l.prefillLoad(after.prefill), DecodeLoadAfter: l.decodeLoad(after.decode),
		})
		from = slices.Delete(from, i, i+1)
	}
	return changes
}

// split is how many engines read prompts and how many generate.
type split struct{ prefill, decode int }

// plus returns the split after so many steps.
func (s split) plus(step split, n int) split {
	return split{prefill: s.prefill + n*step.prefill, decode: s.decode + n*step.decode}
}

// worst returns the load of the busier side.
func (l Load) worst(s split) float64 { return max(l.prefillLoad(s.prefill), l.decodeLoad(s.decode)) }

// bestSteps returns how many steps lead to the least load of the busier side.
func (l Load) bestSteps(now, step split) int {
	best := 0
	for n := 1; ; n++ {
		s := now.plus(step, n)
		if min(s.prefill, s.decode) < fewest || l.worst(s) >= l.worst(now.plus(step, best)) {
			return best
		}
		best = n
	}
}

// spared returns how many engines may begin to change to a stage now.
func (l Load) spared(now split, stage figseam.EndpointStage, from, there int) int {
	loadOf, other := l.prefillLoad, l.decodeLoad(now.decode)
	if stage == figseam.EndpointStagePrefill {
		loadOf, other = l.decodeLoad, l.prefillLoad(now.prefill)
	}
	away := len(l.Engines) - present(l.Engines)
	most := max(1, int(awayShare*float64(len(l.Engines)))) - away
	n := 0
	for n < min(most, from-fewest) && loadOf(there-n-1)/max(1, other) <= spareCeiling {
		n++
	}
	return n
}

// side returns the engines of a stage that stay.
func (l Load) side(stage figseam.EndpointStage) []Engine {
	var engines []Engine
	for _, e := range l.Engines {
		if e.Endpoint.Stage == stage && !e.Endpoint.Draining {
			engines = append(engines, e)
		}
	}
	return engines
}

// present returns how many of the engines serve now.
func present(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if !e.ChangingStage {
			n++
		}
	}
	return n
}

// prefillLoad returns how near n prefill engines are to their limit, 1 at it.
func (l Load) prefillLoad(n int) float64 {
	return l.OfferedPrefillMillis / (1000 * prefillCeiling * float64(max(0, n)))
}

// decodeLoad returns the same for n decode engines.
func (l Load) decodeLoad(n int) float64 {
	return l.OfferedDecodeTokens / (decodeCeiling * float64(l.MemoryTokens) * float64(max(0, n)))
}

// leastUsed returns the index of the least used engine of the data centre that has
// most.
func leastUsed(engines []Engine) int {
	count := map[figseam.DataCentre]int{}
	for _, e := range engines {
		count[e.Endpoint.DataCentre]++
	}
	best := 0
	for i, e := range engines {
		more := count[e.Endpoint.DataCentre] - count[engines[best].Endpoint.DataCentre]
		if more > 0 || (more == 0 && e.UsedTokens < engines[best].UsedTokens) {
			best = i
		}
	}
	return best
}
