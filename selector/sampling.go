package selector

import (
	"math"
	"math/rand/v2"

	"github.com/figseam/figseam"
)

const (
	// ReasonDecodePrefill is the reason for prefilling a prompt on the decode engine.
	ReasonDecodePrefill figseam.Code = "own_prefill"
	// ReasonPromptCached is the reason for choosing an engine that has the prompt cached.
	ReasonPromptCached figseam.Code = "cached"
	// decodePrefillFactor is the duration of a prefill on a decode engine relative to that
	// on an idle prefill engine: the decode engine prefills at half the speed, interleaved
	// with the tokens of its other requests.
	decodePrefillFactor = 4
	// decodePrefillCostMillis is the cost of delaying those other requests.
	decodePrefillCostMillis = 150
)

// ShouldPrefillOnDecode reports whether a decode engine would finish a prefill sooner than
// the best prefill engine, which has queuedMillis of other prompts in its queue.
// prefillMillis is the duration of the prefill on an idle prefill engine,
// decodeQueuedMillis the time that the decode engine needs for the prompts that it already
// prefills.
//
// Load pattern: a burst after most prefill engines crashed. Requests that wait for the few
// remaining ones hold memory of a decode engine for the whole wait.
func ShouldPrefillOnDecode(queuedMillis, prefillMillis, decodeQueuedMillis float64) bool {
	return queuedMillis+prefillMillis > decodePrefillFactor*prefillMillis+decodeQueuedMillis+decodePrefillCostMillis
}

const (
	// minSampled is the smallest number of engines in a sample.
	minSampled = 2
	// minConcurrentChoices is the number of concurrent choices from which on engines are
	// sampled. With fewer, choosing a worse engine costs more than a collision.
	minConcurrentChoices = 3
)

// Sample returns a random subset of the candidates that are neither full nor in backoff,
// or all candidates if there are few concurrent choices. concurrentChoices is the number
// of choices that other instances make before this one receives their usage: if all
// instances compared every engine, they would all choose the one that seems idle.
//
// Load pattern: dozens of instances that share prefill engines.
func Sample(candidates []Candidate, concurrentChoices float64, random *rand.Rand) []Candidate {
	var healthy []Candidate
	for _, c := range candidates {
		if !InBackoff(c) && !c.Full {
			healthy = append(healthy, c)
		}
	}
	n := max(minSampled, int(math.Round(float64(len(healthy))/(1+concurrentChoices))))
	if concurrentChoices < minConcurrentChoices || n >= len(healthy) {
		return candidates
	}
	random.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	return healthy[:n]
}

// DecodePrefillMillis returns the duration of a prefill on a decode engine, given that on
// an idle prefill engine.
func DecodePrefillMillis(prefillMillis float64) float64 { return decodePrefillFactor * prefillMillis }
