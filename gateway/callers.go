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
	// bodyMillis bounds the reading of a request's body.
	bodyMillis = 10_000
	// writeMillis bounds one write to a caller, so that one who stops reading is
	// found out.
	writeMillis = 5000
	// keyHeader is the request header that names a request across resends.
	keyHeader = "Idempotency-Key"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
)

// Executor carries out model requests.
type Executor interface {
	Run(ctx context.Context, task executor.Task, sink executor.Sink) (executor.Result, error)
}

// Forwarder carries out service calls.
type Forwarder interface {
	Forward(ctx context.Context, r forwarder.Request) (forwarder.Response, error)
}

// Admitter admits requests of accounts.
type Admitter interface {
	Admit(ctx context.Context, account figseam.Account) error
}

// Observer counts answers and refusals.
type Observer interface {
	CountRefusal(r *figseam.Refusal)
	CountResponse()
}

// CallerServer serves callers. It is safe for concurrent use.
type CallerServer struct {
	executor     Executor
	forwarder    Forwarder
	admitter     Admitter
	observer     Observer
	config       func() *figseam.Config
	lengths      *LengthEstimator
	maxBodyBytes int64
	log          zerolog.Logger

	// active counts the requests under way, lastAt is when the last one came, in
	// nanoseconds since the start.
	active  atomic.Int64
	lastAt  atomic.Int64
	started time.Time
	leaving atomic.Bool
}

// NewCallerServer returns the callers' side.
func NewCallerServer(x Executor, f Forwarder, a Admitter, o Observer, config func() *figseam.Config, maxBodyBytes int64, log zerolog.Logger) *CallerServer {
	return &CallerServer{
		executor: x, forwarder: f, admitter: a, observer: o, config: config, lengths: NewLengthEstimator(),
		maxBodyBytes: maxBodyBytes, log: log, started: time.Now(),
	}
}

// Handler returns the HTTP interface for callers.
func (c *CallerServer) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(c.count)
	r.Get("/v1/models", c.serveModels)
	r.Post("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { c.serveModel(w, r, chat) })
	r.Post("/v1/completions", func(w http.ResponseWriter, r *http.Request) { c.serveModel(w, r, completion) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.Get("/readyz", c.serveReady)
	r.HandleFunc("/{service}", c.serveService)
	r.HandleFunc("/{service}/*", c.serveService)
	return r
}

// StartDraining makes the instance not ready, and answers close their connections.
func (c *CallerServer) StartDraining() { c.leaving.Store(true) }

// ActiveRequests returns how many requests are under way.
func (c *CallerServer) ActiveRequests() int64 { return c.active.Load() }

// IdleTime returns how long no request has come.
func (c *CallerServer) IdleTime() time.Duration {
	return time.Since(c.started) - time.Duration(c.lastAt.Load())
}

// count counts requests under way and keeps the caller's part of the service in
// step with a shutdown.
func (c *CallerServer) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		if !strings.HasSuffix(r.URL.Path, "z") || strings.Count(r.URL.Path, "/") > 1 {
			c.lastAt.Store(int64(time.Since(c.started)))
			c.active.Add(1)
			defer c.active.Add(-1)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *CallerServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case c.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case c.config() == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// readBody reads a bounded body in bounded time.
func (c *CallerServer) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *figseam.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyMillis * time.Millisecond))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.maxBodyBytes))
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, figseam.NewRefusal(explainer.BodyTooLarge, "body is over %d bytes", c.maxBodyBytes)
	}
	if err != nil {
		return nil, figseam.NewRefusal(explainer.BadRequest, "body was not received whole: %v", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// account returns the account that a request is counted against.
func account(r *http.Request) figseam.Account {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return figseam.Account(strings.TrimSpace(token))
}

// requestID names a request: by account and key when the caller gave one, so
// that a resend has the same name.
func requestID(r *http.Request) figseam.RequestID {
	key := r.Header.Get(keyHeader)
	if key == "" {
		return figseam.NewRequestID()
	}
	sum := sha256.Sum256([]byte(string(account(r)) + "\x00" + r.URL.Path + "\x00" + key))
	return figseam.RequestID(hex.EncodeToString(sum[:16]))
}
