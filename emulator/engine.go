package emulator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/figseam/figseam"
)

// EngineSettings are the parameters of an emulated engine. Durations are in
// milliseconds, rates in tokens per second.
type EngineSettings struct {
	Name figseam.EndpointID
	Role figseam.Role
	// MemoryPieces is the engine's memory, in pieces of PieceTokens tokens each.
	MemoryPieces           int
	PieceTokens            int
	PrefillTokensPerSecond float64
	// PrefillResultTTLMillis is the time that a prefill result is kept for export.
	PrefillResultTTLMillis  int64
	TransferTokensPerSecond float64
	// A decode step with n running sequences takes
	// StepBaseMillis + n*StepPerRequestMillis.
	StepBaseMillis       float64
	StepPerRequestMillis float64
	// PrefixCacheBlocks is the capacity of the prefix cache, in blocks.
	PrefixCacheBlocks int
	// LoadReportDelayMillis is the minimum age of the values in a load report.
	LoadReportDelayMillis int64
	// RejectStaleFence makes the engine reject reconfigurations whose fencing token is
	// lower than that of the last accepted one.
	RejectStaleFence bool
}

// Engine is an emulated model engine. It is safe for concurrent use.
type Engine struct {
	settings EngineSettings
	client   *http.Client
	// wakeup ends the wait of an idle engine.
	wakeup chan struct{}

	// mu guards the fields below.
	mu            sync.Mutex
	faults        Faults
	prefillQueue  []*prefill
	activePrefill *prefill
	results       map[figseam.AttemptID]*prefill
	sequences     map[figseam.AttemptID]*sequence
	usedPieces    int
	linkFreeAt    time.Time
	cache         *prefixCache
	delayedLoad   delayedLoadReport
	fence         uint64
	draining      bool
	stats         Stats
}

// Faults are the faults that are injected into an engine.
type Faults struct {
	// Crashed aborts the connection of every request.
	Crashed bool
	// StallTransfers blocks transfers until the importing engine cancels them.
	StallTransfers bool
	// StallDecode stops decoding.
	StallDecode bool
	// LinkSlowdownFactor divides the link's transfer rate; values up to 1 have no effect.
	LinkSlowdownFactor float64
	// FreezeLoadReport stops the updates of the load report.
	FreezeLoadReport bool
	// DropCacheEvents drops the cache events with even sequence numbers.
	DropCacheEvents bool
	// MalformedResponses sends truncated JSON as the response to every request.
	MalformedResponses bool
	// InjectForeignChunks adds chunks of another attempt and duplicates of the
	// stream's own chunks to each stream.
	InjectForeignChunks bool
	// IgnoreCancels leaves cancel requests without effect and without a response.
	IgnoreCancels bool
}

// PrefillWork is the prefill work of one attempt.
type PrefillWork struct {
	Request figseam.RequestID
	Attempt figseam.AttemptID
	// ComputedTokens is the number of computed prompt tokens, without cached ones.
	ComputedTokens int
}

// Stats counts the work of an engine since its creation.
type Stats struct {
	Prefills []PrefillWork
	// FinishedAttempts lists the attempts whose answers were decoded to the end.
	FinishedAttempts []figseam.AttemptID
	GeneratedTokens  int
	Evictions        int
	Cancellations    int
	Reconfigs        []figseam.EngineReconfig
}

// NewEngine returns an idle engine, which processes requests only while [Engine.Run]
// runs. The client fetches prefill results from other engines.
func NewEngine(settings EngineSettings, client *http.Client) *Engine {
	return &Engine{
		settings:  settings,
		client:    client,
		wakeup:    make(chan struct{}, 1),
		results:   map[figseam.AttemptID]*prefill{},
		sequences: map[figseam.AttemptID]*sequence{},
		cache:     newPrefixCache(settings.PrefixCacheBlocks),
	}
}

// Run processes requests in the background until ctx ends. It returns a channel that
// is closed when the background goroutine has ended.
func (e *Engine) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if e.settings.Role == figseam.RolePrefill {
			e.runPrefills(ctx)
			return
		}
		e.runDecodes(ctx)
	}()
	return done
}

// SetFaults replaces the injected faults. A crash loses the engine's requests, results
// and prefix cache.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Crashed {
		e.loseState()
	}
	e.notify()
}

// loseState discards all requests, results and cached blocks. The caller holds the
// mutex.
func (e *Engine) loseState() {
	for _, s := range e.sequences {
		s.setFinishReason(finishCrashed)
	}
	clear(e.sequences)
	for _, p := range e.prefillQueue {
		p.complete(finishCrashed)
	}
	e.prefillQueue = nil
	if e.activePrefill != nil {
		e.activePrefill.cancelled = true
	}
	clear(e.results)
	e.usedPieces = 0
	e.cache = newPrefixCache(e.settings.PrefixCacheBlocks)
}

// Name returns the engine's name.
func (e *Engine) Name() figseam.EndpointID { return e.settings.Name }

// Role returns the engine's role.
func (e *Engine) Role() figseam.Role { return e.settings.Role }

// Drain makes the engine reject new requests and finish the accepted ones.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// UsedPieces returns the memory in use, in pieces.
func (e *Engine) UsedPieces() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedPieces
}

// Stats returns a copy of the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Prefills = append([]PrefillWork(nil), stats.Prefills...)
	stats.FinishedAttempts = append([]figseam.AttemptID(nil), stats.FinishedAttempts...)
	stats.Reconfigs = append([]figseam.EngineReconfig(nil), stats.Reconfigs...)
	return stats
}

// piecesFor returns the number of pieces that hold the tokens.
func (e *Engine) piecesFor(tokens int) int {
	return (tokens + e.settings.PieceTokens - 1) / e.settings.PieceTokens
}

// notify wakes the engine if it is idle. It does not block.
func (e *Engine) notify() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

func millisToDuration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
