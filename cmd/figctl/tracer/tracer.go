// Package tracer tells the story of one request from the log lines of several
// instances.
package tracer

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// lineBytes bounds a log line.
	lineBytes = 1 << 20
	// beforeMillis and afterMillis are how long before the request arrived and after it
	// ended a belief may have changed to count.
	beforeMillis = 5000
	afterMillis  = 1000
	// endedMessage is the message of the line of an ended request.
	endedMessage = "request ended"
)

// Dispatch is one sending of a request.
type Dispatch struct {
	Endpoint string `json:"endpoint"`
	// Stage is what the endpoint was to do, Reason why it was chosen, by a charge of so
	// many milliseconds.
	Stage        string  `json:"stage"`
	Reason       string  `json:"reason"`
	ChargeMillis float64 `json:"charge_ms"`
	// Result is empty for success.
	Result         string `json:"result"`
	DurationMillis int64  `json:"ms"`
}

// RequestRecord is the line of an ended request.
type RequestRecord struct {
	Time             time.Time  `json:"time"`
	Instance         string     `json:"instance"`
	Request          string     `json:"request"`
	Route            string     `json:"route"`
	Service          string     `json:"service"`
	Semantics        string     `json:"semantics"`
	Code             string     `json:"code"`
	Status           int        `json:"status"`
	DurationMillis   int64      `json:"ms"`
	WaitedMillis     int64      `json:"waited_ms"`
	Refusals         int        `json:"refusals"`
	FirstEventMillis int64      `json:"first_event_ms"`
	ConfigVersion    uint64     `json:"version"`
	ListAgeMillis    int64      `json:"list_age_ms"`
	CachedAt         string     `json:"cached_at"`
	LastEventID      int64      `json:"last_event"`
	InputTokens      int        `json:"input_tokens"`
	MaxOutputTokens  int        `json:"output_tokens"`
	Dispatches       []Dispatch `json:"steps"`
}

// StartTime returns when the request arrived.
func (a RequestRecord) StartTime() time.Time {
	return a.Time.Add(-time.Duration(a.DurationMillis) * time.Millisecond)
}

// StateChange is a line that tells of a change of what an instance believes.
type StateChange struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Line is the whole line.
	Line string `json:"-"`
}

// Trace is what the logs tell of a request.
type Trace struct {
	// Attempts are its lines, one for each instance that ended it, in order of time.
	Attempts []RequestRecord
	// Beliefs are the changes of belief of these instances, and those that name an
	// endpoint of a step, around that time.
	Beliefs []StateChange
}

// Read reads log lines and returns the story of a request. Lines that are no JSON are
// passed over: the output of several programs may be mixed.
func Read(request string, logs ...io.Reader) (s Trace, err error) {
	defer func() { err = eris.Wrapf(err, "trace request %s", request) }()
	var beliefs []StateChange
	for _, r := range logs {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, lineBytes)
		for lines.Scan() {
			// What precedes the object is the mark of whoever collected the lines.
			_, text, found := strings.Cut(lines.Text(), "{")
			text = "{" + text
			var b StateChange
			if !found || json.Unmarshal([]byte(text), &b) != nil {
				continue
			}
			if b.Message != endedMessage {
				b.Line = text
				beliefs = append(beliefs, b)
				continue
			}
			var a RequestRecord
			if json.Unmarshal([]byte(text), &a) == nil && a.Request == request {
				s.Attempts = append(s.Attempts, a)
			}
		}
		if err := lines.Err(); err != nil {
			return Trace{}, err
		}
	}
	slices.SortStableFunc(s.Attempts, func(a, b RequestRecord) int { return a.Time.Compare(b.Time) })
	s.Beliefs = slices.DeleteFunc(beliefs, func(b StateChange) bool { return !s.concerns(b) })
	slices.SortStableFunc(s.Beliefs, func(a, b StateChange) int { return a.Time.Compare(b.Time) })
	return s, nil
}

// concerns reports whether a belief may have decided an attempt.
func (s Trace) concerns(b StateChange) bool {
	return slices.ContainsFunc(s.Attempts, func(a RequestRecord) bool {
		early := b.Time.Before(a.StartTime().Add(-beforeMillis * time.Millisecond))
		late := b.Time.After(a.Time.Add(afterMillis * time.Millisecond))
		if early || late {
			return false
		}
		named := func(p Dispatch) bool { return strings.Contains(b.Line, `"`+p.Endpoint+`"`) }
		return b.Instance == a.Instance || slices.ContainsFunc(a.Dispatches, named)
	})
}
