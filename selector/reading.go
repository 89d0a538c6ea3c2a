package selector

import "github.com/figseam/figseam"

const (
	// ReasonOwnPrefill is the reason why a decode engine reads the prompt itself.
	ReasonOwnPrefill figseam.Code = "own_prefill"
	// ReasonKept is the reason why an engine is asked that still keeps the prompt.
	ReasonKept figseam.Code = "kept"
	// ownReadingFactor is how much longer a decode engine takes for a prompt than an
	// idle prefill engine: it reads at half the speed, in turns with the tokens of
	// its other requests.
	ownReadingFactor = 4
	// ownReadingMillis is what the delay of those other requests is charged.
	ownReadingMillis = 150
)

// ReadsItself reports whether a decode engine reads a prompt sooner than the best
// prefill engine, which has queuedMillis of other prompts before it. readingMillis is
// how long an idle prefill engine takes, ownMillis what the decode engine reads for
// other requests already.
//
// Load pattern: a burst after most prefill engines crashed. What waits for the few
// that are left holds memory of a decode engine all the while.
func ReadsItself(queuedMillis, readingMillis, ownMillis float64) bool {
	return queuedMillis+readingMillis > ownReadingFactor*readingMillis+ownMillis+ownReadingMillis
}

// OwnReadingMillis returns how long a decode engine takes for a prompt.
func OwnReadingMillis(readingMillis float64) float64 { return ownReadingFactor * readingMillis }
