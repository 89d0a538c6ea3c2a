// Package driver applies an open-loop load to a deployment: the arrival times are
// computed in advance from a seed, so they do not depend on the responses to
// earlier requests.
package driver

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/cmd/figload/planner"
	"github.com/figseam/figseam/emulator"
)

// RequestClass is a kind of request in a scenario.
type RequestClass struct {
	Name string
	// ArrivalShare is the share of all arrivals that are of this class.
	ArrivalShare float64
	// ModelRoute is the route of a model request; it is empty for a service call.
	ModelRoute string
	// NoDeadline marks requests on a route without a deadline, which have no latency
	// targets.
	NoDeadline bool
	// PrefixTokens is the length of the part of the prompt that is shared with other
	// requests.
	PrefixTokens int
	// UniqueTokens and AnswerTokens are the mean lengths of the rest of the prompt and of
	// the answer. The lengths vary between 0.5 and 1.5 times the mean.
	UniqueTokens int
	AnswerTokens int
	// ServicePath is the path of a service call. NonIdempotent marks a call that must not
	// be executed twice.
	ServicePath   string
	NonIdempotent bool
}

// Scenario describes the load of a user: its request classes and the variation of its
// arrival rate.
type Scenario struct {
	User    planner.User
	Classes []RequestClass
	// PrefixCount is the number of different shared prefixes.
	PrefixCount int
	// RateAmplitude is the amplitude of the arrival rate's sinusoidal variation, relative
	// to its mean, from 0 to 1.
	RateAmplitude float64
}

// Scenarios returns the users' scenarios by name.
func Scenarios() map[string]Scenario {
	pilhacasa, _ := planner.FindUser("pilhacasa")
	kantamanto, _ := planner.FindUser("kantamanto")
	return map[string]Scenario{
		"pilhacasa": {User: pilhacasa, PrefixCount: 6, RateAmplitude: 0.4, Classes: []RequestClass{
			{Name: "check", ArrivalShare: 0.62, ModelRoute: pilhacasa.InteractiveRoute, PrefixTokens: 512, UniqueTokens: 350, AnswerTokens: 80},
			{Name: "report", ArrivalShare: 0.18, ModelRoute: pilhacasa.InteractiveRoute, PrefixTokens: 512, UniqueTokens: 900, AnswerTokens: 150},
			{Name: "manual", ArrivalShare: 0.05, ModelRoute: pilhacasa.NoDeadlineRoute, NoDeadline: true, PrefixTokens: 512, UniqueTokens: 5500, AnswerTokens: 200},
			{Name: "stock", ArrivalShare: 0.10, ServicePath: "/stock"},
			{Name: "order", ArrivalShare: 0.05, ServicePath: "/orders", NonIdempotent: true},
		}},
		"kantamanto": {User: kantamanto, PrefixCount: 6, RateAmplitude: 0.4, Classes: []RequestClass{
			{Name: "photo", ArrivalShare: 0.80, ModelRoute: kantamanto.InteractiveRoute, PrefixTokens: 512, UniqueTokens: 800, AnswerTokens: 100},
			{Name: "archive", ArrivalShare: 0.04, ModelRoute: kantamanto.NoDeadlineRoute, NoDeadline: true, PrefixTokens: 512, UniqueTokens: 3000, AnswerTokens: 120},
			{Name: "status", ArrivalShare: 0.11, ServicePath: "/status"},
			{Name: "repair", ArrivalShare: 0.05, ServicePath: "/repairs", NonIdempotent: true},
		}},
	}
}

// Request is one arrival.
type Request struct {
	Number int
	// ArrivalOffset is the time from the start of the load to the first send.
	ArrivalOffset time.Duration
	Class         RequestClass
	// InstanceIndex selects the instance, modulo the number of available instances.
	InstanceIndex int
	Prompt        string
	// AnswerTokens is the length of the expected answer.
	AnswerTokens   int
	IdempotencyKey string
	// AbandonAfterTokens is the number of answer tokens after which the caller
	// disconnects; 0 means never.
	AbandonAfterTokens int
}

// CapacityBounds holds two upper bounds on the model requests per second that the emulated
// engines can serve: PrefillPerSecond is the throughput of all prefill engines,
// DecodePerSecond that of all decode engines with every slot in use. Both are for the
// scenario's mean request with its prefix cached; the lower one is the capacity bound of
// the scenario. A router that refuses expensive requests and serves only cheap ones can
// exceed it.
type CapacityBounds struct {
	PrefillPerSecond float64 `json:"prefill_per_s"`
	DecodePerSecond  float64 `json:"decode_per_s"`
}

// RequestsPerSecond returns the lower of the two bounds.
func (b CapacityBounds) RequestsPerSecond() float64 {
	return math.Min(b.PrefillPerSecond, b.DecodePerSecond)
}

// CapacityBounds returns the bounds for the engines of the scenario's user. It assumes that
// all engines have the same speeds and uses those of one engine.
func (s Scenario) CapacityBounds() CapacityBounds {
	var prefillSeconds, decodeSlotSeconds, modelShare float64
	var prefillEngines, decodeEngines int
	var e emulator.EngineSettings
	for _, engines := range s.User.EngineSettings() {
		for _, e = range engines {
			if e.Role == figseam.RolePrefill {
				prefillEngines++
			} else {
				decodeEngines++
			}
		}
	}
	slots := float64(planner.EngineSlots)
	stepSeconds := (e.StepBaseMillis + slots*e.StepPerRequestMillis) / 1000
	for _, c := range s.Classes {
		if c.ModelRoute == "" {
			continue
		}
		modelShare += c.ArrivalShare
		prefillSeconds += c.ArrivalShare * float64(c.UniqueTokens) / e.PrefillTokensPerSecond
		transferSeconds := float64(c.PrefixTokens+c.UniqueTokens) / e.TransferTokensPerSecond
		decodeSlotSeconds += c.ArrivalShare * (float64(c.AnswerTokens)*stepSeconds + transferSeconds)
	}
	return CapacityBounds{
		PrefillPerSecond: float64(prefillEngines) * modelShare / prefillSeconds,
		DecodePerSecond:  float64(decodeEngines) * slots * modelShare / decodeSlotSeconds,
	}
}

// ModelShare returns the share of arrivals that are model requests.
func (s Scenario) ModelShare() float64 {
	share := 0.0
	for _, c := range s.Classes {
		if c.ModelRoute != "" {
			share += c.ArrivalShare
		}
	}
	return share
}

// Arrivals returns the requests of one run in the order of arrival. load is the mean rate
// of model requests as a multiple of the capacity bound; abandonShare is the share of
// callers who disconnect early.
func (s Scenario) Arrivals(seed uint64, load float64, period time.Duration, instances int, abandonShare float64) []Request {
	r := rand.New(rand.NewPCG(seed, 3))
	rate := load * s.CapacityBounds().RequestsPerSecond() / s.ModelShare()
	var requests []Request
	for offsetSeconds := 0.0; ; {
		// The rate varies with a period of 5 s.
		rateFactor := 1 + s.RateAmplitude*math.Sin(offsetSeconds*2*math.Pi/5)
		offsetSeconds += r.ExpFloat64() / (rate * rateFactor)
		if offsetSeconds >= period.Seconds() {
			return requests
		}
		q := s.newRequest(r, len(requests))
		q.ArrivalOffset = time.Duration(offsetSeconds * float64(time.Second))
		q.InstanceIndex = r.IntN(instances)
		if r.Float64() < abandonShare {
			q.AbandonAfterTokens = 1 + r.IntN(40)
		}
		requests = append(requests, q)
	}
}

// newRequest returns a request of a random class. It leaves ArrivalOffset, InstanceIndex
// and AbandonAfterTokens unset.
func (s Scenario) newRequest(r *rand.Rand, number int) Request {
	c := s.pickClass(r)
	q := Request{Number: number, Class: c}
	if c.NonIdempotent || c.ModelRoute != "" {
		q.IdempotencyKey = fmt.Sprintf("key-%d-%d", number, r.Uint64())
	}
	if c.ModelRoute == "" {
		return q
	}
	varyAround := func(mean int) int { return max(1, int(float64(mean)*(0.5+r.Float64()))) }
	prefix := repeatedText(fmt.Sprintf("prefix %d of %s ", r.IntN(s.PrefixCount), s.User.Name), c.PrefixTokens)
	unique := repeatedText(fmt.Sprintf("request %d %d ", number, r.Uint64()), varyAround(c.UniqueTokens))
	q.AnswerTokens = varyAround(c.AnswerTokens)
	q.Prompt = emulator.WithAnswerTokens(q.AnswerTokens, prefix+unique)
	return q
}

// pickClass returns a random class with the probability of its ArrivalShare. The first
// class also gets the remainder if rounding makes the sum of the shares less than 1.
func (s Scenario) pickClass(r *rand.Rand) RequestClass {
	remaining := r.Float64()
	for _, c := range s.Classes {
		if remaining -= c.ArrivalShare; remaining < 0 {
			return c
		}
	}
	return s.Classes[0]
}

// repeatedText returns phrase, repeated and cut to a length in tokens.
func repeatedText(phrase string, tokens int) string {
	bytes := tokens * figseam.BytesPerToken
	return strings.Repeat(phrase, bytes/len(phrase)+1)[:bytes]
}
