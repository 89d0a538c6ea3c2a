package emulator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

// EngineSettings describe an engine stand-in. Lengths of time are in
// milliseconds, rates in tokens per second.
type EngineSettings struct {
	Name                    figseam.EndpointID
	Role                    figseam.Role
	MemoryPieces            int
	PieceTokens             int
	PrefillTokensPerSecond  float64
	PrefillResultTTLMillis  int64
	TransferTokensPerSecond float64
	// A step of a decode engine with n running requests takes
	// StepBaseMillis + n*StepPerRequestMillis.
	StepBaseMillis       float64
	StepPerRequestMillis float64
	// PrefixCacheBlocks is how many prefix blocks the cache holds.
	PrefixCacheBlocks int
	// LoadReportDelayMillis is how old a load report is.
	LoadReportDelayMillis int64
	// RejectStaleFence makes the engine refuse orders with old fencing numbers.
	RejectStaleFence bool
}

// Engine is a stand-in for a model engine.
type Engine struct {
	settings EngineSettings
	client   *http.Client
	wake     chan struct{}

	// mu guards everything below.
	mu         sync.Mutex
	faults     Faults
	prefills   []*prefill
	prefilling *prefill
	held       map[figseam.AttemptID]*prefill
	running    map[figseam.AttemptID]*sequence
	usedPieces int
	linkFreeAt time.Time
	cache      *prefixCache
	lagged     laggedLoad
	fence      uint64
	leaving    bool
	tally      Stats
}

// Faults are what an engine is made to do wrong.
type Faults struct {
	// Crashed refuses every connection.
	Crashed bool
	// StallTransfers lets transfers hang until they are given up.
	StallTransfers bool
	// StallDecode stops the production of tokens.
	StallDecode bool
	// LinkSlowdownFactor divides the link's rate; 0 and 1 leave it.
	LinkSlowdownFactor float64
	// FreezeLoadReport freezes the load report.
	FreezeLoadReport bool
	// DropCacheEvents drops every second cache event.
	DropCacheEvents bool
	// MalformedResponses answers with text that is not of the protocol.
	MalformedResponses bool
	// InjectForeignChunks mixes chunks of another attempt into streams and doubles its own.
	InjectForeignChunks bool
	// IgnoreCancels leaves cancels unanswered.
	IgnoreCancels bool
}

// PrefillWork is the prefill work done for one attempt.
type PrefillWork struct {
	Request figseam.RequestID
	Attempt figseam.AttemptID
	// ComputedTokens is the number of prompt tokens computed, without cached ones.
	ComputedTokens int
}

// Stats is what an engine did so far.
type Stats struct {
	Prefills []PrefillWork
	// FinishedAttempts lists the attempts whose answers were produced to the end.
	FinishedAttempts []figseam.AttemptID
	GeneratedTokens  int
	Evictions        int
	Cancellations    int
	Orders           []figseam.EngineReconfig
}

// NewEngine returns an idle engine. Run makes it work.
func NewEngine(settings EngineSettings, client *http.Client) *Engine {
	return &Engine{
		settings: settings,
		client:   client,
		wake:     make(chan struct{}, 1),
		held:     map[figseam.AttemptID]*prefill{},
		running:  map[figseam.AttemptID]*sequence{},
		cache:    newPrefixCache(settings.PrefixCacheBlocks),
	}
}

// Run works until ctx ends. It returns a channel that is closed at the end.
func (e *Engine) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if e.settings.Role == figseam.RolePrefill {
			e.runPrefills(ctx)
			return
		}
		e.runSteps(ctx)
	}()
	return done
}

// SetFaults replaces the engine's faults. A dead engine forgets everything.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Crashed {
		e.forget()
	}
	e.nudge()
}

func (e *Engine) forget() {
	for _, s := range e.running {
		s.end(finishDead)
	}
	clear(e.running)
	for _, p := range e.prefills {
		p.finish(finishDead)
	}
	e.prefills = nil
	if e.prefilling != nil {
		e.prefilling.cancelled = true
	}
	clear(e.held)
	e.usedPieces = 0
	e.cache = newPrefixCache(e.settings.PrefixCacheBlocks)
}

// Name returns the engine's name.
func (e *Engine) Name() figseam.EndpointID { return e.settings.Name }

// Role returns the engine's role.
func (e *Engine) Role() figseam.Role { return e.settings.Role }

// Drain makes the engine refuse new work and finish what runs.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// UsedPieces returns the pieces of memory in use now.
func (e *Engine) UsedPieces() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedPieces
}

// Stats returns what the engine did so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.tally
	t.Prefills = append([]PrefillWork(nil), t.Prefills...)
	t.FinishedAttempts = append([]figseam.AttemptID(nil), t.FinishedAttempts...)
	t.Orders = append([]figseam.EngineReconfig(nil), t.Orders...)
	return t
}

func (e *Engine) pieces(tokens int) int {
	return (tokens + e.settings.PieceTokens - 1) / e.settings.PieceTokens
}

// nudge wakes the engine's loop.
func (e *Engine) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func millis(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
