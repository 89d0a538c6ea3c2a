package recoverer_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/recoverer"
)

func TestCallReturnsErrorOfPanic(t *testing.T) {
	var log bytes.Buffer
	before := recoverer.Count()
	err := recoverer.Call(zerolog.New(&log), "decode", func() error { panic("index out of range") })
	var panicked *recoverer.PanicError
	require.ErrorAs(t, err, &panicked)
	require.Equal(t, "decode", panicked.Task)
	require.Equal(t, before+1, recoverer.Count())
	require.Contains(t, log.String(), "index out of range")
	require.Contains(t, log.String(), "recoverer_test.go", "the stack names the place of the panic")
	failed := errors.New("failed")
	require.ErrorIs(t, recoverer.Call(zerolog.New(&log), "decode", func() error { return failed }), failed)
	require.Equal(t, before+1, recoverer.Count())
}

// TestHandlerConfinesPanic checks that a request whose handler panics, or returns without a
// response, gets none that looks complete, and that the server goes on.
func TestHandlerConfinesPanic(t *testing.T) {
	tests := []struct {
		name    string
		handle  http.HandlerFunc
		status  int
		cut     bool
		counted int64
	}{
		{"no panic", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, http.StatusOK, false, 0},
		{"before the response", func(http.ResponseWriter, *http.Request) { panic("x") }, http.StatusInternalServerError, false, 1},
		{"during the response", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic("x")
		}, http.StatusOK, true, 1},
		{"without a response", func(http.ResponseWriter, *http.Request) {}, 0, true, 0},
		{"after an informational response", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusEarlyHints) }, 0, true, 0},
		{"aborted on purpose", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			before := recoverer.Count()
			s := httptest.NewServer(recoverer.Handler(zerolog.Nop(), test.handle))
			defer s.Close()
			for range 2 {
				status, err := get(s.URL)
				require.Equal(t, test.status, status)
				require.Equal(t, test.cut, err != nil)
			}
			require.Equal(t, before+2*test.counted, recoverer.Count())
		})
	}
}

// get returns the status of a response, 0 for none, and the error that ended it.
func get(url string) (int, error) {
	r, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	defer func() { _ = r.Body.Close() }()
	_, err = io.ReadAll(r.Body)
	return r.StatusCode, err
}
