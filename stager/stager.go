// Package stager decides how many of a service's engines read prompts and how many
// generate.
//
// Load pattern: traffic whose prompts and answers need another ratio of prefill to
// decode engines than there is, above all bursts in which the decode engines'
// memory is full while prefill engines idle. One engine at a time changes its
// stage, and only if afterwards the busier side is still less busy than the busier
// one is now, by a margin, and if the side that loses the engine can spare it: the
// engine is away for seconds. Engines that crash come back, mostly sooner than one
// that changes its stage, so nothing changes soon after engines came or went.
package stager

import "github.com/figseam/figseam"

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
	// quiet is the load of the busier side below which nothing changes.
	quiet = 0.2
	// fewest is how many engines of a stage are kept.
	fewest = 2
)

// Engine is an engine with what all instances have under way there.
type Engine struct {
	Endpoint figseam.ListedEndpoint
	Tokens   int
	// Away tells that the engine is changing to this stage and serves nobody yet.
	Away bool
}

// Load is the load of a service's engines.
type Load struct {
	Engines []Engine
	// MemoryTokens is the memory of one engine.
	MemoryTokens int
	// PrefillMillis is how many milliseconds of prefill arrive in a second,
	// DecodeTokens how much memory is asked for in a second, for a second. Both are
	// means over the same time, so a burst raises them alike.
	PrefillMillis float64
	DecodeTokens  float64
	Turnover      Turnover
}

// Turnover tells how long ago engines came or went.
type Turnover int

// Turnovers.
const (
	// Restless is so soon after a turnover that the next one is to be expected.
	Restless Turnover = iota
	// Settling is when those that crashed and come back should be back.
	Settling
	// Settled is when hardly any engine came or went for long.
	Settled
)

// Change is a decision to change an engine's stage, with the loads that led to it.
type Change struct {
	Endpoint figseam.ListedEndpoint
	Stage    figseam.EndpointStage
	// PrefillLoad and DecodeLoad are how near to their limits the sides are now,
	// PrefillAfter and DecodeAfter how near they will be.
	PrefillLoad, DecodeLoad   float64
	PrefillAfter, DecodeAfter float64
}

// Decide returns the change to make, if any.
func Decide(l Load) (Change, bool) {
	prefill := l.side(figseam.StageForPrefill)
	decode := l.side(figseam.StageForDecode)
	if l.Turnover == Restless || len(prefill) == 0 || len(decode) == 0 || l.MemoryTokens <= 0 {
		return Change{}, false
	}
	p, d := len(prefill), len(decode)
	c := Change{PrefillLoad: l.prefillLoad(p), DecodeLoad: l.decodeLoad(d)}
	if max(c.PrefillLoad, c.DecodeLoad) < quiet {
		return Change{}, false
	}
	from, left := prefill, p-1
	c.Stage = figseam.StageForDecode
	c.PrefillAfter, c.DecodeAfter = l.prefillLoad(p-1), l.decodeLoad(d+1)
	meanwhile := l.prefillLoad(present(prefill)-1) / max(1, c.DecodeLoad)
	if c.PrefillLoad > c.DecodeLoad {
		from, left = decode, d-1
		c.Stage = figseam.StageForPrefill
		c.PrefillAfter, c.DecodeAfter = l.prefillLoad(p+1), l.decodeLoad(d-1)
		meanwhile = l.decodeLoad(present(decode)-1) / max(1, c.PrefillLoad)
	}
	needed := margin
	if l.Turnover == Settling {
		needed = largeMargin
	}
	gain := max(c.PrefillLoad, c.DecodeLoad) - max(c.PrefillAfter, c.DecodeAfter)
	if left < fewest || gain < needed || meanwhile > spareCeiling {
		return Change{}, false
	}
	c.Endpoint = leastUsed(from)
	return c, true
}

// side returns the engines of a stage that stay.
func (l Load) side(stage figseam.EndpointStage) []Engine {
	var engines []Engine
	for _, e := range l.Engines {
		if e.Endpoint.Stage == stage && !e.Endpoint.Leaving {
			engines = append(engines, e)
		}
	}
	return engines
}

// present returns how many of the engines serve now.
func present(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if !e.Away {
			n++
		}
	}
	return n
}

// prefillLoad returns how near n prefill engines are to their limit, 1 at it.
func (l Load) prefillLoad(n int) float64 {
	return l.PrefillMillis / (1000 * prefillCeiling * float64(max(0, n)))
}

// decodeLoad returns the same for n decode engines.
func (l Load) decodeLoad(n int) float64 {
	return l.DecodeTokens / (decodeCeiling * float64(l.MemoryTokens) * float64(max(0, n)))
}

// leastUsed returns the least used engine of the data centre that has most.
func leastUsed(engines []Engine) figseam.ListedEndpoint {
	count := map[figseam.DataCentre]int{}
	for _, e := range engines {
		count[e.Endpoint.DataCentre]++
	}
	best := engines[0]
	for _, e := range engines[1:] {
		more := count[e.Endpoint.DataCentre] - count[best.Endpoint.DataCentre]
		if more > 0 || (more == 0 && e.Tokens < best.Tokens) {
			best = e
		}
	}
	return best.Endpoint
}
