package relayer

import (
	"context"
	"errors"
	"net/http"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

// errInstanceStopping is the cancellation cause of requests that are in flight when the
// instance stops.
var errInstanceStopping = errors.New("instance is stopping")

// minCallMillis is the time before the end of a planned stop from which calls that may last
// longer are refused. Endpoints answer most calls much sooner.
const minCallMillis = 2000

// stopPlan holds the times of a planned stop.
type stopPlan struct {
	// acceptUntil is the time from which callers are expected to use other instances.
	acceptUntil figseam.Deadline
	// end is the time at which requests that are still in flight are ended.
	end figseam.Deadline
}

// BeginStop begins a planned stop of the instance. From now on responses ask callers to
// close their connections. After acceptUntil, streams whose deadline is later than end are
// refused, and so are such calls shortly before end: another instance can serve them.
func (r *Relayer) BeginStop(acceptUntil, end figseam.Deadline) {
	r.stopPlan.Store(&stopPlan{acceptUntil: acceptUntil, end: end})
}

// EndStop refuses all further requests and ends those in flight. A request whose response
// has not begun gets an answer; any other is cut off.
func (r *Relayer) EndStop() { r.endStop() }

// stopping reports whether a planned stop has begun.
func (r *Relayer) stopping() bool { return r.stopPlan.Load() != nil }

// refusedByStop reports whether the request must be refused since the instance would stop
// before its deadline.
func (t *task) refusedByStop() bool {
	if t.stopContext.Err() != nil {
		return true
	}
	p := t.stopPlan.Load()
	if p == nil || !p.acceptUntil.Passed() || t.request.Deadline.Before(p.end) {
		return false
	}
	return t.route.Semantics.IsStream() || p.end.RemainingMillis() < minCallMillis
}

// withStop returns a copy of ctx that is cancelled when the instance ends the requests in
// flight.
func (r *Relayer) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(r.stopContext, func() { cancel(errInstanceStopping) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// closeAfterResponse has the server close the connection after the response if the instance
// is stopping.
func (r *Relayer) closeAfterResponse(h http.Header) {
	if r.stopping() {
		h.Set("Connection", "close")
	}
}

// requestEnded reports whether a code is the reason why no endpoint is tried any more,
// whatever the endpoints do.
func requestEnded(code figseam.Code) bool {
	switch code {
	case explainer.CallerDisconnected, explainer.DeadlineExceeded, explainer.InstanceStopping:
		return true
	}
	return false
}
