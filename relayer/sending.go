package relayer

import (
	"context"
	"errors"
	"net/http"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/explainer"
)

// errEndpointLeaving and errEndpointPaused report an endpoint that may receive no new work, for
// good or for now. Nothing was sent to it.
var (
	errEndpointLeaving = errors.New("endpoint is leaving")
	errEndpointPaused  = errors.New("endpoint asked for a pause")
)

// checkWork returns an error if an endpoint may receive no new work now. Every path that sends
// to an endpoint asks it, when it chooses the endpoint and when it sends: an endpoint may begin
// to leave, or ask for a pause, in between.
func (r *Relayer) checkWork(e figseam.ListedEndpoint) error {
	switch {
	case !r.EndpointList.AcceptsWork(e):
		return errEndpointLeaving
	case r.Throttle.Paused(e):
		return errEndpointPaused
	}
	return nil
}

// sendWork sends new work to an endpoint, unless checkWork returns an error.
func (r *Relayer) sendWork(ctx context.Context, e figseam.ListedEndpoint, request connector.Request) (*connector.Response, error) {
	if err := r.checkWork(e); err != nil {
		return nil, err
	}
	r.Throttle.RecordSend(e)
	return r.sendObserved(ctx, e, request)
}

// sendObserved sends a request and records what the endpoint says of itself in the heads of
// all answers.
func (r *Relayer) sendObserved(ctx context.Context, e figseam.ListedEndpoint, request connector.Request) (*connector.Response, error) {
	request.ObserveHead = func(status int, header http.Header) {
		notice := r.Codec.DecodeNotice(status, header)
		if notice.Leaving {
			r.EndpointList.RecordLeaving(e)
		}
		r.Throttle.RecordPause(e, notice.PauseMillis)
	}
	return r.Connector.Do(ctx, request)
}

// sendRelease sends a call that frees resources of an endpoint, also of one that leaves. One
// that asked for a pause frees them itself once they expire.
func (r *Relayer) sendRelease(ctx context.Context, e figseam.ListedEndpoint, request connector.Request) (*connector.Response, error) {
	if r.Throttle.Paused(e) {
		return nil, errEndpointPaused
	}
	return r.sendObserved(ctx, e, request)
}

// unsent reports whether an attempt with a code that is not empty sent nothing to its
// endpoint.
func unsent(code figseam.Code) bool {
	switch code {
	case explainer.ConnectFailed, explainer.NoConnection, explainer.EndpointLeaving, explainer.EndpointPaused:
		return true
	}
	return false
}
