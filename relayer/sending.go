package relayer

import (
	"context"
	"errors"
	"net/http"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/explainer"
)

// errEndpointLeaving reports an endpoint that may no longer receive new work. Nothing was
// sent to it.
var errEndpointLeaving = errors.New("endpoint is leaving")

// acceptsWork reports whether an endpoint may receive new work now. Every path that sends to
// an endpoint asks it, when it chooses the endpoint and when it sends: an endpoint may begin
// to leave in between.
func (r *Relayer) acceptsWork(e figseam.ListedEndpoint) bool {
	return r.EndpointList.AcceptsWork(e)
}

// sendWork sends new work to an endpoint. It returns errEndpointLeaving if the endpoint may
// not receive any.
func (r *Relayer) sendWork(ctx context.Context, e figseam.ListedEndpoint, request connector.Request) (*connector.Response, error) {
	if !r.acceptsWork(e) {
		return nil, errEndpointLeaving
	}
	r.Throttle.RecordSend(e)
	return r.sendObserved(ctx, e, request)
}

// sendObserved sends a request and records what the endpoint says of itself in the heads of
// all answers.
func (r *Relayer) sendObserved(ctx context.Context, e figseam.ListedEndpoint, request connector.Request) (*connector.Response, error) {
	request.ObserveHead = func(status int, header http.Header) {
		if notice := r.Codec.DecodeNotice(status, header); notice.Leaving {
			r.EndpointList.RecordLeaving(e)
		}
	}
	return r.Connector.Do(ctx, request)
}

// sendRelease sends a call that frees resources of an endpoint, whatever its state.
func (r *Relayer) sendRelease(ctx context.Context, e figseam.ListedEndpoint, request connector.Request) (*connector.Response, error) {
	return r.sendObserved(ctx, e, request)
}

// unsent reports whether an attempt with a code that is not empty sent nothing to its
// endpoint.
func unsent(code figseam.Code) bool {
	return code == explainer.ConnectFailed || code == explainer.EndpointLeaving
}
