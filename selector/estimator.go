package selector

import "sync"

const (
	// observationDecay is the factor applied to the weight of earlier calls for each new
	// call.
	observationDecay = 0.98
	// initialMillisPerToken and initialMillis are the estimate before the first call. They
	// count as much as initialCalls calls.
	initialMillisPerToken = 1.0 / 48
	initialMillis         = 100
	initialCalls          = 4
	// initialShortTokens and initialLongTokens are the prompt lengths of the initial
	// calls.
	initialShortTokens = 1000
	initialLongTokens  = 8000
	// slowCallWeight is the weight of a call that took longer than estimated: its engine
	// also prefilled prompts of other instances that were not reported yet.
	slowCallWeight = 0.2
)

// PrefillEstimator estimates the duration of a prefill as a fixed time, during which the
// engine can prefill other prompts, plus a time per token, during which it cannot. It fits
// a line by weighted least squares to calls that found their engine idle; slow calls and
// old calls have less weight. It is safe for concurrent use.
type PrefillEstimator struct {
	// mu guards the fields below, which are the weighted sums of the linear regression.
	mu                       sync.Mutex
	weight                   float64
	sumX, sumY, sumXX, sumXY float64
}

// Observe records the duration in milliseconds of the prefill of a prompt on an engine
// that was idle.
func (p *PrefillEstimator) Observe(tokens int, millis float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, weight := float64(tokens), 1.0
	if base, slope := p.fit(); millis > base+slope*x {
		weight = slowCallWeight
	}
	p.weight *= observationDecay
	p.sumX *= observationDecay
	p.sumY *= observationDecay
	p.sumXX *= observationDecay
	p.sumXY *= observationDecay
	p.add(x, millis, weight)
}

func (p *PrefillEstimator) add(x, y, weight float64) {
	p.weight += weight
	p.sumX += weight * x
	p.sumY += weight * y
	p.sumXX += weight * x * x
	p.sumXY += weight * x * y
}

// fit returns the fixed time and the time per token, in milliseconds. It first adds the
// initial calls if there are no calls yet. If the fitted time per token differs from the
// initial one by a factor of 8 or more, fit returns the initial estimate.
func (p *PrefillEstimator) fit() (base, slope float64) {
	if p.weight == 0 {
		for _, x := range []float64{initialShortTokens, initialLongTokens} {
			p.add(x, initialMillis+initialMillisPerToken*x, initialCalls/2)
		}
	}
	base, slope = initialMillis, initialMillisPerToken
	if determinant := p.weight*p.sumXX - p.sumX*p.sumX; determinant > 0 {
		fitted := (p.weight*p.sumXY - p.sumX*p.sumY) / determinant
		if fitted > initialMillisPerToken/8 && fitted < initialMillisPerToken*8 {
			slope = fitted
			base = max(0, (p.sumY-slope*p.sumX)/p.weight)
		}
	}
	return base, slope
}

// Estimate returns the fixed time and the time for the tokens, in milliseconds.
func (p *PrefillEstimator) Estimate(tokens int) (fixedMillis, tokenMillis float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	base, slope := p.fit()
	return base, slope * float64(tokens)
}
