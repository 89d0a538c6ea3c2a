package selector

import (
	"math"
	"math/rand/v2"

	"github.com/figseam/figseam"
)

const (
	// farMillis is what an endpoint in another data centre is charged: the longer
	// way there, and the bytes between data centres.
	farMillis = 10
	// farDecodeMillis is the same for a generation, which lasts for seconds and breaks
	// when the data centres lose each other.
	farDecodeMillis = 150
	// fillMillis is the charge for a whole engine's memory.
	fillMillis = 300
	// failureMillis is charged in proportion to the share of failures beyond that
	// of the service.
	failureMillis = 600
	// doubtMillis is charged for an endpoint in another data centre that seems to be
	// cut off.
	doubtMillis = 500
	// silentMillis is charged for an endpoint that has not answered for unusually
	// long while it has work.
	silentMillis = 5000
	// spreadMillis is the width of the lot that is drawn among equals.
	spreadMillis = 2
	// restMillis is how long an endpoint that failed in a row is left alone,
	// for each failure, up to restMost failures.
	restMillis = 300
	restMost   = 8
	// failuresInRow is how many failures in a row make an endpoint rest.
	failuresInRow = 2
)

// Candidate is an endpoint with what is believed of it.
type Candidate struct {
	Endpoint figseam.ListedEndpoint
	// WorkMillis is how long the work under way is expected to keep it busy: this
	// instance's own and what the endpoint said of others'.
	WorkMillis float64
	// MemoryUtilization is the part of its memory that is in use or promised.
	MemoryUtilization float64
	// FailureRate is the share of its last answers that failed, 0 to 1.
	FailureRate float64
	// ConsecutiveFailures is how many answers in a row failed; SinceFailureMillis is when the
	// last one did.
	ConsecutiveFailures int
	SinceFailureMillis  float64
	// NoResponseMillis is how long the endpoint has had work without any answer.
	NoResponseMillis float64
	// ResponseTimeoutMillis is how long its answers may take.
	ResponseTimeoutMillis float64
	// ProbeInFlight tells that a request is already under way to find out whether the
	// endpoint has recovered.
	ProbeInFlight bool
	// DataCentreSuspect tells that its data centre seems to be cut off from here.
	DataCentreSuspect bool
	// UnreachableByPeers tells that other instances could not reach the endpoint a moment ago,
	// more of them than have requests under way there.
	UnreachableByPeers bool
	// BestFit tells that the request is to be placed where least memory is left; otherwise
	// it goes where most is.
	BestFit bool
	// Full tells that no place is free.
	Full bool
}

// Choice is a decision.
type Choice struct {
	Candidate Candidate
	// CostMillis is the charge by which it was chosen.
	CostMillis float64
	Reason     figseam.Code
}

// Reasons of choices.
const (
	ReasonLeastWork         figseam.Code = "least_work"
	ReasonProbe             figseam.Code = "trial"
	ReasonNoHealthyEndpoint figseam.Code = "last_hope"
)

// Choose returns the best of the candidates for an instance in a data centre.
// Endpoints that rest are used only if all do: a full one that is well has room
// again sooner. It reports false when there is none with a free place.
func Choose(candidates []Candidate, home figseam.DataCentre, random *rand.Rand) (Choice, bool) {
	usual := usualFailures(candidates)
	best, fallback := Choice{CostMillis: math.Inf(1)}, Choice{CostMillis: math.Inf(1)}
	well := false
	for _, c := range candidates {
		rests := InBackoff(c)
		well = well || !rests
		if c.Full {
			continue
		}
		millis := charge(c, home, usual) + random.Float64()*spreadMillis
		if rests && millis < fallback.CostMillis {
			fallback = Choice{Candidate: c, CostMillis: millis, Reason: ReasonNoHealthyEndpoint}
		}
		if !rests && millis < best.CostMillis {
			best = Choice{Candidate: c, CostMillis: millis, Reason: reasonOf(c)}
		}
	}
	if well {
		return best, !math.IsInf(best.CostMillis, 1)
	}
	return fallback, !math.IsInf(fallback.CostMillis, 1)
}

func reasonOf(c Candidate) figseam.Code {
	if c.ConsecutiveFailures >= failuresInRow {
		return ReasonProbe
	}
	return ReasonLeastWork
}

// InBackoff reports whether an endpoint is left alone: after failures in a row, for
// a while, and then until a single request has shown that it is well. What other
// instances cannot reach is left alone as well: an endpoint that crashed has no work
// any more and would look best to each of them in turn.
func InBackoff(c Candidate) bool {
	if c.UnreachableByPeers {
		return true
	}
	if c.ConsecutiveFailures < failuresInRow {
		return false
	}
	rest := float64(restMillis * min(c.ConsecutiveFailures, restMost))
	return c.SinceFailureMillis < rest || c.ProbeInFlight
}

func charge(c Candidate, home figseam.DataCentre, usual float64) float64 {
	millis := c.WorkMillis + memoryMillis(c)
	if c.Endpoint.DataCentre != home {
		millis += wayMillis(c.Endpoint.Stage)
		if c.DataCentreSuspect {
			millis += doubtMillis
		}
	}
	if beyond := c.FailureRate - usual; beyond > 0 {
		millis += beyond * failureMillis
	}
	if c.NoResponseMillis > c.ResponseTimeoutMillis {
		millis += silentMillis
	}
	return millis
}

// memoryMillis returns the charge for the memory that is in use. A generation goes where
// least is left, so that large ones find room elsewhere; one that waits for memory goes
// where most is.
//
// Load pattern: bursts of small and large prompts on engines that are nearly full.
func memoryMillis(c Candidate) float64 {
	if c.BestFit {
		return (1 - c.MemoryUtilization) * fillMillis
	}
	return c.MemoryUtilization * fillMillis
}

// wayMillis returns the charge for an endpoint in another data centre.
func wayMillis(stage figseam.EndpointStage) float64 {
	if stage == figseam.EndpointStageDecode {
		return farDecodeMillis
	}
	return farMillis
}

// usualFailures returns the median share of failures.
func usualFailures(candidates []Candidate) float64 {
	shares := make([]float64, 0, len(candidates))
	for _, c := range candidates {
		shares = append(shares, c.FailureRate)
	}
	return median(shares)
}
