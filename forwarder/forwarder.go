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
	// connectTimeoutMillis bounds the time to open one connection. It is also the delay
	// after which a caller may retry if no endpoint accepts a connection.
	connectTimeoutMillis = 1000
	// claimTimeoutMillis bounds the time to complete or release a claim, and so the delay
	// of the response to the caller.
	claimTimeoutMillis = 3000
	// headerIdempotencyKey is the request header defined in the IETF draft on idempotency
	// keys.
	headerIdempotencyKey = "Idempotency-Key"
	// headerFence is the request header with the fencing token of the claim.
	headerFence = "Figseam-Fence"
)

// statusOutcomeUnknown is the stored status of a call that may or may not have run.
const statusOutcomeUnknown = -1

// Claimer claims calls that must not run more than once.
type Claimer interface {
	figseam.Claimer
	// TakeOver transfers an unfinished claim of a lost holder to this instance.
	TakeOver(ctx context.Context, key string, digest [32]byte) (figseam.Claim, error)
}

// HealthTracker records the results of calls to endpoints and reports the endpoints'
// states.
type HealthTracker interface {
	figseam.EndpointStates
	RecordSuccess(id figseam.EndpointID)
	RecordFailure(id figseam.EndpointID)
}

// Request is a call of a client account to a service.
type Request struct {
	ID             figseam.RequestID
	Account        figseam.Account
	Service        figseam.Service
	Route          figseam.Route
	IdempotencyKey string
	Call           dialer.ServiceCall
}

// Response is the response to the caller.
type Response struct {
	dialer.ServiceResponse
	// Replayed is set if the response was stored by an earlier call with the same key.
	Replayed bool
}

// Forwarder forwards calls to services. It is safe for concurrent use.
type Forwarder struct {
	dataCentre figseam.DataCentre
	config     func() *figseam.Config
	health     HealthTracker
	claimer    Claimer
	log        zerolog.Logger

	// mu guards inFlight, the number of calls in flight per endpoint.
	mu       sync.Mutex
	inFlight map[figseam.EndpointID]int
}

// New returns a forwarder that prefers endpoints of the given data centre.
func New(dataCentre figseam.DataCentre, config func() *figseam.Config, health HealthTracker, claimer Claimer, log zerolog.Logger) *Forwarder {
	return &Forwarder{dataCentre: dataCentre, config: config, health: health, claimer: claimer, log: log, inFlight: map[figseam.EndpointID]int{}}
}

// Forward sends a call to an endpoint and returns the response. The error is a
// *figseam.Refusal, unless the claimer returns another error.
func (f *Forwarder) Forward(ctx context.Context, r Request) (Response, error) {
	deadline := figseam.DeadlineAfterMillis(r.Route.TimeoutMillis)
	ctx, cancel := deadline.Context(ctx)
	defer cancel()
	if r.IdempotencyKey != "" {
		r.Call.Header.Set(headerIdempotencyKey, r.IdempotencyKey)
	}
	switch {
	case r.Route.Idempotent:
		return f.forwardIdempotent(ctx, r)
	case r.IdempotencyKey == "":
		return f.forwardOnce(ctx, r)
	default:
		return f.forwardClaimed(ctx, r)
	}
}

// forwardIdempotent tries up to Retries+1 endpoints. It retries after a failed call
// and after status 503.
func (f *Forwarder) forwardIdempotent(ctx context.Context, r Request) (Response, error) {
	var tried []figseam.EndpointID
	var lastErr error
	sent := false
	for range r.Route.Retries + 1 {
		c, endpoint, err := f.connect(ctx, r, tried)
		if err != nil {
			lastErr = firstError(lastErr, err)
			break
		}
		response, err := f.sendCall(ctx, c, endpoint, r)
		sent = true
		if err == nil && response.Status != http.StatusServiceUnavailable {
			return Response{ServiceResponse: response}, nil
		}
		if err == nil {
			err = fmt.Errorf("endpoint %s answered %d", endpoint, response.Status)
		}
		if ctx.Err() != nil {
			lastErr = err
			break
		}
		lastErr = err
		tried = append(tried, endpoint)
	}
	return Response{}, f.refusalFor(lastErr, sent)
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// refusalFor returns the refusal of a call that failed with err. If the call was sent, the
// outcome is unknown, since the endpoint may have run it.
func (f *Forwarder) refusalFor(err error, sent bool) error {
	if r := figseam.AsRefusal(err); r != nil && !sent {
		return r
	}
	if sent {
		return figseam.NewRefusal(explainer.ServiceCallFailed, "%v", err).WithOutcome(figseam.OutcomeUnknown)
	}
	return figseam.NewRefusal(explainer.NoAvailableEndpoint, "%v", err)
}

// forwardOnce sends a call without a key once, over one connection.
func (f *Forwarder) forwardOnce(ctx context.Context, r Request) (Response, error) {
	c, endpoint, err := f.connect(ctx, r, nil)
	if err != nil {
		return Response{}, f.refusalFor(err, false)
	}
	response, err := f.sendCall(ctx, c, endpoint, r)
	if err != nil {
		return Response{}, f.callError(err, c.AnyBytesSent())
	}
	return Response{ServiceResponse: response}, nil
}

// callError is like refusalFor, except that a call whose response is too large is refused
// with the outcome done.
func (f *Forwarder) callError(err error, sent bool) error {
	if errors.Is(err, dialer.ErrResponseTooLarge) {
		return figseam.NewRefusal(explainer.ResponseTooLarge, "%v", err).WithOutcome(figseam.OutcomeDone)
	}
	return f.refusalFor(err, sent)
}

// forwardClaimed claims a call, sends it once and stores the response. If the key has a
// stored response, it returns that.
func (f *Forwarder) forwardClaimed(ctx context.Context, r Request) (Response, error) {
	key, digest := claimKey(r), requestDigest(r)
	c, endpoint, err := f.connect(ctx, r, nil)
	if err != nil {
		return f.replayStored(ctx, key, digest, err)
	}
	defer func() { _ = c.Close() }()
	claim, stored, err := f.acquireClaim(ctx, r, key, digest)
	switch {
	case err != nil:
		return Response{}, err
	case stored != nil:
		return replayedResponse(stored)
	}
	if claim.SendDeadline.Passed() {
		f.releaseClaim(claim)
		return Response{}, figseam.NewRefusal(explainer.ClaimExpired, "claim was agreed too late to send the call")
	}
	r.Call.Header.Set(headerFence, fmt.Sprint(claim.Fence))
	response, err := f.sendCall(ctx, c, endpoint, r)
	if err != nil {
		return f.handleCallError(ctx, r, claim, c, endpoint, err)
	}
	if slices.Contains(r.Service.NotRunStatuses, response.Status) {
		f.releaseClaim(claim)
		return Response{}, figseam.NewRefusal(explainer.ServiceCallFailed, "endpoint %s refused with status %d", endpoint, response.Status)
	}
	f.completeClaim(claim, newStoredResponse(response))
	return Response{ServiceResponse: response}, nil
}

// acquireClaim claims the key. For a service with a shared check of keys, it takes over the
// claim of a lost holder and, if no majority can be reached, returns a claim without a key,
// which is neither completed nor released.
func (f *Forwarder) acquireClaim(ctx context.Context, r Request, key string, digest [32]byte) (figseam.Claim, *figseam.StoredResponse, error) {
	claimCtx, cancel := context.WithTimeout(ctx, time.Duration(r.Route.TimeoutMillis)*time.Millisecond/2)
	defer cancel()
	claim, stored, err := f.claimer.Claim(claimCtx, key, digest)
	refusal := figseam.AsRefusal(err)
	if refusal == nil || r.Service.KeyCheck != figseam.KeyCheckShared {
		return claim, stored, err
	}
	switch refusal.Code {
	case explainer.PossiblyExecuted:
		claim, err = f.claimer.TakeOver(claimCtx, key, digest)
		return claim, nil, err
	case explainer.NoQuorum:
		return figseam.Claim{SendDeadline: figseam.DeadlineAfterMillis(r.Route.TimeoutMillis)}, nil, nil
	default:
		return claim, stored, err
	}
}

// replayStored returns the stored response of a key when no endpoint can be reached. If
// there is none, it refuses the call with cause, the connection error.
func (f *Forwarder) replayStored(ctx context.Context, key string, digest [32]byte, cause error) (Response, error) {
	claim, stored, err := f.claimer.Claim(ctx, key, digest)
	if err != nil {
		return Response{}, err
	}
	if stored != nil {
		return replayedResponse(stored)
	}
	f.releaseClaim(claim)
	return Response{}, f.refusalFor(cause, false)
}

// handleCallError handles a claimed call that failed with the error cause. If nothing was
// sent, it releases the claim. If the service has a shared check of keys, it retries the
// call once on another endpoint. In all other cases it completes the claim, since the call
// ran or may have run.
func (f *Forwarder) handleCallError(ctx context.Context, r Request, claim figseam.Claim, c *dialer.Connection, endpoint figseam.EndpointID, cause error) (Response, error) {
	if !c.AnyBytesSent() {
		f.releaseClaim(claim)
		return Response{}, f.refusalFor(cause, false)
	}
	if errors.Is(cause, dialer.ErrResponseTooLarge) {
		f.completeClaim(claim, figseam.StoredResponse{})
		return Response{}, f.callError(cause, true)
	}
	if r.Service.KeyCheck == figseam.KeyCheckShared && ctx.Err() == nil {
		if retry, next, err := f.connect(ctx, r, []figseam.EndpointID{endpoint}); err == nil {
			if response, err := f.sendCall(ctx, retry, next, r); err == nil {
				f.completeClaim(claim, newStoredResponse(response))
				return Response{ServiceResponse: response}, nil
			}
		}
	}
	f.completeClaim(claim, figseam.StoredResponse{Status: statusOutcomeUnknown})
	return Response{}, f.refusalFor(cause, true)
}

// replayedResponse returns the response of an earlier call with the same key. It returns a
// refusal if the stored status is statusOutcomeUnknown, or 0, which means that the response
// is not stored.
func replayedResponse(stored *figseam.StoredResponse) (Response, error) {
	switch stored.Status {
	case statusOutcomeUnknown:
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

// newStoredResponse returns the parts of a response that are stored: status, body and the
// headers Content-Type, Location and Etag.
func newStoredResponse(r dialer.ServiceResponse) figseam.StoredResponse {
	s := figseam.StoredResponse{Status: r.Status, Body: r.Body, Header: map[string]string{}}
	for _, k := range []string{"Content-Type", "Location", "Etag"} {
		if v := r.Header.Get(k); v != "" {
			s.Header[k] = v
		}
	}
	return s
}

// completeClaim stores a response, even if the caller's context has been cancelled. An
// error is only logged, so that the caller still gets the response of a call that did run.
func (f *Forwarder) completeClaim(claim figseam.Claim, response figseam.StoredResponse) {
	if claim.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeoutMillis*time.Millisecond)
	defer cancel()
	if err := f.claimer.Complete(ctx, claim, response); err != nil {
		f.log.Error().Err(err).Str("key", claim.Key).Msg("response of a claimed call was not stored")
	}
}

func (f *Forwarder) releaseClaim(claim figseam.Claim) {
	if claim.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeoutMillis*time.Millisecond)
	defer cancel()
	if err := f.claimer.Release(ctx, claim); err != nil {
		f.log.Error().Err(err).Str("key", claim.Key).Msg("claim was not released")
	}
}

// claimKey returns an idempotency key that is qualified by service and account, so that
// equal keys of different accounts or services do not collide.
func claimKey(r Request) string {
	return fmt.Sprintf("%s\x00%s\x00%s", r.Service.Name, r.Account, r.IdempotencyKey)
}

// requestDigest returns the SHA-256 digest of the method, path and body of a call.
func requestDigest(r Request) [32]byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00", r.Call.Method, r.Call.Path)
	_, _ = h.Write(r.Call.Body)
	return [32]byte(h.Sum(nil))
}

// connect opens a connection to the best-ranked endpoint that accepts one, except those in
// exclude. It sends no request, so trying several endpoints is safe.
func (f *Forwarder) connect(ctx context.Context, r Request, exclude []figseam.EndpointID) (*dialer.Connection, figseam.EndpointID, error) {
	for _, e := range f.rankedEndpoints(r.Service.Name, exclude) {
		connectCtx, cancel := context.WithTimeout(ctx, connectTimeoutMillis*time.Millisecond)
		c, err := dialer.Connect(connectCtx, e)
		cancel()
		if err == nil {
			f.logRoute(r, e)
			return c, e.Name, nil
		}
		f.health.RecordFailure(e.Name)
		if ctx.Err() != nil {
			break
		}
	}
	return nil, "", figseam.NewRefusal(explainer.NoAvailableEndpoint, "no endpoint of service %q takes calls", r.Service.Name).
		WithRetryAt(figseam.DeadlineAfterMillis(connectTimeoutMillis))
}

func (f *Forwarder) logRoute(r Request, e figseam.Endpoint) {
	f.log.Info().Str("event", "routing").Str("request", string(r.ID)).Str("account", string(r.Account)).
		Str("route", r.Route.Name).Str("endpoint", string(e.Name)).Str("data_centre", string(e.DataCentre)).
		Str("code", string(explainer.ServiceCallSent)).Send()
}

// rankedEndpoints returns the endpoints of a service that are not draining, except those
// in exclude: those of this data centre first, then by calls in flight. Endpoints that are
// down come last; they are not left out, so that a wrong health state does not make a
// service unavailable.
func (f *Forwarder) rankedEndpoints(service string, exclude []figseam.EndpointID) []figseam.Endpoint {
	config := f.config()
	if config == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []figseam.Endpoint
	for _, e := range config.ServiceEndpoints(service) {
		if f.health.State(e.Name) != figseam.EndpointDraining && !slices.Contains(exclude, e.Name) {
			all = append(all, e)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b figseam.Endpoint) int { return f.rankingCost(a) - f.rankingCost(b) })
	return all
}

// rankingCost returns the sort key of an endpoint; lower is better. The caller must hold
// mu.
func (f *Forwarder) rankingCost(e figseam.Endpoint) int {
	const downCost, remoteCost = 1 << 20, 1 << 10
	cost := f.inFlight[e.Name]
	if f.health.State(e.Name) == figseam.EndpointDown {
		cost += downCost
	}
	if e.DataCentre != f.dataCentre {
		cost += remoteCost
	}
	return cost
}

// sendCall sends a call over a connection, closes the connection and records the result
// for the endpoint's health. An error after the end of ctx does not count as a failure of
// the endpoint.
func (f *Forwarder) sendCall(ctx context.Context, c *dialer.Connection, id figseam.EndpointID, r Request) (dialer.ServiceResponse, error) {
	f.addInFlight(id, 1)
	defer f.addInFlight(id, -1)
	defer func() { _ = c.Close() }()
	response, err := c.Do(ctx, r.Call)
	if err != nil && ctx.Err() == nil {
		f.health.RecordFailure(id)
	} else if err == nil {
		f.health.RecordSuccess(id)
	}
	return response, err
}

func (f *Forwarder) addInFlight(id figseam.EndpointID, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[id] += n
}
