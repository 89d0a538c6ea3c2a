package forwarder

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
	"github.com/figseam/figseam/explainer"
)

const (
	// connectMillis bounds the opening of one connection.
	connectMillis = 1000
	// settleMillis is how long a caller waits for its answer to be stored.
	settleMillis = 3000
	// headerKey is the request header of the IETF draft on idempotency keys.
	headerKey = "Idempotency-Key"
	// headerFence carries the claim's fencing number to the endpoint.
	headerFence = "Figseam-Fence"
)

// statusUnknown is stored for a call of which it is not known whether it ran.
const statusUnknown = -1

// Claimer guards calls that must not be repeated.
type Claimer interface {
	figseam.Claimer
	// TakeOver gives an unfinished claim of a lost holder to this instance.
	TakeOver(ctx context.Context, key string, digest [32]byte) (figseam.Claim, error)
}

// HealthTracker takes what calls show of an endpoint.
type HealthTracker interface {
	figseam.EndpointStates
	RecordSuccess(id figseam.EndpointID)
	RecordFailure(id figseam.EndpointID)
}

// Request is a caller's call.
type Request struct {
	ID             figseam.RequestID
	Account        figseam.Account
	Service        figseam.Service
	Route          figseam.Route
	IdempotencyKey string
	Call           dialer.ServiceCall
}

// Response is what the caller gets.
type Response struct {
	dialer.ServiceResponse
	// Replayed is set when the answer was stored by an earlier call.
	Replayed bool
}

// Forwarder passes calls to services. It is safe for concurrent use.
type Forwarder struct {
	home    figseam.DataCentre
	config  func() *figseam.Config
	signs   HealthTracker
	claimer Claimer
	log     zerolog.Logger

	// mu guards open.
	mu   sync.Mutex
	open map[figseam.EndpointID]int
}

// New returns a forwarder that prefers endpoints of the data centre home.
func New(home figseam.DataCentre, config func() *figseam.Config, signs HealthTracker, claimer Claimer, log zerolog.Logger) *Forwarder {
	return &Forwarder{home: home, config: config, signs: signs, claimer: claimer, log: log, open: map[figseam.EndpointID]int{}}
}

// Forward carries out a call. The error is a *Refusal or the context's error.
func (f *Forwarder) Forward(ctx context.Context, r Request) (Response, error) {
	deadline := figseam.DeadlineAfterMillis(r.Route.TimeoutMillis)
	ctx, cancel := deadline.Context(ctx)
	defer cancel()
	if r.IdempotencyKey != "" {
		r.Call.Header.Set(headerKey, r.IdempotencyKey)
	}
	switch {
	case r.Route.Idempotent:
		return f.repeatable(ctx, r)
	case r.IdempotencyKey == "":
		return f.once(ctx, r)
	default:
		return f.claimed(ctx, r)
	}
}

// repeatable tries one endpoint after another.
func (f *Forwarder) repeatable(ctx context.Context, r Request) (Response, error) {
	var tried []figseam.EndpointID
	var last error
	sent := false
	for range r.Route.Retries + 1 {
		c, endpoint, err := f.connect(ctx, r, tried)
		if err != nil {
			last = firstError(last, err)
			break
		}
		answer, err := f.do(ctx, c, endpoint, r)
		sent = true
		if err == nil && answer.Status != http.StatusServiceUnavailable {
			return Response{ServiceResponse: answer}, nil
		}
		if err == nil {
			err = fmt.Errorf("endpoint %s answered %d", endpoint, answer.Status)
		}
		if ctx.Err() != nil {
			last = err
			break
		}
		last = err
		tried = append(tried, endpoint)
	}
	return Response{}, f.refusal(last, sent)
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (f *Forwarder) refusal(err error, sent bool) error {
	if r := figseam.AsRefusal(err); r != nil && !sent {
		return r
	}
	if sent {
		return figseam.NewRefusal(explainer.ServiceCallFailed, "%v", err).WithOutcome(figseam.OutcomeUnknown)
	}
	return figseam.NewRefusal(explainer.NoAvailableEndpoint, "%v", err)
}

// once sends a call without a key over one connection.
func (f *Forwarder) once(ctx context.Context, r Request) (Response, error) {
	c, endpoint, err := f.connect(ctx, r, nil)
	if err != nil {
		return Response{}, f.refusal(err, false)
	}
	answer, err := f.do(ctx, c, endpoint, r)
	if err != nil {
		return Response{}, f.failed(err, c.AnyBytesSent())
	}
	return Response{ServiceResponse: answer}, nil
}

func (f *Forwarder) failed(err error, sent bool) error {
	if errors.Is(err, dialer.ErrResponseTooLarge) {
		return figseam.NewRefusal(explainer.ResponseTooLarge, "%v", err).WithOutcome(figseam.OutcomeDone)
	}
	return f.refusal(err, sent)
}

// claimed sends a call under a claim.
func (f *Forwarder) claimed(ctx context.Context, r Request) (Response, error) {
	key, digest := claimKey(r), digestOf(r)
	c, endpoint, err := f.connect(ctx, r, nil)
	if err != nil {
		return f.storedInstead(ctx, key, digest, err)
	}
	defer func() { _ = c.Close() }()
	claim, stored, err := f.claim(ctx, r, key, digest)
	switch {
	case err != nil:
		return Response{}, err
	case stored != nil:
		return replay(stored)
	}
	if claim.SendDeadline.Passed() {
		f.giveBack(claim)
		return Response{}, figseam.NewRefusal(explainer.ClaimExpired, "claim was agreed too late to send the call")
	}
	r.Call.Header.Set(headerFence, fmt.Sprint(claim.Fence))
	answer, err := f.do(ctx, c, endpoint, r)
	if err != nil {
		return f.unfinished(ctx, r, claim, c, endpoint, err)
	}
	if slices.Contains(r.Service.NotRunStatuses, answer.Status) {
		f.giveBack(claim)
		return Response{}, figseam.NewRefusal(explainer.ServiceCallFailed, "endpoint %s refused with status %d", endpoint, answer.Status)
	}
	f.settle(claim, toStored(answer))
	return Response{ServiceResponse: answer}, nil
}

// claim claims the key. For a service that checks keys everywhere, a lost
// holder's claim is taken over, and no majority is needed.
func (f *Forwarder) claim(ctx context.Context, r Request, key string, digest [32]byte) (figseam.Claim, *figseam.StoredResponse, error) {
	limited, cancel := context.WithTimeout(ctx, time.Duration(r.Route.TimeoutMillis)*time.Millisecond/2)
	defer cancel()
	claim, stored, err := f.claimer.Claim(limited, key, digest)
	refusal := figseam.AsRefusal(err)
	if refusal == nil || r.Service.KeyCheck != figseam.KeyCheckShared {
		return claim, stored, err
	}
	switch refusal.Code {
	case explainer.PossiblyExecuted:
		claim, err = f.claimer.TakeOver(limited, key, digest)
		return claim, nil, err
	case explainer.NoQuorum:
		return figseam.Claim{SendDeadline: figseam.DeadlineAfterMillis(r.Route.TimeoutMillis)}, nil, nil
	default:
		return claim, stored, err
	}
}

// storedInstead answers a known key when no endpoint can be reached.
func (f *Forwarder) storedInstead(ctx context.Context, key string, digest [32]byte, cause error) (Response, error) {
	claim, stored, err := f.claimer.Claim(ctx, key, digest)
	if err != nil {
		return Response{}, err
	}
	if stored != nil {
		return replay(stored)
	}
	f.giveBack(claim)
	return Response{}, f.refusal(cause, false)
}

// unfinished settles a call whose answer did not come.
func (f *Forwarder) unfinished(ctx context.Context, r Request, claim figseam.Claim, c *dialer.Connection, endpoint figseam.EndpointID, cause error) (Response, error) {
	if !c.AnyBytesSent() {
		f.giveBack(claim)
		return Response{}, f.refusal(cause, false)
	}
	if errors.Is(cause, dialer.ErrResponseTooLarge) {
		f.settle(claim, figseam.StoredResponse{})
		return Response{}, f.failed(cause, true)
	}
	if r.Service.KeyCheck == figseam.KeyCheckShared && ctx.Err() == nil {
		if again, next, err := f.connect(ctx, r, []figseam.EndpointID{endpoint}); err == nil {
			if answer, err := f.do(ctx, again, next, r); err == nil {
				f.settle(claim, toStored(answer))
				return Response{ServiceResponse: answer}, nil
			}
		}
	}
	f.settle(claim, figseam.StoredResponse{Status: statusUnknown})
	return Response{}, f.refusal(cause, true)
}

func replay(stored *figseam.StoredResponse) (Response, error) {
	switch stored.Status {
	case statusUnknown:
		return Response{}, figseam.NewRefusal(explainer.PossiblyExecuted, "an earlier call with this key broke off after it was sent").
			WithOutcome(figseam.OutcomeUnknown)
	case 0:
		return Response{}, figseam.NewRefusal(explainer.ResponseTooLarge, "an earlier call with this key ran; its answer is not kept").
			WithOutcome(figseam.OutcomeDone)
	}
	header := http.Header{}
	for k, v := range stored.Header {
		header.Set(k, v)
	}
	return Response{ServiceResponse: dialer.ServiceResponse{Status: stored.Status, Header: header, Body: stored.Body}, Replayed: true}, nil
}

func toStored(a dialer.ServiceResponse) figseam.StoredResponse {
	s := figseam.StoredResponse{Status: a.Status, Body: a.Body, Header: map[string]string{}}
	for _, k := range []string{"Content-Type", "Location", "Etag"} {
		if v := a.Header.Get(k); v != "" {
			s.Header[k] = v
		}
	}
	return s
}

// settle stores an answer, also when the caller has gone meanwhile. When it
// cannot be stored in time the caller still gets it: the call did run.
func (f *Forwarder) settle(claim figseam.Claim, answer figseam.StoredResponse) {
	if claim.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleMillis*time.Millisecond)
	defer cancel()
	if err := f.claimer.Complete(ctx, claim, answer); err != nil {
		f.log.Error().Err(err).Str("key", claim.Key).Msg("answer of a claimed call was not stored")
	}
}

func (f *Forwarder) giveBack(claim figseam.Claim) {
	if claim.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleMillis*time.Millisecond)
	defer cancel()
	if err := f.claimer.Release(ctx, claim); err != nil {
		f.log.Error().Err(err).Str("key", claim.Key).Msg("claim was not given back")
	}
}

// claimKey keeps the keys of accounts and services apart.
func claimKey(r Request) string {
	return fmt.Sprintf("%s\x00%s\x00%s", r.Service.Name, r.Account, r.IdempotencyKey)
}

func digestOf(r Request) [32]byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00", r.Call.Method, r.Call.Path)
	_, _ = h.Write(r.Call.Body)
	return [32]byte(h.Sum(nil))
}

// connect opens a connection to the best endpoint that takes one. Nothing is
// sent, so trying several is safe.
func (f *Forwarder) connect(ctx context.Context, r Request, avoid []figseam.EndpointID) (*dialer.Connection, figseam.EndpointID, error) {
	for _, e := range f.ranked(r.Service.Name, avoid) {
		limited, cancel := context.WithTimeout(ctx, connectMillis*time.Millisecond)
		c, err := dialer.Connect(limited, e)
		cancel()
		if err == nil {
			f.logRoute(r, e)
			return c, e.Name, nil
		}
		f.signs.RecordFailure(e.Name)
		if ctx.Err() != nil {
			break
		}
	}
	return nil, "", figseam.NewRefusal(explainer.NoAvailableEndpoint, "no endpoint of service %q takes calls", r.Service.Name).
		WithRetryAt(figseam.DeadlineAfterMillis(connectMillis))
}

func (f *Forwarder) logRoute(r Request, e figseam.Endpoint) {
	f.log.Info().Str("event", "routing").Str("request", string(r.ID)).Str("account", string(r.Account)).
		Str("route", r.Route.Name).Str("endpoint", string(e.Name)).Str("data_centre", string(e.DataCentre)).
		Str("code", string(explainer.ServiceCallSent)).Send()
}

// ranked returns the endpoints that take calls: those of this data centre first,
// then by calls under way. Endpoints that are down come last, so that a wrong
// sign does not make a service vanish.
func (f *Forwarder) ranked(service string, avoid []figseam.EndpointID) []figseam.Endpoint {
	config := f.config()
	if config == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []figseam.Endpoint
	for _, e := range config.ServiceEndpoints(service) {
		if f.signs.State(e.Name) != figseam.EndpointDraining && !slices.Contains(avoid, e.Name) {
			all = append(all, e)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b figseam.Endpoint) int { return f.cost(a) - f.cost(b) })
	return all
}

// cost ranks an endpoint. The caller holds the mutex.
func (f *Forwarder) cost(e figseam.Endpoint) int {
	const down, far = 1 << 20, 1 << 10
	cost := f.open[e.Name]
	if f.signs.State(e.Name) == figseam.EndpointDown {
		cost += down
	}
	if e.DataCentre != f.home {
		cost += far
	}
	return cost
}

func (f *Forwarder) do(ctx context.Context, c *dialer.Connection, id figseam.EndpointID, r Request) (dialer.ServiceResponse, error) {
	f.count(id, 1)
	defer f.count(id, -1)
	defer func() { _ = c.Close() }()
	answer, err := c.Do(ctx, r.Call)
	if err != nil && ctx.Err() == nil {
		f.signs.RecordFailure(id)
	} else if err == nil {
		f.signs.RecordSuccess(id)
	}
	return answer, err
}

func (f *Forwarder) count(id figseam.EndpointID, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[id] += n
}
