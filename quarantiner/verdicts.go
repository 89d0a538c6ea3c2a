package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/figseam/figseam"
)

// Verdict is a set of parts that is quarantined: prompts that contain all of them are
// refused.
type Verdict struct {
	// Parts holds more than one part if each engine that ended under one of them ended under
	// the others, too. Any of them may be the cause. A prompt with only some of them is not
	// refused; what becomes of it tells them apart.
	Parts []string
	// Engines and Requests are the numbers of engines that ended and of different requests.
	Engines  int
	Requests int
	// AtOnce reports whether the engines ended within atOnceMillis.
	AtOnce bool
	// From is the time at which the quarantine begins.
	From figseam.Deadline
	// Until is the time at which the quarantine ends unless further engines end.
	Until figseam.Deadline
}

// key returns a string that identifies the parts.
func (v Verdict) key() string { return strings.Join(v.Parts, ",") }

// includes reports whether the verdict is on all parts of another one.
func (v Verdict) includes(other Verdict) bool {
	return !slices.ContainsFunc(other.Parts, func(id string) bool { return !slices.Contains(v.Parts, id) })
}

// appliesTo reports whether a prompt contains all parts.
func (v Verdict) appliesTo(shared []figseam.PromptPart) bool {
	for _, id := range v.Parts {
		if !slices.ContainsFunc(shared, func(p figseam.PromptPart) bool { return p.ID == id }) {
			return false
		}
	}
	return true
}

// suspect is a set of parts under which the same engines ended.
type suspect struct {
	parts    []string
	engines  map[uint64]figseam.Deadline
	requests int
}

// judge returns the parts that are quarantined. Prompts with such a part usually share
// other parts as well, so that these have evidence against them, too. Parts under which the
// same engines ended are judged together. Others are judged by the number of engines, and
// are not quarantined if all of their engines ended under parts that are.
func judge(all []Evidence) []Verdict {
	suspects := findSuspects(all)
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(len(b.engines)-len(a.engines), slices.Compare(a.parts, b.parts))
	})
	var guilty []suspect
	for _, s := range suspects {
		if !slices.ContainsFunc(guilty, func(g suspect) bool { return g.explains(s) }) {
			guilty = append(guilty, s)
		}
	}
	verdicts := make([]Verdict, 0, len(guilty))
	for _, s := range guilty {
		verdicts = append(verdicts, Verdict{Parts: s.parts, Engines: len(s.engines), Requests: s.requests, AtOnce: s.atOnce(), Until: s.until()})
	}
	return verdicts
}

// findSuspects returns the parts with enough evidence against them, those under which the
// same engines ended together.
func findSuspects(all []Evidence) []suspect {
	var suspects []suspect
	for _, e := range all {
		s := suspect{parts: []string{e.Part}, engines: e.engines(), requests: e.requests()}
		if len(s.engines) < minCrashes || s.requests < minRequests {
			continue
		}
		same := slices.IndexFunc(suspects, func(o suspect) bool { return o.explains(s) && s.explains(o) })
		if same < 0 {
			suspects = append(suspects, s)
			continue
		}
		suspects[same].parts = append(suspects[same].parts, e.Part)
		slices.Sort(suspects[same].parts)
	}
	return suspects
}

// explains reports whether all engines that ended under the other parts ended under those
// of s, too.
func (s suspect) explains(other suspect) bool {
	for engine := range other.engines {
		if _, ok := s.engines[engine]; !ok {
			return false
		}
	}
	return true
}

// until returns the time at which fewer than minCrashes engines count.
func (s suspect) until() figseam.Deadline { return s.expiries()[minCrashes-1] }

// atOnce reports whether the engines ended within atOnceMillis.
func (s suspect) atOnce() bool {
	expiries := s.expiries()
	return expiries[0].Time().Sub(expiries[len(expiries)-1].Time()) < atOnceMillis*time.Millisecond
}

// expiries returns the times at which the engines cease to count, the latest first.
func (s suspect) expiries() []figseam.Deadline {
	expiries := slices.Collect(maps.Values(s.engines))
	slices.SortFunc(expiries, func(a, b figseam.Deadline) int { return b.Time().Compare(a.Time()) })
	return expiries
}
