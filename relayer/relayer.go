package relayer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/budgeter"
	"github.com/figseam/figseam/connector"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/lister"
	"github.com/figseam/figseam/locator"
	"github.com/figseam/figseam/matcher"
	"github.com/figseam/figseam/queuer"
	"github.com/figseam/figseam/selector"
)

const (
	// bodyMillis bounds the time between two parts of a caller's body.
	bodyMillis = 5000
	// defaultBodyBytes bounds a body where the table names no limit.
	defaultBodyBytes = 4 << 20
	// firstTableMillis is how long a request waits for the instance's first table and
	// its first list of endpoints.
	firstTableMillis = 800
	// writeSlackMillis is how long behind its deadline an answer may still be
	// written.
	writeSlackMillis = 500
)

// errTimeout ends a request at its deadline.
var errTimeout = errors.New("deadline passed")

// Settings are the parts that a relayer works with.
type Settings struct {
	Codec        figseam.WireCodec
	Connector    *connector.Connector
	EndpointList *lister.EndpointList
	Tracker      *selector.Tracker
	Budget       *budgeter.Budget
	DataCentre   figseam.DataCentre
	Meter        Meter
	Log          zerolog.Logger
}

// Meter counts what a relayer does.
type Meter interface {
	// ObserveRequest counts an ended request and notes how long it took.
	ObserveRequest(semantics figseam.Semantics, code figseam.Code, status int, took time.Duration)
	// ObserveFirstEvent notes the time to the first event of a stream.
	ObserveFirstEvent(took time.Duration)
}

// Relayer serves callers. It is safe for concurrent use.
type Relayer struct {
	Settings
	index  atomic.Pointer[matcher.Index]
	active atomic.Int64
	rooms  rooms
	others otherDemands
	stays  stays
	pace   selector.PrefillEstimator
	caches *locator.Locator
	// hasTable is closed when there is a first table.
	hasTable chan struct{}
}

// New returns a relayer that refuses everything until it has a table.
func New(settings Settings) *Relayer {
	r := &Relayer{Settings: settings, hasTable: make(chan struct{}), rooms: rooms{changed: settings.Tracker.Changed, queues: map[string]*queuer.Queue{}, demands: map[string]demand{}}}
	r.caches = locator.New(r.askCached, r.noteUnasked)
	return r
}

// SetTable puts a table in force if its version is higher.
func (r *Relayer) SetTable(t *figseam.Table) {
	for {
		old := r.index.Load()
		if old != nil && old.Table().Version >= t.Version {
			return
		}
		if !r.index.CompareAndSwap(old, matcher.New(t)) {
			continue
		}
		if old == nil {
			close(r.hasTable)
		}
		return
	}
}

// TableVersion returns the version in force, 0 before there is one.
func (r *Relayer) TableVersion() uint64 {
	if x := r.index.Load(); x != nil {
		return x.Table().Version
	}
	return 0
}

// ActiveRequests returns how many requests are under way.
func (r *Relayer) ActiveRequests() int64 { return r.active.Load() }

// task is one request on its way.
type task struct {
	*Relayer
	writer  http.ResponseWriter
	control *http.ResponseController
	request figseam.OpaqueRequest
	route   *figseam.HostRoute
	service string
	version uint64
	began   time.Time
	sends   int
	// mayHaveRun tells that an endpoint was sent the request and did not prove
	// that it left it alone.
	mayHaveRun bool
	avoid      map[string]bool
	steps      []step
	wroteHead  bool
	// retryMillis is when a refused caller may come back; 0 for soon.
	retryMillis float64
	// waitedMillis is how long the request waited for room, firstEventMillis how long
	// after its arrival its first event came.
	waitedMillis     int64
	firstEventMillis int64
	// cachedAt is the engine that is believed to have the prompt cached; nil for none.
	cachedAt *figseam.ListedEndpoint
	// refusals is how often engines had no memory to set aside.
	refusals int
}

// step is one sending, for the log.
type step struct {
	Endpoint string  `json:"endpoint"`
	Stage    string  `json:"stage"`
	Reason   string  `json:"reason"`
	Charge   float64 `json:"charge_ms"`
	Result   string  `json:"result"`
	Millis   int64   `json:"ms"`
}

// ServeHTTP implements [http.Handler].
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	t := &task{
		Relayer: r, writer: w, control: http.NewResponseController(w), began: time.Now(), avoid: map[string]bool{},
	}
	if !t.admit(q) {
		return
	}
	ctx, cancel := context.WithDeadlineCause(q.Context(), t.request.Deadline.Time(), errTimeout)
	defer cancel()
	_ = t.control.SetWriteDeadline(t.request.Deadline.Time().Add(writeSlackMillis * time.Millisecond))
	r.Budget.RecordRequest(t.service)
	switch {
	case t.route.Semantics.IsStream() && t.staged():
		t.generate(ctx)
	case t.route.Semantics.IsStream():
		t.streamPlainly(ctx)
	default:
		t.call(ctx)
	}
}

// admit reads the request and finds its route. It reports false after it has
// answered.
func (t *task) admit(q *http.Request) bool {
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
	limit := index.Table().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, status, code := t.readBody(q, limit)
	if code != "" {
		t.refuse(status, code)
		return false
	}
	end := figseam.DeadlineAt(t.began.Add(time.Duration(route.TimeoutMillis) * time.Millisecond))
	t.request = request.WithBody(body).WithDeadline(end)
	return true
}

// awaitIndex returns the index in force. An instance that has just started waits a
// little for its first table and list: the caller would only come back to another
// instance that has started at the same time.
func (t *task) awaitIndex(ctx context.Context) *matcher.Index {
	if x := t.index.Load(); x != nil && t.EndpointList.Loaded() {
		return x
	}
	wait := int64(firstTableMillis)
	if !t.request.Deadline.IsZero() {
		wait = min(wait, t.request.Deadline.RemainingMillis()/3)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
	defer cancel()
	select {
	case <-t.hasTable:
		t.EndpointList.AwaitLoaded(ctx)
	case <-ctx.Done():
	}
	return t.index.Load()
}

func (t *task) readBody(q *http.Request, limit int64) ([]byte, int, figseam.Code) {
	// The server reads what is left of a refused body, for so long at most.
	_ = t.control.SetReadDeadline(time.Now().Add(bodyMillis * time.Millisecond))
	if q.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge, explainer.BodyTooLarge
	}
	if q.ContentLength == 0 {
		_ = t.control.SetReadDeadline(time.Time{})
		return nil, 0, ""
	}
	body, err := io.ReadAll(io.LimitReader(q.Body, limit+1))
	switch {
	case err != nil:
		return nil, http.StatusBadRequest, explainer.BadRequest
	case int64(len(body)) > limit:
		return nil, http.StatusRequestEntityTooLarge, explainer.BodyTooLarge
	}
	_ = t.control.SetReadDeadline(time.Time{})
	return body, 0, ""
}

// staged reports whether the service has engines for decode.
func (t *task) staged() bool {
	for _, e := range t.EndpointList.ServiceEndpoints(t.service) {
		if e.Stage != figseam.EndpointStageNone {
			return true
		}
	}
	return false
}

// choose returns the best endpoint for a stage that has room for so many tokens.
func (t *task) choose(stage figseam.EndpointStage, home figseam.DataCentre, need int) (selector.Choice, bool) {
	return selector.Choose(t.candidates(stage, need), home, randomSource())
}

// candidates returns what is believed of the endpoints for a stage that are not to be
// avoided. need is the memory in tokens that the request wants there.
func (t *task) candidates(stage figseam.EndpointStage, need int) []selector.Candidate {
	skip := func(e figseam.ListedEndpoint) bool { return e.Stage != stage || t.avoid[e.ID] }
	return t.Tracker.Candidates(t.EndpointList.ServiceEndpoints(t.service), skip, need, t.memoryTokens())
}

func randomSource() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// mayRepeat asks whether the request may be sent once more.
func (t *task) mayRepeat() bool {
	return t.sends < t.route.MaxAttempts && t.Budget.TryAcquire(t.service)
}

func (t *task) note(e figseam.ListedEndpoint, stage string, c selector.Choice, result figseam.Code, began time.Time) {
	t.steps = append(t.steps, step{
		Endpoint: e.ID, Stage: stage, Reason: string(c.Reason), Charge: float64(int(c.CostMillis*10)) / 10,
		Result: string(result), Millis: time.Since(began).Milliseconds(),
	})
}
