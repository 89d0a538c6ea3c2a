package executor

import (
	"errors"

	"github.com/figseam/figseam"
)

// Task is a model request.
type Task struct {
	Job       figseam.Job
	Model     string
	Prompt    string
	MaxTokens int
	// MaxRetries is the number of attempts that the route allows after the first.
	MaxRetries int
	Route      string
}

// Sink receives the chunks of an answer, in order and without gaps.
type Sink interface {
	// WriteChunk writes the next chunk. It returns an error if the caller has
	// disconnected or is too slow.
	WriteChunk(chunk figseam.Chunk) error
}

// Result summarises the execution of a task.
type Result struct {
	PromptTokens int
	OutputTokens int
	FinishReason string
	Attempts     int
	// WastedTokens is the number of prompt tokens that were computed for attempts that
	// did not finish.
	WastedTokens int
}

// ErrCallerDisconnected is returned when the sink returns an error.
var ErrCallerDisconnected = errors.New("caller is gone")

// attemptError is the error of an attempt that may be retried. failedEndpoint is the
// endpoint at fault, or empty if that is not known.
type attemptError struct {
	failedEndpoint figseam.EndpointID
	cause          error
}

func (e *attemptError) Error() string { return "attempt failed: " + e.cause.Error() }

func (e *attemptError) Unwrap() error { return e.cause }
