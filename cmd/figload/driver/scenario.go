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

// Class is a kind of request in a scenario.
type Class struct {
	Name string
	// Share is the part of all arrivals.
	Share float64
	// Route is the model route, or empty for a service call.
	Route   string
	Patient bool
	// PrefixTokens are shared with other requests, OwnTokens are not; lengths
	// vary around these means.
	PrefixTokens int
	OwnTokens    int
	AnswerTokens int
	// Path is the path of a service call, Once marks one that must not be
	// repeated.
	Path string
	Once bool
}

// Scenario is a user's mix of requests.
type Scenario struct {
	User    planner.User
	Classes []Class
	// Prefixes is how many different shared prefixes there are.
	Prefixes int
	// Burst is how much the rate swings around its mean, from 0 to 1.
	Burst float64
}

// Scenarios returns the users' scenarios by name.
func Scenarios() map[string]Scenario {
	pilhacasa, _ := planner.Find("pilhacasa")
	kantamanto, _ := planner.Find("kantamanto")
	return map[string]Scenario{
		"pilhacasa": {User: pilhacasa, Prefixes: 6, Burst: 0.4, Classes: []Class{
			{Name: "check", Share: 0.62, Route: pilhacasa.Route, PrefixTokens: 512, OwnTokens: 350, AnswerTokens: 80},
			{Name: "report", Share: 0.18, Route: pilhacasa.Route, PrefixTokens: 512, OwnTokens: 900, AnswerTokens: 150},
			{Name: "manual", Share: 0.05, Route: pilhacasa.Patient, Patient: true, PrefixTokens: 512, OwnTokens: 5500, AnswerTokens: 200},
			{Name: "stock", Share: 0.10, Path: "/stock"},
			{Name: "order", Share: 0.05, Path: "/orders", Once: true},
		}},
		"kantamanto": {User: kantamanto, Prefixes: 6, Burst: 0.4, Classes: []Class{
			{Name: "photo", Share: 0.80, Route: kantamanto.Route, PrefixTokens: 512, OwnTokens: 800, AnswerTokens: 100},
			{Name: "archive", Share: 0.04, Route: kantamanto.Patient, Patient: true, PrefixTokens: 512, OwnTokens: 3000, AnswerTokens: 120},
			{Name: "status", Share: 0.11, Path: "/status"},
			{Name: "repair", Share: 0.05, Path: "/repairs", Once: true},
		}},
	}
}

// Request is one arrival.
type Request struct {
	Number int
	// At is when the request is sent, from the start of the load.
	At     time.Duration
	Class  Class
	Caller int
	Prompt string
	// AnswerTokens is the length of the right answer.
	AnswerTokens int
	Key          string
	// GoneAfter is after how many tokens the caller leaves; 0 for never.
	GoneAfter int
}

// Bound is what the stand-ins' capacity allows at all, in model requests per
// second: the lower of what all prefill engines compute and what all decode
// slots hold, for the mix's mean request with its prefix cached. A router that
// refused the dear requests and served only cheap ones could exceed it.
type Bound struct {
	PrefillPerSecond float64 `json:"prefill_per_s"`
	DecodePerSecond  float64 `json:"decode_per_s"`
}

// PerSecond returns the lower of the two bounds.
func (b Bound) PerSecond() float64 { return math.Min(b.PrefillPerSecond, b.DecodePerSecond) }

// Bound works out the scenario's bound with a number of engines of each role.
func (s Scenario) Bound() Bound {
	var prefill, decode, share float64
	var prefillEngines, decodeEngines int
	var e emulator.EngineSettings
	for _, engines := range s.User.Engines() {
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
		if c.Route == "" {
			continue
		}
		share += c.Share
		prefill += c.Share * float64(c.OwnTokens) / e.PrefillTokensPerSecond
		transfer := float64(c.PrefixTokens+c.OwnTokens) / e.TransferTokensPerSecond
		decode += c.Share * (float64(c.AnswerTokens)*step + transfer)
	}
	return Bound{
		PrefillPerSecond: float64(prefillEngines) * share / prefill,
		DecodePerSecond:  float64(decodeEngines) * slots * share / decode,
	}
}

// ModelShare is the part of the arrivals that are model requests.
func (s Scenario) ModelShare() float64 {
	share := 0.0
	for _, c := range s.Classes {
		if c.Route != "" {
			share += c.Share
		}
	}
	return share
}

// Arrivals returns the requests of one run. load is the rate of model requests
// as a multiple of the bound; cancels is the share of callers who leave early.
func (s Scenario) Arrivals(seed uint64, load float64, length time.Duration, callers int, cancels float64) []Request {
	r := rand.New(rand.NewPCG(seed, 3))
	rate := load * s.Bound().PerSecond() / s.ModelShare()
	var all []Request
	for at := 0.0; ; {
		swing := 1 + s.Burst*math.Sin(at*2*math.Pi/5)
		at += r.ExpFloat64() / (rate * swing)
		if at >= length.Seconds() {
			return all
		}
		q := s.request(r, len(all))
		q.At = time.Duration(at * float64(time.Second))
		q.Caller = r.IntN(callers)
		if r.Float64() < cancels {
			q.GoneAfter = 1 + r.IntN(40)
		}
		all = append(all, q)
	}
}

func (s Scenario) request(r *rand.Rand, number int) Request {
	c := s.pick(r)
	q := Request{Number: number, Class: c}
	if c.Once || c.Route != "" {
		q.Key = fmt.Sprintf("key-%d-%d", number, r.Uint64())
	}
	if c.Route == "" {
		return q
	}
	vary := func(mean int) int { return max(1, int(float64(mean)*(0.5+r.Float64()))) }
	prefix := text(fmt.Sprintf("prefix %d of %s ", r.IntN(s.Prefixes), s.User.Name), c.PrefixTokens)
	own := text(fmt.Sprintf("request %d %d ", number, r.Uint64()), vary(c.OwnTokens))
	q.AnswerTokens = vary(c.AnswerTokens)
	q.Prompt = emulator.WithAnswerTokens(q.AnswerTokens, prefix+own)
	return q
}

func (s Scenario) pick(r *rand.Rand) Class {
	at := r.Float64()
	for _, c := range s.Classes {
		if at -= c.Share; at < 0 {
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
