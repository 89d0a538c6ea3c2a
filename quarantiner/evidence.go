package quarantiner

import (
	"slices"
	"time"

	"github.com/figseam/figseam"
)

const (
	// evidenceMillis is the time for which a crash counts as evidence, and for which an
	// answer clears earlier evidence.
	evidenceMillis = 600_000
	// answerCoversMillis is the time after the beginning of an answer in which crashes do not
	// count against its parts. Requests with a part that most prompts share are always
	// waiting somewhere; engines that crash together for another reason crash under them.
	answerCoversMillis = 5000
	// minCrashes is the number of engines, and minRequests the number of different
	// requests, from which on a part is quarantined.
	minCrashes  = 3
	minRequests = 2
	// maxTransitMillis is the longest time in transit by which two copies of a deadline are
	// expected to differ.
	maxTransitMillis = 1000
	// maxCrashesPerPart bounds the crashes that are kept for a part.
	maxCrashesPerPart = 16
)

// Crash is an engine that ended under a request before the request's answer began.
type Crash struct {
	// Engine identifies the run of the engine, and Request the last part of the prompt,
	// both as hashes.
	Engine  uint64 `cbor:"1,keyasint"`
	Request uint64 `cbor:"2,keyasint"`
	// ExpiresAt is the time from which the crash no longer counts.
	ExpiresAt figseam.Deadline `cbor:"3,keyasint"`
}

func (c Crash) sameAs(d Crash) bool { return c.Engine == d.Engine && c.Request == d.Request }

// Evidence holds the crashes and answers that count for or against one part of prompts. It
// is immutable.
type Evidence struct {
	// Part is the ID of the part.
	Part    string  `cbor:"1,keyasint"`
	Crashes []Crash `cbor:"2,keyasint,omitempty"`
	// ClearedUntil is set once an answer to a prompt with the part has begun: crashes that
	// expire no later do not count. They came before the answer or at most
	// answerCoversMillis after it.
	ClearedUntil figseam.Deadline `cbor:"3,keyasint"`
}

// WithCrash returns a copy with one more crash.
func (e Evidence) WithCrash(c Crash) Evidence {
	return e.Merge(Evidence{Part: e.Part, Crashes: []Crash{c}})
}

// WithAnswer returns a copy without the crashes that an answer clears, which began at a time.
func (e Evidence) WithAnswer(at time.Time) Evidence {
	clearedUntil := figseam.DeadlineAt(at.Add((evidenceMillis + answerCoversMillis) * time.Millisecond))
	return e.Merge(Evidence{Part: e.Part, ClearedUntil: clearedUntil})
}

// Merge returns the union of two pieces of evidence on the same part. Of a crash that both
// contain, e's expiry is kept: the one of a copy is later by the time in transit.
func (e Evidence) Merge(other Evidence) Evidence {
	merged := Evidence{Part: e.Part, ClearedUntil: latest(e.ClearedUntil, other.ClearedUntil)}
	for _, c := range slices.Concat(e.Crashes, other.Crashes) {
		if !c.ExpiresAt.Passed() && merged.counts(c) && !slices.ContainsFunc(merged.Crashes, c.sameAs) {
			merged.Crashes = append(merged.Crashes, c)
		}
	}
	slices.SortFunc(merged.Crashes, func(a, b Crash) int { return b.ExpiresAt.Time().Compare(a.ExpiresAt.Time()) })
	merged.Crashes = merged.Crashes[:min(len(merged.Crashes), maxCrashesPerPart)]
	return merged
}

// latest returns the later of two deadlines, of which the zero value is the earliest.
func latest(a, b figseam.Deadline) figseam.Deadline {
	if a.Time().Before(b.Time()) {
		return b
	}
	return a
}

// counts reports whether no answer clears the crash.
func (e Evidence) counts(c Crash) bool { return c.ExpiresAt.Time().After(e.ClearedUntil.Time()) }

// expired reports whether the evidence holds nothing that still counts.
func (e Evidence) expired() bool {
	cleared := e.ClearedUntil.IsZero() || e.ClearedUntil.Passed()
	return cleared && !slices.ContainsFunc(e.Crashes, func(c Crash) bool { return !c.ExpiresAt.Passed() })
}

// differsFrom reports whether other instances need to know e if they know old: it has other
// crashes, or was cleared later. Differences of the times in transit do not count.
func (e Evidence) differsFrom(old Evidence) bool {
	if e.ClearedUntil.Time().Sub(old.ClearedUntil.Time()) > maxTransitMillis*time.Millisecond || len(e.Crashes) != len(old.Crashes) {
		return true
	}
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return !slices.ContainsFunc(old.Crashes, c.sameAs) })
}

// engines returns the engines that ended, each with the latest expiry of its crashes.
func (e Evidence) engines() map[uint64]figseam.Deadline {
	engines := map[uint64]figseam.Deadline{}
	for _, c := range e.Crashes {
		if !c.ExpiresAt.Passed() {
			engines[c.Engine] = latest(engines[c.Engine], c.ExpiresAt)
		}
	}
	return engines
}

// requests returns the number of different requests under which engines ended.
func (e Evidence) requests() int {
	requests := map[uint64]struct{}{}
	for _, c := range e.Crashes {
		if !c.ExpiresAt.Passed() {
			requests[c.Request] = struct{}{}
		}
	}
	return len(requests)
}
