// Package stager decides how many of a service's engines read prompts and how many
// generate.
//
// Load pattern: traffic whose prompts and answers need another ratio of prefill to
// decode engines than there is, above all bursts in which the decode engines'
// memory is full while prefill engines idle. One engine at a time changes its
// stage, and only if afterwards the busier side is still less busy than the busier
// one is now, by a margin, since the engine is away for seconds.
package stager

import "github.com/figseam/figseam"

const (
	// prefillCeiling is how busy prefill engines may be before prompts queue up.
	prefillCeiling = 0.8
	// decodeCeiling is the part of decode engines' memory that can be used.
	decodeCeiling = 0.9
	// margin is by how much the busier side must gain.
	margin = 0.15
	// quiet is the load of the busier side below which nothing changes.
	quiet = 0.2
	// fewest is how many engines of a stage are kept.
	fewest = 2
)

// Engine is an engine with what all instances have under way there.
type Engine struct {
	Endpoint figseam.ListedEndpoint
	Tokens   int
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
}

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
	var prefill, decode []Engine
	for _, e := range l.Engines {
		switch {
		case e.Endpoint.Leaving:
			// Neither counts nor changes.
		case e.Endpoint.Stage == figseam.StageForPrefill:
			prefill = append(prefill, e)
		case e.Endpoint.Stage == figseam.StageForDecode:
			decode = append(decode, e)
		}
	}
	if len(prefill) == 0 || len(decode) == 0 || l.MemoryTokens <= 0 {
		return Change{}, false
	}
	prefillLoad := func(n int) float64 { return l.PrefillMillis / (1000 * prefillCeiling * float64(n)) }
	decodeLoad := func(n int) float64 { return l.DecodeTokens / (decodeCeiling * float64(l.MemoryTokens) * float64(n)) }
	p, d := len(prefill), len(decode)
	now := max(prefillLoad(p), decodeLoad(d))
	if now < quiet {
		return Change{}, false
	}
	c := Change{PrefillLoad: prefillLoad(p), DecodeLoad: decodeLoad(d)}
	from, to, left := prefill, figseam.StageForDecode, p-1
	c.PrefillAfter, c.DecodeAfter = prefillLoad(p-1), decodeLoad(d+1)
	if c.PrefillLoad > c.DecodeLoad {
		from, to, left = decode, figseam.StageForPrefill, d-1
		c.PrefillAfter, c.DecodeAfter = prefillLoad(p+1), decodeLoad(d-1)
	}
	if left < fewest || max(c.PrefillAfter, c.DecodeAfter) > now-margin {
		return Change{}, false
	}
	c.Endpoint, c.Stage = leastUsed(from), to
	return c, true
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
