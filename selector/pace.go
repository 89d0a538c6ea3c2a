package selector

import "sync"

const (
	// paceMemory is the weight of what was learned when one more call is.
	paceMemory = 0.98
	// firstMillisPerToken and firstMillis are taken before the first call, and count as
	// much as firstCalls of them.
	firstMillisPerToken = 1.0 / 48
	firstMillis         = 100
	firstCalls          = 4
	// firstShortTokens and firstLongTokens are the prompts of these calls.
	firstShortTokens = 1000
	firstLongTokens  = 8000
	// slowCallWeight is the weight of a call that took longer than expected: its engine
	// read prompts of other instances as well, of which nothing was known yet.
	slowCallWeight = 0.2
)

// PrefillEstimator learns how long engines read a prompt: a fixed time, in which others may
// read as well, and a time for each token, in which they may not. It is a line
// under most of the calls that found their engine idle, the newest counting most. It
// is safe for concurrent use.
type PrefillEstimator struct {
	// mu guards everything below: the weighted sums of a linear regression.
	mu                sync.Mutex
	n                 float64
	x, y, squares, xy float64
}

// Observe notes a call.
func (p *PrefillEstimator) Observe(tokens int, millis float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, weight := float64(tokens), 1.0
	if base, slope := p.line(); millis > base+slope*x {
		weight = slowCallWeight
	}
	p.n *= paceMemory
	p.x *= paceMemory
	p.y *= paceMemory
	p.squares *= paceMemory
	p.xy *= paceMemory
	p.add(x, millis, weight)
}

func (p *PrefillEstimator) add(x, y, weight float64) {
	p.n += weight
	p.x += weight * x
	p.y += weight * y
	p.squares += weight * x * x
	p.xy += weight * x * y
}

// line returns the fixed time and the time for a token.
func (p *PrefillEstimator) line() (base, slope float64) {
	if p.n == 0 {
		for _, x := range []float64{firstShortTokens, firstLongTokens} {
			p.add(x, firstMillis+firstMillisPerToken*x, firstCalls/2)
		}
	}
	base, slope = firstMillis, firstMillisPerToken
	if spread := p.n*p.squares - p.x*p.x; spread > 0 {
		learned := (p.n*p.xy - p.x*p.y) / spread
		if learned > firstMillisPerToken/8 && learned < firstMillisPerToken*8 {
			slope = learned
			base = max(0, (p.y-slope*p.x)/p.n)
		}
	}
	return base, slope
}

// Estimate returns the fixed time and the time for so many tokens.
func (p *PrefillEstimator) Estimate(tokens int) (fixed, reading float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	base, slope := p.line()
	return base, slope * float64(tokens)
}
