package throttler

import "github.com/figseam/figseam"

// maxPauseMillis bounds a pause, so that an absurd one does not take an endpoint out of use for
// good.
const maxPauseMillis = 600_000

// RecordPause records that an endpoint wants no requests from this instance for some time. An
// earlier answer that asked for a longer pause holds on.
func (t *Throttle) RecordPause(e figseam.ListedEndpoint, millis int64) {
	if millis <= 0 {
		return
	}
	until := figseam.DeadlineAfterMillis(min(millis, maxPauseMillis))
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.pauses[e.Run()]
	if !before.IsZero() && until.Before(before) {
		return
	}
	if !pending(before) {
		t.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Int64("pause_ms", millis).Msg("endpoint asks for a pause")
	}
	t.pauses[e.Run()] = until
}

// Paused reports whether an endpoint wants no requests from this instance now.
func (t *Throttle) Paused(e figseam.ListedEndpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paused(e)
}

// paused is Paused for a caller that holds mu.
func (t *Throttle) paused(e figseam.ListedEndpoint) bool { return pending(t.pauses[e.Run()]) }

// PauseMillis returns the time until the first of the endpoints takes requests again, and
// reports whether all of them pause.
func (t *Throttle) PauseMillis(endpoints []figseam.ListedEndpoint) (millis int64, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first figseam.Deadline
	for _, e := range endpoints {
		if !t.paused(e) {
			return 0, false
		}
		first = first.Min(t.pauses[e.Run()])
	}
	return first.RemainingMillis(), len(endpoints) > 0
}

// PausedCount returns the number of endpoints that pause.
func (t *Throttle) PausedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, until := range t.pauses {
		if pending(until) {
			n++
		}
	}
	return n
}

// evictPauses drops the pauses that have ended. The caller holds mu.
func (t *Throttle) evictPauses() {
	for run, until := range t.pauses {
		if until.Passed() {
			delete(t.pauses, run)
		}
	}
}
