package explainer

import (
	"cmp"
	"slices"

	"github.com/figseam/figseam"
)

// Entry is the catalogue entry of a reason code.
type Entry struct {
	Code        figseam.Code `json:"code"`
	Title       string       `json:"title"`
	Description string       `json:"text"`
	// Action is the recommended action of an operator.
	Action string `json:"action"`
	// Since is the version that introduced the code.
	Since string `json:"since"`
}

// Reason codes of placement decisions.
const (
	PlacedOnFreeMemory  figseam.Code = "placed_free"
	PlacedBeforeRelease figseam.Code = "placed_early"
	PlacedByLoadReport  figseam.Code = "placed_naive"
	PlacedRemote        figseam.Code = "placed_remote"
	StreamResumed       figseam.Code = "resumed"
	ServiceCallSent     figseam.Code = "routed_call"
)

// Reason codes of refused requests.
const (
	DeadlineUnattainable figseam.Code = "would_miss_deadline"
	NoAvailableEngine    figseam.Code = "no_engine"
	NoAvailableEndpoint  figseam.Code = "no_endpoint"
	OwnerUnavailable     figseam.Code = "no_owner"
	UnknownModel         figseam.Code = "unknown_model"
	UnknownRoute         figseam.Code = "unknown_route"
	BadRequest           figseam.Code = "bad_request"
	BodyTooLarge         figseam.Code = "body_too_large"
	AccountLimitExceeded figseam.Code = "account_limit"
	RetriesExhausted     figseam.Code = "retries_spent"
	EngineFailed         figseam.Code = "engine_failed"
	NoConfig             figseam.Code = "no_config"
	CallerDisconnected   figseam.Code = "caller_gone"
	CallerTooSlow        figseam.Code = "caller_slow"
	NoQuorum             figseam.Code = "no_majority"
	KeyInProgress        figseam.Code = "in_progress"
	PossiblyExecuted     figseam.Code = "may_have_run"
	IdempotencyKeyReused figseam.Code = "key_reused"
	ClaimExpired         figseam.Code = "claim_lost"
	ClaimLimitReached    figseam.Code = "claims_full"
	ServiceCallFailed    figseam.Code = "call_failed"
	ResponseTooLarge     figseam.Code = "answer_too_large"
)

// Reason codes of opaque requests and of their individual attempts.
const (
	NoDecodeCapacity       figseam.Code = "no_room"
	ResponseRelayed        figseam.Code = "answered"
	FailureResponseRelayed figseam.Code = "answered_failure"
	DeadlineExceeded       figseam.Code = "deadline_passed"
	EndpointRejected       figseam.Code = "endpoint_refused"
	EndpointFailed         figseam.Code = "endpoint_failed"
	EndpointTimedOut       figseam.Code = "endpoint_silent"
	ConnectFailed          figseam.Code = "not_connected"
	NoConnection           figseam.Code = "connections_in_use"
	ConnectionLost         figseam.Code = "connection_broken"
	ResponseMismatch       figseam.Code = "answer_foreign"
	InvalidResponse        figseam.Code = "answer_spoiled"
	MalformedResponse      figseam.Code = "answer_malformed"
	PrefillFailed          figseam.Code = "prefill_failed"
	HeadTooLarge           figseam.Code = "head_over_limit"
	EventTooLarge          figseam.Code = "event_over_limit"
	BodiesTooLarge         figseam.Code = "bodies_over_limit"
	PromptQuarantined      figseam.Code = "prompt_quarantined"
	EndpointLimited        figseam.Code = "endpoint_limited"
	InstanceStopping       figseam.Code = "instance_stopping"
	EndpointPaused         figseam.Code = "endpoint_paused"
	EndpointLeaving        figseam.Code = "endpoint_leaving"
	KeyRejected            figseam.Code = "key_refused"
)

// Reason codes of rejected operator requests.
const (
	VersionConflict     figseam.Code = "version_conflict"
	ChangeRecordExpired figseam.Code = "change_forgotten"
	InvalidObjects      figseam.Code = "faulty_objects"
)

// Lookup returns the entry of a code and reports whether there is one.
func Lookup(code figseam.Code) (Entry, bool) {
	i := slices.IndexFunc(catalogue, func(e Entry) bool { return e.Code == code })
	if i < 0 {
		return Entry{}, false
	}
	return catalogue[i], true
}

// All returns a copy of all entries, sorted by code.
func All() []Entry {
	sorted := slices.Clone(catalogue)
	slices.SortFunc(sorted, func(a, b Entry) int { return cmp.Compare(a.Code, b.Code) })
	return sorted
}
