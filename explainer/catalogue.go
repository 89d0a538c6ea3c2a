package explainer

import (
	"cmp"
	"slices"

	"github.com/figseam/figseam"
)

// Entry explains one reason code.
type Entry struct {
	Code  figseam.Code `json:"code"`
	Title string       `json:"title"`
	Text  string       `json:"text"`
	// Action is what an operator can do about it.
	Action string `json:"action"`
	// Since is the version that introduced the code.
	Since string `json:"since"`
}

// Reasons of placement decisions.
const (
	PlacedFree   figseam.Code = "placed_free"
	PlacedEarly  figseam.Code = "placed_early"
	PlacedNaive  figseam.Code = "placed_naive"
	PlacedRemote figseam.Code = "placed_remote"
	Resumed      figseam.Code = "resumed"
	RoutedToCall figseam.Code = "routed_call"
)

// Reasons of refusals.
const (
	WouldMissDeadline figseam.Code = "would_miss_deadline"
	NoEngine          figseam.Code = "no_engine"
	NoEndpoint        figseam.Code = "no_endpoint"
	NoOwner           figseam.Code = "no_owner"
	UnknownModel      figseam.Code = "unknown_model"
	UnknownRoute      figseam.Code = "unknown_route"
	BadRequest        figseam.Code = "bad_request"
	BodyTooLarge      figseam.Code = "body_too_large"
	AccountLimit      figseam.Code = "account_limit"
	RetriesSpent      figseam.Code = "retries_spent"
	EngineFailed      figseam.Code = "engine_failed"
	NoConfig          figseam.Code = "no_config"
	CallerGone        figseam.Code = "caller_gone"
	CallerSlow        figseam.Code = "caller_slow"
	NoMajority        figseam.Code = "no_majority"
	InProgress        figseam.Code = "in_progress"
	MayHaveRun        figseam.Code = "may_have_run"
	KeyReused         figseam.Code = "key_reused"
	ClaimLost         figseam.Code = "claim_lost"
	ClaimsFull        figseam.Code = "claims_full"
	CallFailed        figseam.Code = "call_failed"
	AnswerTooLarge    figseam.Code = "answer_too_large"
)

// Outcomes of opaque requests and of their single sendings.
const (
	NoRoom           figseam.Code = "no_room"
	Answered         figseam.Code = "answered"
	AnsweredFailure  figseam.Code = "answered_failure"
	DeadlinePassed   figseam.Code = "deadline_passed"
	EndpointRefused  figseam.Code = "endpoint_refused"
	EndpointFailed   figseam.Code = "endpoint_failed"
	EndpointSilent   figseam.Code = "endpoint_silent"
	NotConnected     figseam.Code = "not_connected"
	ConnectionBroken figseam.Code = "connection_broken"
	AnswerForeign    figseam.Code = "answer_foreign"
	AnswerSpoiled    figseam.Code = "answer_spoiled"
	PrefillFailed    figseam.Code = "prefill_failed"
)

// Reasons of answers to operators.
const (
	VersionConflict figseam.Code = "version_conflict"
	ChangeForgotten figseam.Code = "change_forgotten"
	FaultyObjects   figseam.Code = "faulty_objects"
)

// Lookup returns the entry of a code.
func Lookup(code figseam.Code) (Entry, bool) {
	i := slices.IndexFunc(entries, func(e Entry) bool { return e.Code == code })
	if i < 0 {
		return Entry{}, false
	}
	return entries[i], true
}

// All returns every entry, ordered by code.
func All() []Entry {
	all := slices.Clone(entries)
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Code, b.Code) })
	return all
}
