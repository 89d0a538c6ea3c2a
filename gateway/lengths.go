package gateway

import (
	"math"
	"sync"
)

const (
	// lengthSmoothing is the weight of a new answer in the exponentially weighted mean
	// length of a route and in its mean deviation.
	lengthSmoothing = 0.05
	// lengthDeviations is the number of mean deviations by which an estimate exceeds the
	// mean, so that most answers stay within their reservation.
	lengthDeviations = 1.0
)

// LengthEstimator estimates the length of each route's answers from earlier answers.
// It is safe for concurrent use.
type LengthEstimator struct {
	// mu guards routes.
	mu     sync.Mutex
	routes map[string]*lengthStats
}

// lengthStats holds the weighted mean and mean deviation of answer lengths, in tokens.
type lengthStats struct {
	mean, deviation float64
}

// NewLengthEstimator returns an estimator without observations.
func NewLengthEstimator() *LengthEstimator {
	return &LengthEstimator{routes: map[string]*lengthStats{}}
}

// Observe records the length in tokens of an answer on a route.
func (l *LengthEstimator) Observe(route string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats, ok := l.routes[route]
	if !ok {
		l.routes[route] = &lengthStats{mean: float64(tokens)}
		return
	}
	difference := float64(tokens) - stats.mean
	stats.mean += lengthSmoothing * difference
	stats.deviation += lengthSmoothing * (math.Abs(difference) - stats.deviation)
}

// Estimate returns the expected length in tokens of an answer on a route, or initial
// if none was observed.
func (l *LengthEstimator) Estimate(route string, initial int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats, ok := l.routes[route]
	if !ok {
		return initial
	}
	return max(1, int(stats.mean+lengthDeviations*stats.deviation))
}
