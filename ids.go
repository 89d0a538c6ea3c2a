package figseam

import "github.com/google/uuid"

// InstanceID identifies an instance, that is, one running figseamd. It comes from the
// settings.
type InstanceID string

// EndpointID identifies a model engine or an endpoint of a plain service.
type EndpointID string

// DataCentre is the name of a data centre, for example "norte-a".
type DataCentre string

// RequestID identifies one request of a caller across instances. A retry by the caller
// with the same request key has the same RequestID.
type RequestID string

// AttemptID identifies one attempt to run a request on engines. Every chunk carries it, so
// that output of an abandoned attempt is not mistaken for output of the current one.
type AttemptID string

// GrantID identifies a reservation of decode memory by the allocator of a cell.
type GrantID string

// Account is the name of the client account whose limits apply to a request.
type Account string

// Code is a stable reason code. Each has an entry in the catalogue of package explainer.
type Code string

// NewAttemptID returns a random identifier.
func NewAttemptID() AttemptID {
	return AttemptID(uuid.NewString())
}

// NewRequestID returns a random identifier for a request without a request key.
func NewRequestID() RequestID {
	return RequestID(uuid.NewString())
}
