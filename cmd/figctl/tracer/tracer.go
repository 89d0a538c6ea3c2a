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

// Step is one sending of a request.
type Step struct {
	Endpoint string `json:"endpoint"`
	// Stage is what the endpoint was to do, Reason why it was chosen, by a charge of so
	// many milliseconds.
	Stage  string  `json:"stage"`
	Reason string  `json:"reason"`
	Charge float64 `json:"charge_ms"`
	// Result is empty for success.
	Result string `json:"result"`
	Millis int64  `json:"ms"`
}

// Attempt is the line of an ended request.
type Attempt struct {
	Time       time.Time `json:"time"`
	Instance   string    `json:"instance"`
	Request    string    `json:"request"`
	Route      string    `json:"route"`
	Service    string    `json:"service"`
	Semantics  string    `json:"semantics"`
	Code       string    `json:"code"`
	Status     int       `json:"status"`
	Millis     int64     `json:"ms"`
	Waited     int64     `json:"waited_ms"`
	Refusals   int       `json:"refusals"`
	FirstEvent int64     `json:"first_event_ms"`
	Version    uint64    `json:"version"`
	ListAge    int64     `json:"list_age_ms"`
	CachedAt   string    `json:"cached_at"`
	LastEvent  int64     `json:"last_event"`
	Input      int       `json:"input_tokens"`
	Output     int       `json:"output_tokens"`
	Steps      []Step    `json:"steps"`
}

// Began returns when the request arrived.
func (a Attempt) Began() time.Time { return a.Time.Add(-time.Duration(a.Millis) * time.Millisecond) }

// Belief is a line that tells of a change of what an instance believes.
type Belief struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Line is the whole line.
	Line string `json:"-"`
}

// Story is what the logs tell of a request.
type Story struct {
	// Attempts are its lines, one for each instance that ended it, in order of time.
	Attempts []Attempt
	// Beliefs are the changes of belief of these instances, and those that name an
	// endpoint of a step, around that time.
	Beliefs []Belief
}

// Read reads log lines and returns the story of a request. Lines that are no JSON are
// passed over: the output of several programs may be mixed.
func Read(request string, logs ...io.Reader) (s Story, err error) {
	defer func() { err = eris.Wrapf(err, "trace request %s", request) }()
	var beliefs []Belief
	for _, r := range logs {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, lineBytes)
		for lines.Scan() {
			// What precedes the object is the mark of whoever collected the lines.
			_, text, found := strings.Cut(lines.Text(), "{")
			text = "{" + text
			var b Belief
			if !found || json.Unmarshal([]byte(text), &b) != nil {
				continue
			}
			if b.Message != endedMessage {
				b.Line = text
				beliefs = append(beliefs, b)
				continue
			}
			var a Attempt
			if json.Unmarshal([]byte(text), &a) == nil && a.Request == request {
				s.Attempts = append(s.Attempts, a)
			}
		}
		if err := lines.Err(); err != nil {
			return Story{}, err
		}
	}
	slices.SortStableFunc(s.Attempts, func(a, b Attempt) int { return a.Time.Compare(b.Time) })
	s.Beliefs = slices.DeleteFunc(beliefs, func(b Belief) bool { return !s.concerns(b) })
	slices.SortStableFunc(s.Beliefs, func(a, b Belief) int { return a.Time.Compare(b.Time) })
	return s, nil
}

// concerns reports whether a belief may have decided an attempt.
func (s Story) concerns(b Belief) bool {
	return slices.ContainsFunc(s.Attempts, func(a Attempt) bool {
		early := b.Time.Before(a.Began().Add(-beforeMillis * time.Millisecond))
		late := b.Time.After(a.Time.Add(afterMillis * time.Millisecond))
		if early || late {
			return false
		}
		named := func(p Step) bool { return strings.Contains(b.Line, `"`+p.Endpoint+`"`) }
		return b.Instance == a.Instance || slices.ContainsFunc(a.Steps, named)
	})
}
