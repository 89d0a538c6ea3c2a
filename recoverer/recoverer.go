// Package recoverer confines a panic to the message, request or periodic task whose
// handling caused it: the process goes on, the panic is logged with its stack and counted.
package recoverer

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// count is the number of panics since the start of the process.
var count atomic.Int64

// Count returns the number of panics since the start of the process.
func Count() int64 { return count.Load() }

// PanicError is the error of a call that panicked.
type PanicError struct {
	// Task names what was being handled, and Value is the value of the panic.
	Task  string
	Value any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Task, e.Value) }

// Call calls a function. If the function panics, Call logs and counts the panic and returns
// a [PanicError].
func Call(log zerolog.Logger, task string, function func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = report(log, task, value)
		}
	}()
	return function()
}

// Handler returns a handler that calls next and responds with status 500 if it panics. If
// the response has begun, the connection is closed, so that the response cannot be taken
// for a complete one. A panic with [http.ErrAbortHandler] is passed on. The connection is also
// closed if next returns without a response, for which net/http would write an empty one with
// status 200.
func Handler(log zerolog.Logger, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := &headerObserver{ResponseWriter: w}
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(http.ErrAbortHandler)
			}
			_ = report(log, r.Method+" "+r.URL.Path, value)
			if began.wroteHeader {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusInternalServerError)
		}()
		next.ServeHTTP(began, r)
		if !began.wroteHeader {
			panic(http.ErrAbortHandler)
		}
	})
}

func report(log zerolog.Logger, task string, value any) error {
	count.Add(1)
	err := &PanicError{Task: task, Value: value}
	log.Error().Str("task", task).Str("panic", fmt.Sprint(value)).Bytes("stack", debug.Stack()).Msg("panic recovered")
	return err
}

// headerObserver records whether a response has begun.
type headerObserver struct {
	http.ResponseWriter
	wroteHeader bool
}

// WriteHeader implements [http.ResponseWriter].
func (o *headerObserver) WriteHeader(status int) {
	// Informational responses are not the response.
	o.wroteHeader = o.wroteHeader || status >= http.StatusOK || status == http.StatusSwitchingProtocols
	o.ResponseWriter.WriteHeader(status)
}

// Write implements [http.ResponseWriter].
func (o *headerObserver) Write(p []byte) (int, error) {
	o.wroteHeader = true
	return o.ResponseWriter.Write(p)
}

// Unwrap lets [http.ResponseController] reach the underlying writer.
func (o *headerObserver) Unwrap() http.ResponseWriter { return o.ResponseWriter }
