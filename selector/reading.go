package selector

import (
	"math"
	"math/rand/v2"

	"github.com/figseam/figseam"
)

const (
	// ReasonDecodePrefill is the reason why a decode engine reads the prompt itself.
	ReasonDecodePrefill figseam.Code = "own_prefill"
	// ReasonPromptCached is the reason why an engine is asked that has the prompt cached.
	ReasonPromptCached figseam.Code = "cached"
	// ownReadingFactor is how much longer a decode engine takes for a prompt than an
	// idle prefill engine: it reads at half the speed, in turns with the tokens of
	// its other requests.
	ownReadingFactor = 4
	// ownReadingMillis is what the delay of those other requests is charged.
	ownReadingMillis = 150
)

// ShouldPrefillOnDecode reports whether a decode engine reads a prompt sooner than the best
// prefill engine, which has queuedMillis of other prompts before it. readingMillis is
// how long an idle prefill engine takes, ownMillis what the decode engine reads for
// other requests already.
//
// Load pattern: a burst after most prefill engines crashed. What waits for the few
// that are left holds memory of a decode engine all the while.
func ShouldPrefillOnDecode(queuedMillis, readingMillis, ownMillis float64) bool {
	return queuedMillis+readingMillis > ownReadingFactor*readingMillis+ownMillis+ownReadingMillis
}

const (
	// fewestSampled is how many engines are compared at least.
	fewestSampled = 2
	// fewOthers is up to how many choices of others all engines are compared: with few,
	// the loss by a worse engine outweighs that by a shared one.
	fewOthers = 3
)

// Sample returns a random part of the candidates that do not rest, all of them if
// few others choose at the same time. others is how many choices other instances make
// before this one hears of them: were all to compare every engine, they would choose the
// same one, which seems idle to each of them.
//
// Load pattern: dozens of instances that share prefill engines.
func Sample(candidates []Candidate, others float64, random *rand.Rand) []Candidate {
	var well []Candidate
	for _, c := range candidates {
		if !InBackoff(c) && !c.Full {
			well = append(well, c)
		}
	}
	n := max(fewestSampled, int(math.Round(float64(len(well))/(1+others))))
	if others < fewOthers || n >= len(well) {
		return candidates
	}
	random.Shuffle(len(well), func(i, j int) { well[i], well[j] = well[j], well[i] })
	return well[:n]
}

// DecodePrefillMillis returns how long a decode engine takes for a prompt.
func DecodePrefillMillis(readingMillis float64) float64 { return ownReadingFactor * readingMillis }
