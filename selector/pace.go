package selector

import "sync"

const (
	// paceMemory is the weight of what was learned when one more call is.
	paceMemory = 0.98
	// paceCalls is how many calls a pace must rest on.
	paceCalls = 8
	// firstMillisPerToken and firstMillis are taken before.
	firstMillisPerToken = 1.0 / 32
	firstMillis         = 100
)

// Pace learns how long engines read a prompt: a fixed time, in which others may
// read as well, and a time for each token, in which they may not. It is a line
// through the calls that found their engine idle, the newest counting most. It is
// safe for concurrent use.
type Pace struct {
	// mu guards everything below: the weighted sums of a linear regression.
	mu                sync.Mutex
	n                 float64
	x, y, squares, xy float64
}

// Learn notes a call.
func (p *Pace) Learn(tokens int, millis float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := float64(tokens)
	p.n = paceMemory*p.n + 1
	p.x = paceMemory*p.x + x
	p.y = paceMemory*p.y + millis
	p.squares = paceMemory*p.squares + x*x
	p.xy = paceMemory*p.xy + x*millis
}

// Millis returns the fixed time and the time for so many tokens.
func (p *Pace) Millis(tokens int) (fixed, reading float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slope, base := firstMillisPerToken, float64(firstMillis)
	if spread := p.n*p.squares - p.x*p.x; p.n >= paceCalls && spread > 0 {
		learned := (p.n*p.xy - p.x*p.y) / spread
		if learned > firstMillisPerToken/8 && learned < firstMillisPerToken*8 {
			slope = learned
			base = max(0, (p.y-slope*p.x)/p.n)
		}
	}
	return base, slope * float64(tokens)
}
