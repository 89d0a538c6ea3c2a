package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

// Response headers.
const (
	// HeaderOutcome carries the outcome of a refused request: not_run, unknown or done.
	HeaderOutcome = "Figseam-Outcome"
	// HeaderRequestID carries the request ID, which log lines include.
	HeaderRequestID = "Figseam-Request"
	// HeaderReplayed marks a stored response that is sent again for an idempotency key.
	HeaderReplayed = "Figseam-Replayed"
	// HeaderReason carries the reason code of a refusal.
	HeaderReason = "Figseam-Reason"
)

// httpStatuses maps reason codes to HTTP statuses. Other codes map to 503.
var httpStatuses = map[figseam.Code]int{
	explainer.UnknownModel:         http.StatusNotFound,
	explainer.UnknownRoute:         http.StatusNotFound,
	explainer.BadRequest:           http.StatusBadRequest,
	explainer.BodyTooLarge:         http.StatusRequestEntityTooLarge,
	explainer.AccountLimitExceeded: http.StatusTooManyRequests,
	explainer.KeyInProgress:        http.StatusConflict,
	explainer.PossiblyExecuted:     http.StatusConflict,
	explainer.IdempotencyKeyReused: http.StatusUnprocessableEntity,
	explainer.ResponseTooLarge:     http.StatusBadGateway,
	explainer.ServiceCallFailed:    http.StatusBadGateway,
	explainer.EngineFailed:         http.StatusBadGateway,
	explainer.RetriesExhausted:     http.StatusBadGateway,
	explainer.VersionConflict:      http.StatusConflict,
	explainer.ChangeRecordExpired:  http.StatusGone,
}

func httpStatus(r *figseam.Refusal) int {
	if s, ok := httpStatuses[r.Code]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// setRefusalHeaders sets the response headers that all refusals share.
func setRefusalHeaders(w http.ResponseWriter, r *figseam.Refusal) {
	h := w.Header()
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, string(r.Code))
	if !r.RetryAt.IsZero() {
		h.Set("Retry-After", strconv.FormatInt(1+r.RetryAt.RemainingMillis()/1000, 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(1+r.RetryAt.RemainingMillis(), 10))
	}
}

// apiError is the error envelope of the OpenAI API.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    figseam.Code `json:"code"`
	Param   *string      `json:"param"`
}

func newAPIError(r *figseam.Refusal) apiError {
	kind := "server_error"
	switch s := httpStatus(r); {
	case s == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case s < http.StatusInternalServerError:
		kind = "invalid_request_error"
	}
	return apiError{Error: apiErrorBody{Message: r.Detail, Type: kind, Code: r.Code}}
}

// problem is an RFC 9457 problem detail.
type problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail"`
	Code    figseam.Code    `json:"code"`
	Outcome figseam.Outcome `json:"outcome"`
}

func newProblem(r *figseam.Refusal) problem {
	title := string(r.Code)
	if e, ok := explainer.Lookup(r.Code); ok {
		title = e.Title
	}
	return problem{
		Type: "about:blank#" + string(r.Code), Title: title, Status: httpStatus(r),
		Detail: r.Detail, Code: r.Code, Outcome: r.Outcome,
	}
}

func writeProblem(w http.ResponseWriter, r *figseam.Refusal) {
	setRefusalHeaders(w, r)
	writeJSON(w, httpStatus(r), "application/problem+json", newProblem(r))
}

func writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
