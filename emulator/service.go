package emulator

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in for a plain service. It counts how often each
// idempotency key was carried out.
type Service struct {
	// mu guards everything below.
	mu         sync.Mutex
	executions map[string]int
	total      int
	faults     ServiceFaults
	shared     *IdempotencyStore
	delay      time.Duration
}

// ServiceFaults are what a service endpoint is made to do wrong.
type ServiceFaults struct {
	// CloseBeforeExecution cuts the connection before the call runs, BreakAfter after it
	// ran and before the answer is sent.
	CloseBeforeExecution bool
	CloseAfterExecution  bool
	// RejectCalls refuses calls with 503.
	RejectCalls bool
}

// IdempotencyStore is a check of idempotency keys that several endpoints share.
type IdempotencyStore struct {
	mu   sync.Mutex
	seen map[string]bool
}

// NewIdempotencyStore returns an empty check.
func NewIdempotencyStore() *IdempotencyStore { return &IdempotencyStore{seen: map[string]bool{}} }

func (k *IdempotencyStore) first(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen[key] {
		return false
	}
	k.seen[key] = true
	return true
}

// NewService returns a service endpoint that takes delayMillis for a call. With
// shared set, a repeated key is answered without running again.
func NewService(shared *IdempotencyStore, delayMillis int64) *Service {
	return &Service{
		executions: map[string]int{}, shared: shared,
		delay: time.Duration(delayMillis) * time.Millisecond,
	}
}

// SetFaults replaces the endpoint's faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ExecutionsByKey returns how often each key was carried out.
func (s *Service) ExecutionsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		c[k] = n
	}
	return c
}

// TotalExecutions returns how many calls were carried out, with or without a key.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// ServeHTTP carries out a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.RejectCalls {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.CloseBeforeExecution {
		panic(http.ErrAbortHandler)
	}
	s.run(r.Header.Get("Idempotency-Key"))
	time.Sleep(s.delay)
	if f.CloseAfterExecution {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s did %q\n", r.Method, r.URL.Path, body)
}

func (s *Service) run(key string) {
	if s.shared != nil && key != "" && !s.shared.first(key) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	s.total++
}
