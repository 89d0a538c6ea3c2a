package figseam

import "github.com/google/uuid"

// InstanceID names one running figseamd. It comes from the settings.
type InstanceID string

// EndpointID names a model engine or an endpoint of a plain service.
type EndpointID string

// DataCentre names a data centre, for example "norte-a".
type DataCentre string

// RequestID identifies one request of a caller across instances. A caller's
// resend with the same request key has the same RequestID.
type RequestID string

// AttemptID identifies one try of a request on engines. Every chunk carries it,
// so that output of an abandoned attempt is never taken for the current one.
type AttemptID string

// GrantID identifies a grant of decode memory in the ledger of a cell.
type GrantID string

// Account names the customer account that a request is counted against.
type Account string

// Code is a stable reason code. The catalogue in package explainer has an
// entry for each.
type Code string

// NewAttemptID returns an identifier that no other attempt has.
func NewAttemptID() AttemptID {
	return AttemptID(uuid.NewString())
}

// NewRequestID returns an identifier for a request whose caller gave no key.
func NewRequestID() RequestID {
	return RequestID(uuid.NewString())
}
