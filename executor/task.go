package executor

import (
	"errors"

	"github.com/figseam/figseam"
)

// Task is a model request to carry out.
type Task struct {
	Job       figseam.Job
	Model     string
	Prompt    string
	MaxTokens int
	// MaxRetries is how many further attempts the route allows.
	MaxRetries int
	Route      string
}

// Sink takes the chunks of an answer, in order and without gaps.
type Sink interface {
	// WriteChunk takes the next chunk. An error means that the caller is gone or too
	// slow.
	WriteChunk(chunk figseam.Chunk) error
}

// Result tells how a task went.
type Result struct {
	PromptTokens int
	AnswerTokens int
	FinishReason string
	Attempts     int
	// WastedTokens is how many prompt tokens were computed for attempts whose
	// result no caller received.
	WastedTokens int
}

// ErrCallerDisconnected is returned when the sink takes no more chunks.
var ErrCallerDisconnected = errors.New("caller is gone")

// errAttempt marks an attempt that failed in a way that another may not.
type errAttempt struct {
	suspect figseam.EndpointID
	cause   error
}

func (e *errAttempt) Error() string { return "attempt failed: " + e.cause.Error() }

func (e *errAttempt) Unwrap() error { return e.cause }
