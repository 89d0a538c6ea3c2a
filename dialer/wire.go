package dialer

import "github.com/figseam/figseam"

// Paths of an engine's HTTP interface. An attempt ID follows [PathAttempts] and
// [PathExport]. After [PathAttempts] and the attempt ID, [PathStream] may follow.
const (
	PathPrefill     = "/prefill"
	PathDecode      = "/decode"
	PathExport      = "/export/"
	PathAttempts    = "/attempts/"
	PathStream      = "/stream"
	PathLoad        = "/load"
	PathCache       = "/cache"
	PathReconfigure = "/orders"
)

// Values of [ErrorResponse.Error].
const (
	ErrorFull            = "full"
	ErrorAttemptNotFound = "not_held"
	ErrorDraining        = "leaving"
	ErrorStaleFence      = "stale_fence"
)

// FinishEvicted is the finish reason of an attempt that the engine evicted to free
// memory.
const FinishEvicted = "evicted"

// PrefillRequest is the body of a prefill request.
type PrefillRequest struct {
	Request       figseam.RequestID `json:"request"`
	Attempt       figseam.AttemptID `json:"attempt"`
	Model         string            `json:"model"`
	Prompt        string            `json:"prompt"`
	GeneratedText string            `json:"answer,omitempty"`
	Priority      int               `json:"priority"`
}

// PrefillResponse is the response to a prefill request.
type PrefillResponse struct {
	Attempt    figseam.AttemptID `json:"attempt"`
	Tokens     int               `json:"tokens"`
	Cached     int               `json:"cached"`
	HoldMillis int64             `json:"hold_ms"`
}

// DecodeRequest is the body of a decode request.
type DecodeRequest struct {
	Request        figseam.RequestID `json:"request"`
	Attempt        figseam.AttemptID `json:"attempt"`
	Model          string            `json:"model"`
	PrefillAddress string            `json:"source"`
	Offset         int               `json:"offset"`
	MaxTokens      int               `json:"max_tokens"`
	Priority       int               `json:"priority"`
}

// ChunkLine is one line of a stream.
type ChunkLine struct {
	Request      figseam.RequestID `json:"request"`
	Attempt      figseam.AttemptID `json:"attempt"`
	Offset       int               `json:"offset"`
	Tokens       int               `json:"tokens"`
	Text         string            `json:"text"`
	FinishReason string            `json:"finish,omitempty"`
}

// LoadResponse is a load report. Attempts is set only if the request has the query
// parameter attempts=1.
type LoadResponse struct {
	FreePieces   int                 `json:"free_pieces"`
	TotalPieces  int                 `json:"total_pieces"`
	Running      int                 `json:"running"`
	Waiting      int                 `json:"waiting"`
	QueuedTokens int                 `json:"queued_tokens"`
	Draining     bool                `json:"leaving"`
	Attempts     []figseam.AttemptID `json:"attempts,omitempty"`
}

// CacheEventsResponse is a page of cache events.
type CacheEventsResponse struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
	Gap    bool         `json:"gap,omitempty"`
}

// CacheEvent is the addition of a block to an engine's prefix cache, or the removal of a
// block from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Removed  bool   `json:"removed,omitempty"`
}

// ReconfigRequest changes an engine's role, model or version. Fence is the fencing token.
type ReconfigRequest struct {
	Fence   uint64       `json:"fence"`
	Role    figseam.Role `json:"role,omitempty"`
	Model   string       `json:"model,omitempty"`
	Version string       `json:"version,omitempty"`
}

// ErrorResponse is the body of an engine's error response.
type ErrorResponse struct {
	Error string `json:"error"`
}
