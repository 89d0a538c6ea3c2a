package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
	"github.com/figseam/figseam/forwarder"
	"github.com/figseam/figseam/gateway"
	"github.com/figseam/figseam/publisher"
)

// forwardRecorder records the calls that it is to forward.
type forwardRecorder struct{ calls []forwarder.Request }

func (f *forwardRecorder) Forward(_ context.Context, r forwarder.Request) (forwarder.Response, error) {
	f.calls = append(f.calls, r)
	return forwarder.Response{ServiceResponse: dialer.ServiceResponse{Status: http.StatusOK, Header: http.Header{}}}, nil
}

// serveCall sends a request to a server for callers with one service, whose name needs escapes,
// and returns the status and the recorded calls.
func serveCall(target, authorization string) (int, []forwarder.Request) {
	config := &figseam.Config{
		Routes:   map[string]figseam.Route{"r": {Name: "r", Service: "my desk"}},
		Services: map[string]figseam.Service{"my desk": {Name: "my desk"}},
	}
	calls := &forwardRecorder{}
	callers := gateway.NewCallerServer(nil, calls, admitAll{}, admitAll{}, func() *figseam.Config { return config }, 1<<20, zerolog.Nop())
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, target, nil)
	r.Header.Set("Authorization", authorization)
	callers.Handler().ServeHTTP(w, r)
	return w.Code, calls.calls
}

// TestServiceIsFoundHoweverItIsEscaped guards against a name that is compared once as the caller
// escaped it and once without escapes: calls of the service were refused if anything else in
// their path was escaped.
func TestServiceIsFoundHoweverItIsEscaped(t *testing.T) {
	tests := []struct{ target, path string }{
		{"/my%20desk", "/"},
		{"/my%20desk/a", "/a"},
		{"/my%20desk/a%2Fb", "/a%2Fb"},
		{"/m%79%20desk/a/b", "/a/b"},
		{"/my%20desk//a", "//a"},
	}
	for _, tt := range tests {
		status, calls := serveCall(tt.target, "")
		require.Equal(t, http.StatusOK, status, tt.target)
		require.Equal(t, tt.path, calls[0].Call.Path, tt.target)
	}
	status, _ := serveCall("/my%2520desk/a", "")
	require.Equal(t, http.StatusNotFound, status)
}

// TestSchemeOfCredentialsHasNoLetterCase guards against callers who evade the limits of their
// account by another spelling of the scheme.
func TestSchemeOfCredentialsHasNoLetterCase(t *testing.T) {
	for _, scheme := range []string{"Bearer", "bearer", "BEARER"} {
		_, calls := serveCall("/my%20desk/a", scheme+" faro")
		require.Equal(t, figseam.Account("faro"), calls[0].Account, scheme)
	}
	_, calls := serveCall("/my%20desk/a", "Basic faro")
	require.Empty(t, calls[0].Account)
}

// publishAll accepts every change.
type publishAll struct{}

func (publishAll) Publish(context.Context, publisher.Change) (uint64, error) { return 1, nil }

// TestChangeWithRepeatedFieldIsRefused guards against a change of which only a part is published,
// because a field stands twice.
func TestChangeWithRepeatedFieldIsRefused(t *testing.T) {
	tests := []struct {
		body string
		want int
	}{
		{`{"change":"c","objects":[]}`, http.StatusOK},
		{`{"change":"c","objects":[],"objects":[]}`, http.StatusBadRequest},
		{`{"change":"c","objects":[],"Objects":[]}`, http.StatusBadRequest},
		{`{"change":"c","objects":[],"delete":["route/a"],"delete":["route/b"]}`, http.StatusBadRequest},
		{`{"change":"c","objects":[{"kind":"service","name":"a","name":"b","key_check":"none"}]}`, http.StatusUnprocessableEntity},
	}
	for _, tt := range tests {
		operators := gateway.NewOperatorServer(nil, publishAll{}, nil, http.NotFoundHandler())
		w := httptest.NewRecorder()
		operators.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/changes", strings.NewReader(tt.body)))
		require.Equal(t, tt.want, w.Code, "%s: %s", tt.body, w.Body)
	}
}
