package selector

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

const (
	// failureWeight is the weight of one answer in the share of failures.
	failureWeight = 0.15
	// failureFadeMillis is how long a share of failures takes to fall to a third
	// without any answer.
	failureFadeMillis = 6000
	// loadFadeMillis is the same for what an endpoint said of its load.
	loadFadeMillis = 250
	// latencyWeight is the weight of one answer in the usual latency.
	latencyWeight = 0.1
	// patienceFactor times the usual latency, and at least patienceMillis, is how
	// long an endpoint may have work without any answer.
	patienceFactor = 4
	patienceMillis = 150
	// forgetMillis is when the record of an endpoint without work is dropped.
	forgetMillis = 60_000
)

// record is what one instance knows of an endpoint.
type record struct {
	work       float64 // expected milliseconds of own work under way
	underWay   int
	tokens     int // of memory that own requests need
	others     float64
	othersAt   time.Time
	failure    float64
	failureAt  time.Time
	inRow      int
	answeredAt time.Time // or when the first of the work under way began
	usedAt     time.Time
	latency    float64
	trying     bool
}

// Board keeps what is believed of endpoints. It is safe for concurrent use.
type Board struct {
	// mu guards records.
	mu      sync.Mutex
	records map[key]*record
}

// key names one run of an endpoint: one that starts anew begins with a clean
// record.
type key struct {
	id   string
	born int64
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{records: map[key]*record{}} }

func keyOf(e figseam.ListedEndpoint) key { return key{id: e.ID, born: e.BornMillis} }

func (b *Board) record(e figseam.ListedEndpoint) *record {
	k := keyOf(e)
	r, ok := b.records[k]
	if !ok {
		r = &record{}
		b.records[k] = r
	}
	return r
}

// Work is a request under way at an endpoint. End must be called once.
type Work struct {
	b        *Board
	endpoint figseam.ListedEndpoint
	began    time.Time
	millis   float64
	tokens   int
	answered bool
}

// Begin notes that a request is sent. millis is how long it is expected to keep
// the endpoint busy, tokens the memory that it needs there.
func (b *Board) Begin(e figseam.ListedEndpoint, millis float64, tokens int) *Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.record(e)
	if r.underWay == 0 {
		r.answeredAt = now
	}
	if r.inRow >= failuresInRow {
		r.trying = true
	}
	r.work += millis
	r.tokens += tokens
	r.underWay++
	r.usedAt = now
	return &Work{b: b, endpoint: e, began: now, millis: millis, tokens: tokens}
}

// Answered notes a sign of life: the head of an answer or an event.
func (w *Work) Answered() {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	r := w.b.record(w.endpoint)
	now := time.Now()
	r.answeredAt = now
	if !w.answered {
		w.answered = true
		millis := float64(now.Sub(w.began).Milliseconds())
		if r.latency == 0 {
			r.latency = millis
		}
		r.latency += latencyWeight * (millis - r.latency)
	}
}

// Verdict says how a request ended at an endpoint.
type Verdict int

// Verdicts.
const (
	// Neutral says nothing of the endpoint, such as a caller who left.
	Neutral Verdict = iota
	Good
	Bad
)

// End notes how the request ended.
func (w *Work) End(v Verdict) {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	r := w.b.record(w.endpoint)
	r.work = max(0, r.work-w.millis)
	r.tokens -= w.tokens
	r.underWay--
	r.trying = false
	now := time.Now()
	r.usedAt = now
	switch v {
	case Good:
		r.failure = fade(r.failure, now.Sub(r.failureAt), failureFadeMillis) * (1 - failureWeight)
		r.failureAt, r.inRow = now, 0
	case Bad:
		r.failure = fade(r.failure, now.Sub(r.failureAt), failureFadeMillis)
		r.failure += failureWeight * (1 - r.failure)
		r.failureAt = now
		r.inRow++
	case Neutral:
	}
}

// Load notes what an endpoint said of its load: others are the requests beside
// this instance's own, each of which is expected to take millis.
func (b *Board) Load(e figseam.ListedEndpoint, load figseam.EndpointLoad, millis float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(e)
	others := max(0, load.Running+load.Waiting-r.underWay)
	r.others, r.othersAt = float64(others)*millis, time.Now()
}

// Candidates returns what is believed of endpoints, without those to avoid.
// places bounds the requests under way at one endpoint, memory their tokens; 0
// means no bound.
func (b *Board) Candidates(endpoints []figseam.ListedEndpoint, avoid func(figseam.ListedEndpoint) bool, places, memory int) []Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	all := make([]Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		if e.Leaving || avoid(e) {
			continue
		}
		all = append(all, b.candidate(e, now, places, memory))
	}
	return all
}

func (b *Board) candidate(e figseam.ListedEndpoint, now time.Time, places, memory int) Candidate {
	r, ok := b.records[keyOf(e)]
	if !ok {
		return Candidate{Endpoint: e, PatienceMillis: patienceMillis}
	}
	c := Candidate{
		Endpoint: e, WorkMillis: r.work + fade(r.others, now.Sub(r.othersAt), loadFadeMillis),
		FailureShare: fade(r.failure, now.Sub(r.failureAt), failureFadeMillis), InRow: r.inRow,
		SinceFailureMillis: float64(now.Sub(r.failureAt).Milliseconds()),
		PatienceMillis:     max(patienceMillis, patienceFactor*r.latency),
		Trying:             r.trying,
		Full:               (places > 0 && r.underWay >= places) || (memory > 0 && r.tokens >= memory),
	}
	if r.underWay > 0 {
		c.SilentMillis = float64(now.Sub(r.answeredAt).Milliseconds())
	}
	return c
}

// Forget drops the records of endpoints that were not used for long.
func (b *Board) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, r := range b.records {
		if r.underWay == 0 && time.Since(r.usedAt) > forgetMillis*time.Millisecond {
			delete(b.records, k)
		}
	}
}

// fade lets a value fall to a third in millis.
func fade(value float64, age time.Duration, millis float64) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp(-float64(age.Milliseconds())/millis)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
