package figseam

import (
	"errors"
	"fmt"
)

// Outcome says what became of a request that was not answered normally.
type Outcome string

// The outcomes a caller can be told.
const (
	// OutcomeNotRun means that no endpoint received any part of the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeDone means that the request ran, though the answer cannot be given.
	OutcomeDone Outcome = "done"
)

// Refusal is the error for a request that gets no normal answer. It can be sent
// between instances.
type Refusal struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Code    Code    `cbor:"2,keyasint"`
	Detail  string  `cbor:"3,keyasint,omitempty"`
	// RetryAt is when a retry may succeed; zero when waiting does not help.
	RetryAt Deadline `cbor:"4,keyasint"`
}

// NewRefusal returns a Refusal with the outcome not_run.
func NewRefusal(code Code, format string, args ...any) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Detail)
}

// WithOutcome returns a copy with another outcome.
func (r *Refusal) WithOutcome(outcome Outcome) *Refusal {
	c := *r
	c.Outcome = outcome
	return &c
}

// WithRetryAt returns a copy that tells when a retry may succeed.
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
