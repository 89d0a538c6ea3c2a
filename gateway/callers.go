package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/executor"
	"github.com/figseam/figseam/explainer"
	"github.com/figseam/figseam/forwarder"
)

const (
	// bodyReadTimeoutMillis limits the time to read a request body.
	bodyReadTimeoutMillis = 10_000
	// writeTimeoutMillis limits one write to a caller, so that a caller that stops
	// reading is detected.
	writeTimeoutMillis = 5000
	// idempotencyKeyHeader is the request header that identifies a request across retries
	// by the caller.
	idempotencyKeyHeader = "Idempotency-Key"
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 255
)

// Executor runs model requests.
type Executor interface {
	Run(ctx context.Context, task executor.Task, sink executor.Sink) (executor.Result, error)
}

// Forwarder forwards service calls to endpoints.
type Forwarder interface {
	Forward(ctx context.Context, r forwarder.Request) (forwarder.Response, error)
}

// Admitter enforces the request limits of accounts.
type Admitter interface {
	Admit(ctx context.Context, account figseam.Account) error
}

// Observer counts responses and refusals.
type Observer interface {
	CountRefusal(r *figseam.Refusal)
	CountResponse()
}

// CallerServer is the HTTP server for callers. It is safe for concurrent use.
type CallerServer struct {
	executor     Executor
	forwarder    Forwarder
	admitter     Admitter
	observer     Observer
	config       func() *figseam.Config
	lengths      *LengthEstimator
	maxBodyBytes int64
	log          zerolog.Logger

	// active is the number of requests in flight. lastArrival is the time at which the
	// last request arrived, in nanoseconds since startedAt.
	active      atomic.Int64
	lastArrival atomic.Int64
	startedAt   time.Time
	draining    atomic.Bool
}

// NewCallerServer returns a server for callers. config returns the configuration in
// force, or nil if there is none. maxBodyBytes limits request bodies.
func NewCallerServer(executor Executor, forwarder Forwarder, admitter Admitter, observer Observer, config func() *figseam.Config, maxBodyBytes int64, log zerolog.Logger) *CallerServer {
	return &CallerServer{
		executor: executor, forwarder: forwarder, admitter: admitter, observer: observer, config: config, lengths: NewLengthEstimator(),
		maxBodyBytes: maxBodyBytes, log: log, startedAt: time.Now(),
	}
}

// Handler returns the HTTP interface for callers.
func (c *CallerServer) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(c.trackActive)
	r.Get("/v1/models", c.listModels)
	r.Post("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { c.serveModelRequest(w, r, chatAPI) })
	r.Post("/v1/completions", func(w http.ResponseWriter, r *http.Request) { c.serveModelRequest(w, r, completionAPI) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.Get("/readyz", c.serveReady)
	r.HandleFunc("/{service}", c.serveServiceCall)
	r.HandleFunc("/{service}/*", c.serveServiceCall)
	return r
}

// StartDraining makes the readiness check fail and closes each connection after its
// next response.
func (c *CallerServer) StartDraining() { c.draining.Store(true) }

// ActiveRequests returns the number of requests in flight.
func (c *CallerServer) ActiveRequests() int64 { return c.active.Load() }

// IdleTime returns the time since the last request arrived, or since the server was
// created if there was none.
func (c *CallerServer) IdleTime() time.Duration {
	return time.Since(c.startedAt) - time.Duration(c.lastArrival.Load())
}

// trackActive is middleware that counts the requests in flight, records the time of the
// last arrival, and closes connections while the instance drains. It does not count
// requests whose path is one segment that ends in z, such as the health and readiness
// checks, and does not record their arrival.
func (c *CallerServer) trackActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if !strings.HasSuffix(r.URL.Path, "z") || strings.Count(r.URL.Path, "/") > 1 {
			c.lastArrival.Store(int64(time.Since(c.startedAt)))
			c.active.Add(1)
			defer c.active.Add(-1)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *CallerServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case c.draining.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case c.config() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// readBody reads a request body within the limits on its size and time.
func (c *CallerServer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *figseam.Refusal) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeoutMillis * time.Millisecond))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.maxBodyBytes))
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, figseam.NewRefusal(explainer.BodyTooLarge, "body is over %d bytes", c.maxBodyBytes)
	}
	if err != nil {
		return nil, figseam.NewRefusal(explainer.BadRequest, "body was not received whole: %v", err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// accountOf returns the account that is charged for a request. It is empty if the
// request carries no bearer token. The scheme is compared without regard to letter case, as
// RFC 9110 has it: otherwise "bearer" would evade the account's limits.
func accountOf(r *http.Request) figseam.Account {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return figseam.Account(strings.TrimSpace(token))
}

// requestID returns the ID of a request. If the caller sent an idempotency key, the ID
// is derived from the account, the path and the key, so that a retry gets the same ID.
func requestID(r *http.Request) figseam.RequestID {
	key := r.Header.Get(idempotencyKeyHeader)
	if key == "" {
		return figseam.NewRequestID()
	}
	sum := sha256.Sum256([]byte(string(accountOf(r)) + "\x00" + r.URL.EscapedPath() + "\x00" + key))
	return figseam.RequestID(hex.EncodeToString(sum[:16]))
}
