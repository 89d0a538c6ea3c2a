package quarantiner

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
)

const (
	// maxParts bounds the parts of which evidence is kept.
	maxParts = 256
	// maxRecentAnswers bounds the parts whose recent answers are remembered.
	maxRecentAnswers = 4096
	// verdictDelayMillis is the time after which a verdict on engines that ended within
	// atOnceMillis is in force: they may have ended for another reason, and other instances
	// may have answered prompts with the part.
	verdictDelayMillis = 300
	atOnceMillis       = 1000
	// maxPartIDBytes is the length of the longest part ID of which evidence is kept.
	// Callers choose the IDs.
	maxPartIDBytes = 128
)

// Mark identifies a state of an instance's evidence.
type Mark struct {
	// Epoch identifies the run of the instance; 0 for no state.
	Epoch    uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// record is the evidence on a part, with the revision at which it changed last.
type record struct {
	evidence Evidence
	revision uint64
}

// Quarantine holds the evidence that an instance knows. It is safe for concurrent use.
type Quarantine struct {
	log zerolog.Logger
	// mu guards everything below.
	mu      sync.Mutex
	mark    Mark
	records map[string]record
	// answeredAt holds the times of this instance's last answers to prompts with a part.
	answeredAt map[string]time.Time
	// verdicts holds the verdicts that follow from the records, by their keys.
	verdicts map[string]Verdict
}

// New returns a quarantine without evidence.
func New(log zerolog.Logger) *Quarantine {
	return &Quarantine{log: log, mark: Mark{Epoch: 1 + rand.Uint64N(1<<62)}, records: map[string]record{}, answeredAt: map[string]time.Time{}, verdicts: map[string]Verdict{}}
}

// sharedParts returns the parts of a prompt without the last one.
func sharedParts(p figseam.Prompt) []figseam.PromptPart { return p.Parts[:max(0, len(p.Parts)-1)] }

// RecordCrash records that an engine ended before its answer to a prompt began.
func (q *Quarantine) RecordCrash(engine figseam.ListedEndpoint, p figseam.Prompt) {
	shared := sharedParts(p)
	if len(shared) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c := Crash{
		Engine:    xxhash.Sum64String(engine.ID + "/" + strconv.FormatInt(engine.StartedMillis, 10)),
		Request:   xxhash.Sum64String(p.Parts[len(shared)].ID),
		ExpiresAt: figseam.DeadlineAfterMillis(evidenceMillis),
	}
	for _, part := range shared {
		q.update(Evidence{Part: part.ID}.WithCrash(c))
	}
	q.judgeAll()
}

// RecordAnswer records that the answer to a prompt has begun.
func (q *Quarantine) RecordAnswer(p figseam.Prompt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, cleared := time.Now(), false
	for _, part := range sharedParts(p) {
		q.rememberAnswer(part.ID, now)
		if r, ok := q.records[part.ID]; ok && len(r.evidence.Crashes) > 0 {
			q.update(r.evidence.WithAnswer(now))
			cleared = true
		}
	}
	if cleared {
		q.judgeAll()
	}
}

// rememberAnswer remembers that an answer to a prompt with a part began. The caller holds mu.
func (q *Quarantine) rememberAnswer(part string, at time.Time) {
	_, known := q.answeredAt[part]
	if len(part) <= maxPartIDBytes && (known || len(q.answeredAt) < maxRecentAnswers) {
		q.answeredAt[part] = at
	}
}

// Find returns the verdict on a prompt, and reports whether it is refused.
func (q *Quarantine) Find(p figseam.Prompt) (Verdict, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.verdicts) == 0 {
		return Verdict{}, false
	}
	shared := sharedParts(p)
	for _, v := range q.verdicts {
		if v.From.Passed() && !v.Until.Passed() && v.appliesTo(shared) {
			return v, true
		}
	}
	return Verdict{}, false
}

// Len returns the number of verdicts in force.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.verdicts)
}

// EvictExpired drops evidence and answers that no longer count.
func (q *Quarantine) EvictExpired() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(q.answeredAt, func(_ string, at time.Time) bool { return now.Sub(at) > answerCoversMillis*time.Millisecond })
	if len(q.records) == 0 {
		return
	}
	maps.DeleteFunc(q.records, func(_ string, r record) bool { return r.evidence.expired() })
	q.judgeAll()
}

// Merge adds the evidence of other instances.
func (q *Quarantine) Merge(all []Evidence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.merge(all)
}

// merge is like Merge. The caller holds mu.
func (q *Quarantine) merge(all []Evidence) {
	if len(all) == 0 {
		return
	}
	for _, e := range all {
		q.update(e)
	}
	q.judgeAll()
}

// update merges evidence on one part. The caller holds mu.
func (q *Quarantine) update(e Evidence) {
	if len(e.Part) > maxPartIDBytes {
		return
	}
	old, known := q.records[e.Part]
	merged := Evidence{Part: e.Part}.Merge(old.evidence).Merge(e)
	if at, ok := q.answeredAt[e.Part]; ok && len(merged.Crashes) > 0 {
		merged = merged.WithAnswer(at)
	}
	if merged.expired() || (known && !merged.differsFrom(old.evidence)) {
		return
	}
	q.mark.Revision++
	q.records[e.Part] = record{evidence: merged, revision: q.mark.Revision}
	if len(q.records) > maxParts {
		q.evictWeakest()
	}
}

// evictWeakest drops the part with the fewest crashes, and of equal ones the one that has
// not changed for longest. The caller holds mu.
func (q *Quarantine) evictWeakest() {
	weakest := ""
	for part, r := range q.records {
		w, ok := q.records[weakest]
		crashes, fewest := len(r.evidence.Crashes), len(w.evidence.Crashes)
		if !ok || crashes < fewest || (crashes == fewest && r.revision < w.revision) {
			weakest = part
		}
	}
	delete(q.records, weakest)
}

// judgeAll replaces the verdicts by those that follow from the evidence, and logs the
// differences. The caller holds mu.
func (q *Quarantine) judgeAll() {
	var all []Evidence
	for _, r := range q.records {
		all = append(all, r.evidence)
	}
	verdicts := map[string]Verdict{}
	for _, v := range judge(all) {
		v.From = q.verdictFrom(v)
		verdicts[v.key()] = v
		if _, ok := q.verdicts[v.key()]; !ok {
			q.log.Warn().Strs("prompt_parts", v.Parts).Int("engines", v.Engines).Int("requests", v.Requests).Int64("for_ms", v.Until.RemainingMillis()).Msg("prompt part quarantined")
		}
	}
	for key, v := range q.verdicts {
		if _, ok := verdicts[key]; !ok {
			q.log.Info().Strs("prompt_parts", v.Parts).Msg("prompt part no longer quarantined")
		}
	}
	q.verdicts = verdicts
}

// verdictFrom returns the time from which a verdict is in force. One on some of the parts of an
// earlier verdict is in force as early as that. The caller holds mu.
func (q *Quarantine) verdictFrom(v Verdict) figseam.Deadline {
	from := figseam.DeadlineAfterMillis(0)
	if v.AtOnce {
		from = figseam.DeadlineAfterMillis(verdictDelayMillis)
	}
	for _, old := range q.verdicts {
		if old.includes(v) {
			from = from.Min(old.From)
		}
	}
	return from
}

// Mark returns the state of the evidence.
func (q *Quarantine) Mark() Mark {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.mark
}

// Since returns the evidence that changed after a state, or all of it if the state is one
// of another instance.
func (q *Quarantine) Since(m Mark) ([]Evidence, Mark) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.since(m), q.mark
}

// since is like Since. The caller holds mu.
func (q *Quarantine) since(m Mark) []Evidence {
	if m == q.mark {
		return nil
	}
	var changed []Evidence
	for _, part := range slices.Sorted(maps.Keys(q.records)) {
		if r := q.records[part]; m.Epoch != q.mark.Epoch || r.revision > m.Revision {
			changed = append(changed, r.evidence)
		}
	}
	return changed
}
