package gateway

import (
	"math"
	"sync"
)

const (
	// lengthGain is the weight of a new answer in a route's mean length.
	lengthGain = 0.05
	// lengthSpread is how many mean deviations above the mean are expected, so
	// that most answers stay within what was reserved for them.
	lengthSpread = 1.0
)

// LengthEstimator learns how long the answers of each route are. It is safe for
// concurrent use.
type LengthEstimator struct {
	// mu guards routes.
	mu     sync.Mutex
	routes map[string]*length
}

type length struct {
	mean, deviation float64
}

// NewLengthEstimator returns an empty memory.
func NewLengthEstimator() *LengthEstimator { return &LengthEstimator{routes: map[string]*length{}} }

// Observe takes the length of an answer in tokens.
func (l *LengthEstimator) Observe(route string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.routes[route]
	if !ok {
		l.routes[route] = &length{mean: float64(tokens)}
		return
	}
	off := float64(tokens) - e.mean
	e.mean += lengthGain * off
	e.deviation += lengthGain * (math.Abs(off) - e.deviation)
}

// Estimate returns the length to expect, or initial when nothing is known.
func (l *LengthEstimator) Estimate(route string, initial int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.routes[route]
	if !ok {
		return initial
	}
	return max(1, int(e.mean+lengthSpread*e.deviation))
}
