package figseam

import (
	"errors"
	"fmt"
)

// Outcome describes whether a failed request has run.
type Outcome string

// Outcomes that callers receive.
const (
	// OutcomeNotRun means that no endpoint received any part of the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDone means that the request ran, but its response is not available.
	OutcomeDone Outcome = "done"
)

// Refusal is the error for a request without a regular response. It can be sent between
// instances.
type Refusal struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Code    Code    `cbor:"2,keyasint"`
	Detail  string  `cbor:"3,keyasint,omitempty"`
	// RetryAt is the time from which a retry may succeed. It is zero if waiting does not
	// help.
	RetryAt Deadline `cbor:"4,keyasint"`
}

// NewRefusal returns a refusal with OutcomeNotRun.
func NewRefusal(code Code, format string, args ...any) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Code: code, Detail: fmt.Sprintf(format, args...)}
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Detail)
}

// WithOutcome returns a copy with another outcome.
func (r *Refusal) WithOutcome(outcome Outcome) *Refusal {
	c := *r
	c.Outcome = outcome
	return &c
}

// WithRetryAt returns a copy with the time from which a retry may succeed.
func (r *Refusal) WithRetryAt(at Deadline) *Refusal {
	c := *r
	c.RetryAt = at
	return &c
}

// AsRefusal returns the Refusal that err wraps, or nil.
func AsRefusal(err error) *Refusal {
	if r, ok := errors.AsType[*Refusal](err); ok {
		return r
	}
	return nil
}
