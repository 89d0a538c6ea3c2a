package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

// Headers of answers.
const (
	// HeaderOutcome tells what became of a refused request.
	HeaderOutcome = "Figseam-Outcome"
	// HeaderRequestID names the request in the log.
	HeaderRequestID = "Figseam-Request"
	// HeaderReplayed marks a stored answer.
	HeaderReplayed = "Figseam-Replayed"
	// HeaderReason carries the reason code of a refusal.
	HeaderReason = "Figseam-Reason"
)

// statuses maps reason codes to HTTP statuses; other codes give 503.
var statuses = map[figseam.Code]int{
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

func status(r *figseam.Refusal) int {
	if s, ok := statuses[r.Code]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// setHeaders sets the headers that all refusals share.
func setHeaders(w http.ResponseWriter, r *figseam.Refusal) {
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

func envelope(r *figseam.Refusal) apiError {
	kind := "server_error"
	switch s := status(r); {
	case s == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case s < http.StatusInternalServerError:
		kind = "invalid_request_error"
	}
	return apiError{Error: apiErrorBody{Message: r.Detail, Type: kind, Code: r.Code}}
}

// problem is an RFC 9457 problem.
type problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail"`
	Code    figseam.Code    `json:"code"`
	Outcome figseam.Outcome `json:"outcome"`
}

func problemOf(r *figseam.Refusal) problem {
	title := string(r.Code)
	if e, ok := explainer.Lookup(r.Code); ok {
		title = e.Title
	}
	return problem{
		Type: "about:blank#" + string(r.Code), Title: title, Status: status(r),
		Detail: r.Detail, Code: r.Code, Outcome: r.Outcome,
	}
}

func writeProblem(w http.ResponseWriter, r *figseam.Refusal) {
	setHeaders(w, r)
	writeJSON(w, status(r), "application/problem+json", problemOf(r))
}

func writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
