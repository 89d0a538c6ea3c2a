package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/executor"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/gateway"
)

// oneChunk is an executor that delivers one chunk and then ends with an error.
type oneChunk struct{ err error }

func (x oneChunk) Run(_ context.Context, _ executor.Task, sink executor.Sink) (executor.Result, error) {
	if err := sink.WriteChunk(figseam.Chunk{Tokens: 1, Text: "begun"}); err != nil {
		return executor.Result{}, err
	}
	return executor.Result{}, x.err
}

// admitAll admits every request and counts nothing.
type admitAll struct{}

func (admitAll) Admit(context.Context, figseam.Account) error { return nil }
func (admitAll) CountRefusal(*figseam.Refusal)                {}
func (admitAll) CountResponse()                               {}

// TestFailedStreamDoesNotEndAsComplete guards against callers that take the part of an answer that
// came before all engines failed for the whole, since its HTTP response is complete.
func TestFailedStreamDoesNotEndAsComplete(t *testing.T) {
	config := &figseam.Config{
		Routes: map[string]figseam.Route{"m": {Name: "m", Model: "m"}},
		Models: map[string]figseam.Model{"m": {Name: "m", Pool: "p", MaxOutputTokens: 9}},
	}
	tests := []struct {
		name     string
		err      error
		complete bool
	}{
		{"answered", nil, true},
		{"engines failed", figseam.NewRefusal(explainer.RetriesExhausted, "no attempt is left"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			callers := gateway.NewCallerServer(oneChunk{test.err}, nil, admitAll{}, admitAll{}, func() *figseam.Config { return config }, 1<<20, zerolog.Nop())
			server := httptest.NewServer(callers.Handler())
			defer server.Close()
			r, err := http.Post(server.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
			require.NoError(t, err)
			defer func() { _ = r.Body.Close() }()
			text, err := io.ReadAll(r.Body)
			require.Contains(t, string(text), "begun")
			require.Equal(t, test.complete, err == nil, "%v", err)
			require.Equal(t, test.complete, strings.Contains(string(text), "[DONE]"))
			require.Equal(t, !test.complete, strings.Contains(string(text), "no attempt is left"))
		})
	}
}
