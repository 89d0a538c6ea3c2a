// Package driver offers a deployment an open-loop load: requests arrive at times
// fixed beforehand by a seed, whether earlier ones are answered or not.
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
	// ArrivalShare is the part of all arrivals.
	ArrivalShare float64
	// ModelRoute is the model route, or empty for a service call.
	ModelRoute string
	Patient    bool
	// PrefixTokens are shared with other requests, OwnTokens are not; lengths
	// vary around these means.
	PrefixTokens int
	UniqueTokens int
	AnswerTokens int
	// ServicePath is the path of a service call, Once marks one that must not be
	// repeated.
	ServicePath   string
	NonIdempotent bool
}

// Scenario is a user's mix of requests.
type Scenario struct {
	User    planner.User
	Classes []RequestClass
	// PrefixCount is how many different shared prefixes there are.
	PrefixCount int
	// RateAmplitude is how much the rate swings around its mean, from 0 to 1.
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
			{Name: "manual", ArrivalShare: 0.05, ModelRoute: pilhacasa.PatientRoute, Patient: true, PrefixTokens: 512, UniqueTokens: 5500, AnswerTokens: 200},
			{Name: "stock", ArrivalShare: 0.10, ServicePath: "/stock"},
			{Name: "order", ArrivalShare: 0.05, ServicePath: "/orders", NonIdempotent: true},
		}},
		"kantamanto": {User: kantamanto, PrefixCount: 6, RateAmplitude: 0.4, Classes: []RequestClass{
			{Name: "photo", ArrivalShare: 0.80, ModelRoute: kantamanto.InteractiveRoute, PrefixTokens: 512, UniqueTokens: 800, AnswerTokens: 100},
			{Name: "archive", ArrivalShare: 0.04, ModelRoute: kantamanto.PatientRoute, Patient: true, PrefixTokens: 512, UniqueTokens: 3000, AnswerTokens: 120},
			{Name: "status", ArrivalShare: 0.11, ServicePath: "/status"},
			{Name: "repair", ArrivalShare: 0.05, ServicePath: "/repairs", NonIdempotent: true},
		}},
	}
}

// Request is one arrival.
type Request struct {
	Number int
	// ArrivalOffset is when the request is sent, from the start of the load.
	ArrivalOffset time.Duration
	Class         RequestClass
	InstanceIndex int
	Prompt        string
	// AnswerTokens is the length of the right answer.
	AnswerTokens   int
	IdempotencyKey string
	// AbandonAfterTokens is after how many tokens the caller leaves; 0 for never.
	AbandonAfterTokens int
}

// CapacityBound is what the stand-ins' capacity allows at all, in model requests per
// second: the lower of what all prefill engines compute and what all decode
// slots hold, for the mix's mean request with its prefix cached. A router that
// refused the dear requests and served only cheap ones could exceed it.
type CapacityBound struct {
	PrefillPerSecond float64 `json:"prefill_per_s"`
	DecodePerSecond  float64 `json:"decode_per_s"`
}

// RequestsPerSecond returns the lower of the two bounds.
func (b CapacityBound) RequestsPerSecond() float64 {
	return math.Min(b.PrefillPerSecond, b.DecodePerSecond)
}

// CapacityBound works out the scenario's bound with a number of engines of each role.
func (s Scenario) CapacityBound() CapacityBound {
	var prefill, decode, share float64
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
	step := (e.StepBaseMillis + slots*e.StepPerRequestMillis) / 1000
	for _, c := range s.Classes {
		if c.ModelRoute == "" {
			continue
		}
		share += c.ArrivalShare
		prefill += c.ArrivalShare * float64(c.UniqueTokens) / e.PrefillTokensPerSecond
		transfer := float64(c.PrefixTokens+c.UniqueTokens) / e.TransferTokensPerSecond
		decode += c.ArrivalShare * (float64(c.AnswerTokens)*step + transfer)
	}
	return CapacityBound{
		PrefillPerSecond: float64(prefillEngines) * share / prefill,
		DecodePerSecond:  float64(decodeEngines) * slots * share / decode,
	}
}

// ModelShare is the part of the arrivals that are model requests.
func (s Scenario) ModelShare() float64 {
	share := 0.0
	for _, c := range s.Classes {
		if c.ModelRoute != "" {
			share += c.ArrivalShare
		}
	}
	return share
}

// Arrivals returns the requests of one run. load is the rate of model requests
// as a multiple of the bound; cancels is the share of callers who leave early.
func (s Scenario) Arrivals(seed uint64, load float64, length time.Duration, callers int, cancels float64) []Request {
	r := rand.New(rand.NewPCG(seed, 3))
	rate := load * s.CapacityBound().RequestsPerSecond() / s.ModelShare()
	var all []Request
	for at := 0.0; ; {
		swing := 1 + s.RateAmplitude*math.Sin(at*2*math.Pi/5)
		at += r.ExpFloat64() / (rate * swing)
		if at >= length.Seconds() {
			return all
		}
		q := s.request(r, len(all))
		q.ArrivalOffset = time.Duration(at * float64(time.Second))
		q.InstanceIndex = r.IntN(callers)
		if r.Float64() < cancels {
			q.AbandonAfterTokens = 1 + r.IntN(40)
		}
		all = append(all, q)
	}
}

func (s Scenario) request(r *rand.Rand, number int) Request {
	c := s.pick(r)
	q := Request{Number: number, Class: c}
	if c.NonIdempotent || c.ModelRoute != "" {
		q.IdempotencyKey = fmt.Sprintf("key-%d-%d", number, r.Uint64())
	}
	if c.ModelRoute == "" {
		return q
	}
	vary := func(mean int) int { return max(1, int(float64(mean)*(0.5+r.Float64()))) }
	prefix := text(fmt.Sprintf("prefix %d of %s ", r.IntN(s.PrefixCount), s.User.Name), c.PrefixTokens)
	own := text(fmt.Sprintf("request %d %d ", number, r.Uint64()), vary(c.UniqueTokens))
	q.AnswerTokens = vary(c.AnswerTokens)
	q.Prompt = emulator.WithAnswerTokens(q.AnswerTokens, prefix+own)
	return q
}

func (s Scenario) pick(r *rand.Rand) RequestClass {
	at := r.Float64()
	for _, c := range s.Classes {
		if at -= c.ArrivalShare; at < 0 {
			return c
		}
	}
	return s.Classes[0]
}

// text returns a text of a number of tokens that begins with start.
func text(start string, tokens int) string {
	n := tokens * figseam.BytesPerToken
	return strings.Repeat(start, n/len(start)+1)[:n]
}
