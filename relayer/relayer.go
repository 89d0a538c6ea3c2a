package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/admitter"
	"github.com/figseam/figseam/budgeter"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/limiter"
	"github.com/figseam/figseam/lister"
	"github.com/figseam/figseam/locator"
	"github.com/figseam/figseam/matcher"
	"github.com/figseam/figseam/quarantiner"
	"github.com/figseam/figseam/queuer"
	"github.com/figseam/figseam/selector"
	"github.com/figseam/figseam/throttler"
)

const (
	// bodyReadTimeoutMillis is the timeout for reading a caller's request body.
	bodyReadTimeoutMillis = 5000
	// defaultBodyBytes bounds a request body if the table sets no limit.
	defaultBodyBytes = 4 << 20
	// defaultBodyMemoryBytes bounds the memory of all request bodies unless the settings do.
	defaultBodyMemoryBytes = 12 << 20
	// refusalTimeoutMillis bounds the time for which a caller may take to read a refusal that
	// is sent before the request's deadline is known.
	refusalTimeoutMillis = 10_000
	// startupWaitMillis is the longest time that a request waits for the instance's
	// first table and first endpoint list.
	startupWaitMillis = 800
	// writeSlackMillis is the time from the request's deadline to the connection's write
	// deadline.
	writeSlackMillis = 500
)

// errDeadlineExceeded is the cancellation cause of a request whose deadline has passed.
var errDeadlineExceeded = errors.New("request deadline exceeded")

// Settings are the settings and dependencies of a [Relayer].
type Settings struct {
	Codec        figseam.WireCodec
	Connector    *connector.Connector
	EndpointList *lister.EndpointList
	Tracker      *selector.Tracker
	Budget       *budgeter.Budget
	// Quarantine decides which prompts are refused; nil for one of the relayer's own.
	Quarantine *quarantiner.Quarantine
	// Throttle keeps the limits that endpoints name; nil for one of the relayer's own.
	Throttle *throttler.Throttle
	// Quotas keeps the quotas of client accounts; nil for some of the relayer's own.
	Quotas *admitter.Quotas
	// BodyMemoryBytes bounds the memory of all request bodies; 0 for the default.
	BodyMemoryBytes int64
	DataCentre      figseam.DataCentre
	Meter           Meter
	Log             zerolog.Logger
}

// Meter collects the metrics of a [Relayer].
type Meter interface {
	// ObserveRequest counts an ended request and observes its duration.
	ObserveRequest(semantics figseam.Semantics, code figseam.Code, status int, took time.Duration)
	// ObserveFirstEventLatency observes the time from a request's arrival to the first event
	// of its stream.
	ObserveFirstEventLatency(took time.Duration)
}

// Relayer relays callers' requests. It is safe for concurrent use.
type Relayer struct {
	Settings
	index            atomic.Pointer[matcher.Index]
	active           atomic.Int64
	queues           decodeQueues
	remoteDemand     remoteDemand
	residence        residenceMean
	prefillEstimator selector.PrefillEstimator
	cacheLocator     *locator.Locator
	reservations     recentReservations
	// requestMemory and responseMemory hold the bodies that are read completely.
	requestMemory  *limiter.Budget
	responseMemory *limiter.Budget
	// tableSet is closed when the first table is set.
	tableSet chan struct{}
	// stopPlan is nil until a planned stop begins. stopContext is done once it ends.
	stopPlan    atomic.Pointer[stopPlan]
	stopContext context.Context
	endStop     context.CancelFunc
}

// New returns a relayer that refuses all requests until it has a table; see
// [Relayer.SetTable].
func New(settings Settings) *Relayer {
	if settings.Quarantine == nil {
		settings.Quarantine = quarantiner.New(settings.Log)
	}
	if settings.Throttle == nil {
		settings.Throttle = throttler.New("", settings.Log)
	}
	if settings.BodyMemoryBytes <= 0 {
		settings.BodyMemoryBytes = defaultBodyMemoryBytes
	}
	if settings.Quotas == nil {
		settings.Quotas = admitter.NewQuotas(admitter.Tolerance{}, settings.Log)
	}
	r := &Relayer{
		Settings: settings, tableSet: make(chan struct{}),
		queues:        decodeQueues{changed: settings.Tracker.Changed, byService: map[string]*queuer.Queue{}, offered: map[string]offeredLoad{}},
		requestMemory: limiter.NewBudget(settings.BodyMemoryBytes), responseMemory: limiter.NewBudget(maxBufferedBytes),
	}
	r.stopContext, r.endStop = context.WithCancel(context.Background())
	r.cacheLocator = locator.New(r.queryCache, r.logCacheQueryFailure)
	return r
}

// SetTable replaces the table in force if the new version is higher.
func (r *Relayer) SetTable(t *figseam.Table) {
	for {
		old := r.index.Load()
		if old != nil && old.Table().Version >= t.Version {
			return
		}
		index := matcher.New(t)
		if !r.index.CompareAndSwap(old, index) {
			continue
		}
		for _, c := range index.Conflicts() {
			r.Log.Warn().Uint64("version", t.Version).Str("route", c.Hidden.Name).Str("found", c.Found.Name).Msg("route is hidden by another one with the same host and prefix")
		}
		r.Quotas.SetAccounts(t.Accounts)
		if old == nil {
			close(r.tableSet)
		}
		return
	}
}

// TableVersion returns the version of the table in force; 0 if there is none.
func (r *Relayer) TableVersion() uint64 {
	if x := r.index.Load(); x != nil {
		return x.Table().Version
	}
	return 0
}

// ActiveRequests returns the number of requests in flight.
func (r *Relayer) ActiveRequests() int64 { return r.active.Load() }

// task is the state of one request in flight.
type task struct {
	*Relayer
	writer  http.ResponseWriter
	control *http.ResponseController
	request figseam.OpaqueRequest
	// body holds the memory of the request body; nil if there is none.
	body *limiter.Body
	// account is the account of the API key; nil if the request needs none.
	account  *figseam.ClientAccount
	key      figseam.KeyDigest
	claim    admitter.Claim
	route    *figseam.HostRoute
	service  string
	version  uint64
	began    time.Time
	attempts int
	// mayHaveRun is set once an endpoint may have run the request: the request was sent
	// to it, and the endpoint did not report that it did not run the request.
	mayHaveRun bool
	// excluded contains the IDs of endpoints that are not chosen again.
	excluded    map[string]bool
	steps       []step
	wroteHeader bool
	// relayedStatus is the status of the stream that the caller has the beginning of.
	relayedStatus int
	// retryAfterMillis is the estimated delay after which a refused caller may retry; 0
	// if there is no estimate.
	retryAfterMillis float64
	// waitedMillis is the time that the request waited for memory on a decode engine,
	// firstEventMillis the time from its arrival to its first event.
	waitedMillis     int64
	firstEventMillis int64
	// cacheEngine is the engine that presumably has the prompt cached; nil for none.
	cacheEngine *figseam.ListedEndpoint
	// reservationRefusals counts the reservations that engines refused for lack of
	// memory.
	reservationRefusals int
}

// step is one call to an endpoint, as it appears in the log. A prefill that is left to the
// decode engine is a step as well.
type step struct {
	Endpoint   string  `json:"endpoint"`
	Stage      string  `json:"stage"`
	Reason     string  `json:"reason"`
	CostMillis float64 `json:"charge_ms"`
	Result     string  `json:"result"`
	Millis     int64   `json:"ms"`
}

// ServeHTTP relays a request. It implements [http.Handler].
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	t := &task{
		Relayer: r, writer: w, control: http.NewResponseController(w), began: time.Now(), excluded: map[string]bool{},
	}
	defer func() { t.returnUnused() }()
	if !t.admit(q) {
		return
	}
	if t.body != nil {
		defer t.body.Release()
	}
	stopCtx, cancelStop := t.withStop(q.Context())
	defer cancelStop()
	ctx, cancel := context.WithDeadlineCause(stopCtx, t.request.Deadline.Time(), errDeadlineExceeded)
	defer cancel()
	_ = t.control.SetWriteDeadline(t.request.Deadline.Time().Add(writeSlackMillis * time.Millisecond))
	r.Budget.RecordRequest(t.service)
	switch {
	case t.quarantined():
		t.refuseFailed(explainer.PromptQuarantined)
	case t.route.Semantics.IsStream() && t.hasStages():
		t.generate(ctx)
	case t.route.Semantics.IsStream():
		t.streamUnstaged(ctx)
	default:
		t.call(ctx)
	}
}

// admit reads the request and finds its route. If it reports false, it has written a
// refusal.
func (t *task) admit(q *http.Request) bool {
	// The deadlines also bound the time in which net/http reads the rest of a request that is
	// refused early, and writes the refusal.
	_ = t.control.SetReadDeadline(t.began.Add(bodyReadTimeoutMillis * time.Millisecond))
	_ = t.control.SetWriteDeadline(t.began.Add(refusalTimeoutMillis * time.Millisecond))
	request, err := t.Codec.DecodeRequest(q)
	if err != nil {
		t.refuse(http.StatusBadRequest, explainer.BadRequest)
		return false
	}
	t.request = request
	index := t.awaitIndex(q.Context())
	if index == nil {
		t.refuse(http.StatusServiceUnavailable, explainer.NoConfig)
		return false
	}
	t.version = index.Table().Version
	route, ok := index.Find(request.Host, request.Path)
	if !ok {
		t.refuse(http.StatusNotFound, explainer.UnknownRoute)
		return false
	}
	t.route = route
	t.service = matcher.PickService(route)
	if !t.identify(index.Table()) || !t.takeQuota() {
		return false
	}
	request = t.request
	limit := index.Table().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, status, code := t.readBody(q, limit)
	if code != "" {
		t.refuse(status, code)
		return false
	}
	deadline := figseam.DeadlineAt(t.began.Add(time.Duration(route.TimeoutMillis) * time.Millisecond))
	t.request = request.WithDeadline(deadline)
	if body != nil {
		t.body = body
		t.request = t.request.WithBody(body.Bytes())
	}
	if t.refusedByStop() {
		t.refuse(http.StatusServiceUnavailable, explainer.InstanceStopping)
		return false
	}
	return true
}

// awaitIndex returns the index of the table in force; nil if there is none. An instance
// that has just started waits for its first table and list, because a refused caller
// would only retry at another instance that started at the same time. The wait ends
// after startupWaitMillis or a third of the time to the request's deadline, whichever is
// shorter.
func (t *task) awaitIndex(ctx context.Context) *matcher.Index {
	if x := t.index.Load(); x != nil && t.EndpointList.Loaded() {
		return x
	}
	wait := int64(startupWaitMillis)
	if !t.request.Deadline.IsZero() {
		wait = min(wait, t.request.Deadline.RemainingMillis()/3)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
	defer cancel()
	select {
	case <-t.tableSet:
		t.EndpointList.AwaitLoaded(ctx)
	case <-ctx.Done():
	}
	return t.index.Load()
}

// readBody reads the request body, which is nil if there is none. The status and code are those of the refusal; the
// code is empty if the body was read.
func (t *task) readBody(q *http.Request, limit int64) (*limiter.Body, int, figseam.Code) {
	if q.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge, explainer.BodyTooLarge
	}
	if q.ContentLength == 0 {
		_ = t.control.SetReadDeadline(time.Time{})
		return nil, 0, ""
	}
	abort := func() { _ = t.control.SetReadDeadline(time.Unix(1, 0)) }
	body, err := t.requestMemory.ReadAbortableBody(q.Body, int(limit), abort)
	switch {
	case errors.Is(err, limiter.ErrBodyTooLarge):
		return nil, http.StatusRequestEntityTooLarge, explainer.BodyTooLarge
	case errors.Is(err, limiter.ErrBudgetExhausted):
		return nil, http.StatusServiceUnavailable, explainer.BodiesTooLarge
	case err != nil:
		return nil, http.StatusBadRequest, explainer.BadRequest
	}
	_ = t.control.SetReadDeadline(time.Time{})
	return body, 0, ""
}

// hasStages reports whether the service has prefill or decode engines.
func (t *task) hasStages() bool {
	for _, e := range t.EndpointList.ServiceEndpoints(t.service) {
		if e.Stage != figseam.EndpointStageNone {
			return true
		}
	}
	return false
}

// choose returns the best endpoint for a stage. tokens is the memory that the request
// needs there, in tokens.
func (t *task) choose(stage figseam.EndpointStage, dataCentre figseam.DataCentre, tokens int) (selector.Choice, bool) {
	return selector.Choose(t.candidates(stage, tokens), dataCentre, newRand())
}

// candidates returns the candidates for a stage, without excluded endpoints and those whose
// limit is used up. tokens is the memory that the request needs there, in tokens.
func (t *task) candidates(stage figseam.EndpointStage, tokens int) []selector.Candidate {
	exclude := func(e figseam.ListedEndpoint) bool {
		return e.Stage != stage || t.excluded[e.ID] || !t.Throttle.Allows(e)
	}
	return t.Tracker.Candidates(t.EndpointList.ServiceEndpoints(t.service), exclude, tokens, t.memoryTokens())
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// tryAcquireRetry reports whether the request may be sent once more. If so, it consumes
// one retry from the budget.
func (t *task) tryAcquireRetry() bool {
	return t.attempts < t.route.MaxAttempts && t.Budget.TryAcquire(t.service)
}

// recordStep adds a step to those in the request's log line.
func (t *task) recordStep(e figseam.ListedEndpoint, stage string, c selector.Choice, result figseam.Code, began time.Time) {
	t.steps = append(t.steps, step{
		Endpoint: e.ID, Stage: stage, Reason: string(c.Reason), CostMillis: float64(int(c.CostMillis*10)) / 10,
		Result: string(result), Millis: time.Since(began).Milliseconds(),
	})
}
