package figseam

import (
	"context"
	"errors"
)

// Role is the task of a model engine.
type Role string

// Roles of model engines.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Errors of an [Engine], to be matched with errors.Is. After any other error it is unknown
// whether the engine has acted.
var (
	// ErrEngineFull means that the engine rejected the request for lack of memory and did
	// nothing.
	ErrEngineFull = errors.New("engine has no memory for the request")
	// ErrAttemptNotFound means that the engine does not hold the prefill result or
	// attempt, or no longer does.
	ErrAttemptNotFound = errors.New("engine does not hold it")
	// ErrEngineDraining means that the engine accepts no new requests and did nothing.
	ErrEngineDraining = errors.New("engine is leaving")
	// ErrStaleFence means that the engine has received a higher fencing token.
	ErrStaleFence = errors.New("fencing number is too low")
	// ErrEvicted means that the engine evicted a running attempt to free memory.
	ErrEvicted = errors.New("engine evicted the attempt")
	// ErrProtocol means that a response of the engine violated its protocol.
	ErrProtocol = errors.New("engine answer is not understood")
)

// Engine is the client of a model engine. The adapters that implement it define the paths
// and headers of real engines.
type Engine interface {
	// Prefill computes the KV cache of a prompt and returns when the engine holds it for
	// transfer.
	Prefill(ctx context.Context, params PrefillParams) (PrefillResult, error)
	// Decode imports a prefill result and streams the answer from token params.Offset on.
	Decode(ctx context.Context, params DecodeParams) (ChunkStream, error)
	// Resume streams the answer of a running attempt from token offset on.
	Resume(ctx context.Context, attempt AttemptID, offset int) (ChunkStream, error)
	// Cancel frees what the engine holds for the attempt. A nil error confirms that the
	// engine holds nothing for it.
	Cancel(ctx context.Context, attempt AttemptID) error
	// Load returns the load report of the engine, which lags behind its state. The list of
	// attempts is long and therefore optional.
	Load(ctx context.Context, withAttempts bool) (LoadReport, error)
	// CacheEvents returns the changes of the prefix cache that follow a sequence number.
	// Events are delayed and may have gaps.
	CacheEvents(ctx context.Context, after uint64) (CachePage, error)
	// Reconfigure changes the role, model or version of the engine.
	Reconfigure(ctx context.Context, reconfig EngineReconfig) error
}

// PrefillParams holds the parameters of a prefill.
type PrefillParams struct {
	Request RequestID
	Attempt AttemptID
	Model   string
	Prompt  string
	// GeneratedText is the part of the answer that the caller already received; the new
	// attempt continues after it.
	GeneratedText string
	Priority      int
}

// PrefillResult describes a finished prefill that an engine holds.
type PrefillResult struct {
	Attempt AttemptID
	// PromptTokens is the length of the prompt in tokens, and CachedTokens the number of
	// them found in the prefix cache.
	PromptTokens int
	CachedTokens int
	// ExpiresAt is the time at which the engine drops the result.
	ExpiresAt Deadline
}

// DecodeParams holds the parameters of a decode.
type DecodeParams struct {
	Request RequestID
	Attempt AttemptID
	Model   string
	// PrefillAddress is the address of the prefill engine that holds the KV cache.
	PrefillAddress string
	// Offset is the number of answer tokens that the caller already received.
	Offset    int
	MaxTokens int
	Priority  int
}

// Chunk is a piece of an answer.
type Chunk struct {
	Request RequestID
	Attempt AttemptID
	// Offset is the index of the first token of the chunk in the answer.
	Offset int
	Tokens int
	Text   string
	// FinishReason is the reason for the end of the answer, "stop" or "length". It is
	// empty in all chunks but the last.
	FinishReason string
}

// ChunkStream yields the chunks of one attempt.
type ChunkStream interface {
	// Next returns the next chunk, or io.EOF after the last one.
	Next() (Chunk, error)
	// Close closes the stream. It does not cancel the attempt on the engine.
	Close() error
}

// LoadReport is the load of an engine as reported by the engine.
type LoadReport struct {
	// FreePieces and TotalPieces are numbers of memory pieces.
	FreePieces  int
	TotalPieces int
	Running     int
	Waiting     int
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int
	Draining     bool
	// Attempts lists the attempts for which the engine holds memory. It is nil unless it
	// was requested.
	Attempts []AttemptID
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Block    uint64
	Removed  bool
}

// CachePage is a page of consecutive cache events.
type CachePage struct {
	Events []CacheEvent
	// NextSequence is the sequence number to pass to the next call of CacheEvents.
	NextSequence uint64
	// Gap reports whether events before the first one were lost.
	Gap bool
}

// EngineReconfig is a command to change the configuration of an engine. Fence is the
// fencing token, which rises with each command; engines that check it reject a token lower
// than the highest that they received.
type EngineReconfig struct {
	Fence   uint64
	Role    Role
	Model   string
	Version string
}

// Dialer returns clients of model engines.
type Dialer interface {
	// Engine returns the client of the engine at the endpoint.
	Engine(endpoint Endpoint) Engine
}
