// Package tracer collects the log lines of several instances that concern one request.
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
	// maxLineBytes is the maximum length of a log line. Read returns an error for a longer one.
	maxLineBytes = 1 << 20
	// A state change is relevant from contextBeforeMillis before the arrival of a request
	// until contextAfterMillis after its end.
	contextBeforeMillis = 5000
	contextAfterMillis  = 1000
	// endedMessage is the message of the log line that an instance writes when a request
	// ends.
	endedMessage = "request ended"
)

// Step records one call to an endpoint on behalf of a request. A prefill that is left to the
// decode engine is a step as well.
type Step struct {
	Endpoint string `json:"endpoint"`
	// Stage is the stage of the request that the endpoint was to execute. Reason is the
	// reason code of the endpoint's selection, and CostMillis is the cost estimate used for it.
	Stage      string  `json:"stage"`
	Reason     string  `json:"reason"`
	CostMillis float64 `json:"charge_ms"`
	// Result is the reason code of the failure, or empty for success.
	Result         string `json:"result"`
	DurationMillis int64  `json:"ms"`
}

// RequestRecord is the log line that an instance writes when a request ends. Time is the
// end of the request.
type RequestRecord struct {
	Time             time.Time `json:"time"`
	Instance         string    `json:"instance"`
	Request          string    `json:"request"`
	Route            string    `json:"route"`
	Service          string    `json:"service"`
	Semantics        string    `json:"semantics"`
	Code             string    `json:"code"`
	Status           int       `json:"status"`
	DurationMillis   int64     `json:"ms"`
	WaitedMillis     int64     `json:"waited_ms"`
	Refusals         int       `json:"refusals"`
	FirstEventMillis int64     `json:"first_event_ms"`
	ConfigVersion    uint64    `json:"version"`
	ListAgeMillis    int64     `json:"list_age_ms"`
	CachedAt         string    `json:"cached_at"`
	LastEventID      int64     `json:"last_event"`
	InputTokens      int       `json:"input_tokens"`
	MaxOutputTokens  int       `json:"output_tokens"`
	Steps            []Step    `json:"steps"`
}

// StartTime returns the time at which the request arrived.
func (a RequestRecord) StartTime() time.Time {
	return a.Time.Add(-time.Duration(a.DurationMillis) * time.Millisecond)
}

// StateChange is any log line that is not a RequestRecord. Such lines report changes in an
// instance's view of other instances, of endpoints or of the configuration.
type StateChange struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Line is the JSON text of the line, without a log collector's prefix.
	Line string `json:"-"`
}

// Trace holds the log lines that concern a request. It is the JSON output of
// "figctl trace -json".
type Trace struct {
	// Attempts are the records of the request, one for each time that an instance ended it,
	// ordered by time. A caller may send a request to several instances in succession.
	Attempts []RequestRecord
	// StateChanges are the state changes around the time of an attempt that the attempt's
	// instance logged or that name an endpoint of its steps, ordered by time. The JSON
	// key Beliefs is kept for compatibility.
	StateChanges []StateChange `json:"Beliefs"`
}

// Read reads logs and returns the lines that concern a request. It skips lines that are not
// JSON, because the output of several programs may be mixed. It returns an error if a log
// cannot be read or contains a line that is too long.
func Read(request string, logs ...io.Reader) (t Trace, err error) {
	defer func() { err = eris.Wrapf(err, "trace request %s", request) }()
	var changes []StateChange
	for _, r := range logs {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			// A log collector may have put a prefix before the JSON object.
			_, text, found := strings.Cut(lines.Text(), "{")
			text = "{" + text
			var change StateChange
			if !found || json.Unmarshal([]byte(text), &change) != nil {
				continue
			}
			if change.Message != endedMessage {
				change.Line = text
				changes = append(changes, change)
				continue
			}
			var a RequestRecord
			if json.Unmarshal([]byte(text), &a) == nil && a.Request == request {
				t.Attempts = append(t.Attempts, a)
			}
		}
		if err := lines.Err(); err != nil {
			return Trace{}, err
		}
	}
	slices.SortStableFunc(t.Attempts, func(a, b RequestRecord) int { return a.Time.Compare(b.Time) })
	t.StateChanges = slices.DeleteFunc(changes, func(change StateChange) bool { return !t.isRelevant(change) })
	slices.SortStableFunc(t.StateChanges, func(a, b StateChange) int { return a.Time.Compare(b.Time) })
	return t, nil
}

// isRelevant reports whether a state change may have influenced an attempt.
func (t Trace) isRelevant(change StateChange) bool {
	return slices.ContainsFunc(t.Attempts, func(a RequestRecord) bool {
		early := change.Time.Before(a.StartTime().Add(-contextBeforeMillis * time.Millisecond))
		late := change.Time.After(a.Time.Add(contextAfterMillis * time.Millisecond))
		if early || late {
			return false
		}
		namesEndpoint := func(s Step) bool { return strings.Contains(change.Line, `"`+s.Endpoint+`"`) }
		return change.Instance == a.Instance || slices.ContainsFunc(a.Steps, namesEndpoint)
	})
}
