package figseam

import (
	"context"
	"errors"
)

// Role is what a model engine is used for.
type Role string

// The roles of model engines.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Errors that an [Engine] returns, to be matched with errors.Is. Any other
// error means that the engine may or may not have acted.
var (
	// ErrEngineFull means that the engine refused for lack of memory and did nothing.
	ErrEngineFull = errors.New("engine has no memory for the request")
	// ErrAttemptNotFound means that a prefill result or attempt is not on the engine (any more).
	ErrAttemptNotFound = errors.New("engine does not hold it")
	// ErrEngineDraining means that the engine takes no new work and did nothing.
	ErrEngineDraining = errors.New("engine is leaving")
	// ErrStaleFence means that the engine has seen a higher fencing number.
	ErrStaleFence = errors.New("fencing number is too low")
	// ErrEvicted means that the engine dropped a running attempt to free memory.
	ErrEvicted = errors.New("engine evicted the attempt")
	// ErrProtocol means that an engine's answer broke its protocol.
	ErrProtocol = errors.New("engine answer is not understood")
)

// Engine is a model engine as the router sees it. Adapters implement it; only
// they know which paths and headers a real engine uses.
type Engine interface {
	// Prefill computes the KV cache of a prompt and returns once it is held
	// for export.
	Prefill(ctx context.Context, order PrefillParams) (PrefillResult, error)
	// Decode imports a prefill result and streams the answer from order.Offset on.
	Decode(ctx context.Context, order DecodeParams) (ChunkStream, error)
	// Resume streams a running attempt again from token offset on.
	Resume(ctx context.Context, attempt AttemptID, offset int) (ChunkStream, error)
	// Cancel frees what the engine holds for the attempt. A nil error is the
	// engine's confirmation that it holds nothing of it.
	Cancel(ctx context.Context, attempt AttemptID) error
	// Load returns the engine's load report, which lags behind the truth. The list
	// of attempts is long, and only given when asked for.
	Load(ctx context.Context, attempts bool) (LoadReport, error)
	// CacheEvents returns changes of the prefix cache after sequence number
	// after. Events come late and may have gaps.
	CacheEvents(ctx context.Context, after uint64) (CachePage, error)
	// Reconfigure orders the engine to change role, model or version.
	Reconfigure(ctx context.Context, order EngineReconfig) error
}

// PrefillParams asks for the KV cache of a prompt.
type PrefillParams struct {
	Request RequestID
	Attempt AttemptID
	Model   string
	Prompt  string
	// GeneratedText is the text that the caller already has of the answer; the new
	// attempt goes on behind it.
	GeneratedText string
	Priority      int
}

// PrefillResult tells what a finished prefill holds.
type PrefillResult struct {
	Attempt AttemptID
	// PromptTokens is the prompt's length in tokens, Cached how many of them came
	// from the prefix cache.
	PromptTokens int
	CachedTokens int
	// ExpiresAt is when the engine drops the result.
	ExpiresAt Deadline
}

// DecodeParams asks for the answer to a prompt.
type DecodeParams struct {
	Request RequestID
	Attempt AttemptID
	Model   string
	// PrefillAddress is the address of the prefill engine that holds the KV cache.
	PrefillAddress string
	// Offset is how many tokens of the answer the caller already has.
	Offset    int
	MaxTokens int
	Priority  int
}

// Chunk is a piece of an answer.
type Chunk struct {
	Request RequestID
	Attempt AttemptID
	// Offset is the index of the chunk's first token in the whole answer.
	Offset int
	Tokens int
	Text   string
	// FinishReason is the reason for the end ("stop" or "length"), empty before it.
	FinishReason string
}

// ChunkStream yields the chunks of one attempt.
type ChunkStream interface {
	// Next returns the next chunk, or io.EOF after the last.
	Next() (Chunk, error)
	// Close ends reading. It does not cancel the attempt on the engine.
	Close() error
}

// LoadReport is an engine's own account of its load.
type LoadReport struct {
	FreePieces  int
	TotalPieces int
	Running     int
	Waiting     int
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int
	Draining     bool
	// Attempts lists what the engine holds memory for; it is nil when it was not
	// asked for.
	Attempts []AttemptID
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Block    uint64
	Removed  bool
}

// CachePage is a run of cache events.
type CachePage struct {
	Events []CacheEvent
	// NextSequence is the sequence number to ask after next time.
	NextSequence uint64
	// Gap is set when events between the asked number and the first are lost.
	Gap bool
}

// EngineReconfig is an order to change what an engine does. Fence rises with each
// order; engines that check it refuse a lower number than they have seen.
type EngineReconfig struct {
	Fence   uint64
	Role    Role
	Model   string
	Version string
}

// Dialer connects to model engines.
type Dialer interface {
	// Engine returns the engine at an endpoint's address.
	Engine(endpoint Endpoint) Engine
}
