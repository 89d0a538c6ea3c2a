package emulator

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Service is an endpoint of an emulated plain service that counts the executions of calls
// by idempotency key. It is safe for concurrent use.
type Service struct {
	// mu guards the fields below.
	mu              sync.Mutex
	executions      map[string]int // by idempotency key
	totalExecutions int
	faults          ServiceFaults
	idempotency     *IdempotencyStore
	delay           time.Duration
}

// ServiceFaults are the faults that are injected into a service endpoint.
type ServiceFaults struct {
	// CloseBeforeExecution closes the connection before the call is executed.
	CloseBeforeExecution bool
	// CloseAfterExecution closes the connection after the execution, without a response.
	CloseAfterExecution bool
	// RejectCalls rejects calls with status 503 without executing them.
	RejectCalls bool
}

// IdempotencyStore is the set of executed idempotency keys that the endpoints of a
// service share. It is safe for concurrent use.
type IdempotencyStore struct {
	mu       sync.Mutex
	executed map[string]bool
}

// NewIdempotencyStore returns an empty store.
func NewIdempotencyStore() *IdempotencyStore { return &IdempotencyStore{executed: map[string]bool{}} }

// markExecuted adds the key and reports whether it is new.
func (s *IdempotencyStore) markExecuted(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executed[key] {
		return false
	}
	s.executed[key] = true
	return true
}

// NewService returns a service endpoint that responds to a call delayMillis after its
// execution. If store is not nil, calls with an executed key receive a response
// without being executed again.
func NewService(store *IdempotencyStore, delayMillis int64) *Service {
	return &Service{
		executions: map[string]int{}, idempotency: store,
		delay: time.Duration(delayMillis) * time.Millisecond,
	}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ExecutionsByKey returns the number of executions of each idempotency key. Calls
// without a key are counted under the empty key.
func (s *Service) ExecutionsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	executions := make(map[string]int, len(s.executions))
	for key, n := range s.executions {
		executions[key] = n
	}
	return executions
}

// TotalExecutions returns the number of executed calls, with or without a key.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalExecutions
}

// ServeHTTP executes a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.RejectCalls {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.CloseBeforeExecution {
		panic(http.ErrAbortHandler)
	}
	s.execute(r.Header.Get("Idempotency-Key"))
	time.Sleep(s.delay)
	if faults.CloseAfterExecution {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s did %q\n", r.Method, r.URL.Path, body)
}

// execute counts a call unless its key has been executed before.
func (s *Service) execute(key string) {
	if s.idempotency != nil && key != "" && !s.idempotency.markExecuted(key) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	s.totalExecutions++
}
