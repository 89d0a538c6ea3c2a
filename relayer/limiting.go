package relayer

import (
	"math/rand/v2"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

// pauseSpreadMillis and pauseSpreadShare, a share of the time until an endpoint takes requests
// again, spread the return of callers that are refused together.
const (
	pauseSpreadMillis = 200
	pauseSpreadShare  = 0.25
)

// noEndpointCode returns the reason why there is no endpoint for a stage. If endpoints are
// left out because they asked for a pause or their limits are used up, it sets
// retryAfterMillis to the expected time until one of them takes a request.
func (t *task) noEndpointCode(stage figseam.EndpointStage) figseam.Code {
	var remaining []figseam.ListedEndpoint
	for _, e := range t.EndpointList.ServiceEndpoints(t.service) {
		if e.Stage == stage && !e.Draining && !t.excluded[e.ID] {
			remaining = append(remaining, e)
		}
	}
	if pause, all := t.Throttle.PauseMillis(remaining); all {
		spread := pauseSpreadMillis + pauseSpreadShare*float64(pause)
		t.retryAfterMillis = float64(pause) + rand.Float64()*spread
		return explainer.EndpointPaused
	}
	millis, limited := t.Throttle.RetryMillis(remaining)
	if !limited {
		return explainer.NoAvailableEndpoint
	}
	t.retryAfterMillis = millis
	return explainer.EndpointLimited
}
