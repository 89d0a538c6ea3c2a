package selector

import (
	"math"
	"math/rand/v2"

	"github.com/figseam/figseam"
)

const (
	// crossCentreCostMillis is the cost of an endpoint in another data centre: the longer
	// round trip and the traffic between data centres.
	crossCentreCostMillis = 10
	// crossCentreDecodeCostMillis is the same for a generation, whose stream lasts for
	// seconds and breaks if the data centres are partitioned.
	crossCentreDecodeCostMillis = 150
	// memoryCostMillis is the cost of the whole memory of an engine; see memoryCost.
	memoryCostMillis = 300
	// failureCostMillis is the cost of a failure rate of 1. It is charged for the part of
	// the failure rate above the median of the service.
	failureCostMillis = 600
	// suspectCostMillis is the cost of an endpoint in another data centre that may be
	// partitioned from this instance.
	suspectCostMillis = 500
	// noResponseCostMillis is the cost of an endpoint whose response is overdue.
	noResponseCostMillis = 5000
	// tieBreakMillis is the upper bound of the random cost that separates equal
	// candidates.
	tieBreakMillis = 2
	// backoffMillis is the backoff per consecutive failure, for up to maxBackoffFailures
	// failures.
	backoffMillis      = 300
	maxBackoffFailures = 8
	// backoffFailures is the number of consecutive failures from which on an endpoint is
	// in backoff.
	backoffFailures = 2
)

// Candidate is an endpoint with its load and health.
type Candidate struct {
	Endpoint figseam.ListedEndpoint
	// WorkMillis is the expected duration of the requests in flight, those of this
	// instance and those of others.
	WorkMillis float64
	// MemoryUtilization is the share of its memory that is in use or reserved.
	MemoryUtilization float64
	// FailureRate is the decaying average share of failed requests, 0 to 1.
	FailureRate float64
	// ConsecutiveFailures is the number of failures since the last success, and
	// SinceFailureMillis the time since the last of them.
	ConsecutiveFailures int
	SinceFailureMillis  float64
	// NoResponseMillis is the time since the endpoint last responded, or since the first
	// request in flight was sent if that was later; 0 if no request is in flight.
	NoResponseMillis float64
	// ResponseTimeoutMillis is the NoResponseMillis above which a response is overdue.
	ResponseTimeoutMillis float64
	// ProbeInFlight reports whether a request that probes for recovery is in flight.
	ProbeInFlight bool
	// DataCentreSuspect reports whether the data centre may be partitioned from this
	// instance.
	DataCentreSuspect bool
	// UnreachableByPeers reports whether several other instances recently failed to
	// connect to the endpoint, more than they have requests in flight there, and the
	// endpoint has not responded to this instance recently either.
	UnreachableByPeers bool
	// BestFit reports whether endpoints with less free memory are preferred, rather than
	// those with more.
	BestFit bool
	// Full reports whether the endpoint has no capacity for the request.
	Full bool
}

// Choice is the selected endpoint with the cost and the reason of the decision.
type Choice struct {
	Candidate  Candidate
	CostMillis float64
	Reason     figseam.Code
}

// Reasons of choices.
const (
	ReasonLeastWork         figseam.Code = "least_work"
	ReasonProbe             figseam.Code = "trial"
	ReasonNoHealthyEndpoint figseam.Code = "last_hope"
)

// Choose returns the candidate with the least cost for an instance in the data centre
// home. Endpoints in backoff are used only if all are in backoff: a healthy endpoint that
// is full has capacity again sooner. Choose returns false if no endpoint has capacity.
func Choose(candidates []Candidate, home figseam.DataCentre, random *rand.Rand) (Choice, bool) {
	medianRate := medianFailureRate(candidates)
	best, fallback := Choice{CostMillis: math.Inf(1)}, Choice{CostMillis: math.Inf(1)}
	healthy := false
	for _, c := range candidates {
		inBackoff := InBackoff(c)
		healthy = healthy || !inBackoff
		if c.Full {
			continue
		}
		cost := requestCost(c, home, medianRate) + random.Float64()*tieBreakMillis
		if inBackoff && cost < fallback.CostMillis {
			fallback = Choice{Candidate: c, CostMillis: cost, Reason: ReasonNoHealthyEndpoint}
		}
		if !inBackoff && cost < best.CostMillis {
			best = Choice{Candidate: c, CostMillis: cost, Reason: choiceReason(c)}
		}
	}
	if healthy {
		return best, !math.IsInf(best.CostMillis, 1)
	}
	return fallback, !math.IsInf(fallback.CostMillis, 1)
}

func choiceReason(c Candidate) figseam.Code {
	if c.ConsecutiveFailures >= backoffFailures {
		return ReasonProbe
	}
	return ReasonLeastWork
}

// InBackoff reports whether an endpoint gets no requests: after consecutive failures for a
// time that grows with their number, and then while a single probe is in flight. An
// endpoint that other instances cannot reach is in backoff as well: a crashed endpoint has
// no requests in flight and would seem the best choice to each instance in turn.
func InBackoff(c Candidate) bool {
	if c.UnreachableByPeers {
		return true
	}
	if c.ConsecutiveFailures < backoffFailures {
		return false
	}
	backoff := float64(backoffMillis * min(c.ConsecutiveFailures, maxBackoffFailures))
	return c.SinceFailureMillis < backoff || c.ProbeInFlight
}

func requestCost(c Candidate, home figseam.DataCentre, medianRate float64) float64 {
	cost := c.WorkMillis + memoryCost(c)
	if c.Endpoint.DataCentre != home {
		cost += crossCentreCost(c.Endpoint.Stage)
		if c.DataCentreSuspect {
			cost += suspectCostMillis
		}
	}
	if excess := c.FailureRate - medianRate; excess > 0 {
		cost += excess * failureCostMillis
	}
	if c.NoResponseMillis > c.ResponseTimeoutMillis {
		cost += noResponseCostMillis
	}
	return cost
}

// memoryCost returns the cost in milliseconds of the free memory for best fit, otherwise of
// the memory in use. A generation is placed where the least memory is left, so that large
// ones find capacity elsewhere; one that must wait for memory is placed where the most is
// left.
//
// Load pattern: bursts of small and large prompts on nearly full engines.
func memoryCost(c Candidate) float64 {
	if c.BestFit {
		return (1 - c.MemoryUtilization) * memoryCostMillis
	}
	return c.MemoryUtilization * memoryCostMillis
}

// crossCentreCost returns the cost in milliseconds of an endpoint in another data centre.
func crossCentreCost(stage figseam.EndpointStage) float64 {
	if stage == figseam.EndpointStageDecode {
		return crossCentreDecodeCostMillis
	}
	return crossCentreCostMillis
}

func medianFailureRate(candidates []Candidate) float64 {
	rates := make([]float64, 0, len(candidates))
	for _, c := range candidates {
		rates = append(rates, c.FailureRate)
	}
	return median(rates)
}
