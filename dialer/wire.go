package dialer

import "github.com/figseam/figseam"

// Paths of an engine's HTTP interface. An attempt's identifier follows
// [PathAttempts].
const (
	PathPrefill  = "/prefill"
	PathDecode   = "/decode"
	PathExport   = "/export/"
	PathAttempts = "/attempts/"
	PathStream   = "/stream"
	PathLoad     = "/load"
	PathCache    = "/cache"
	PathOrders   = "/orders"
)

// Values of [ErrorBody.Error].
const (
	ErrorFull    = "full"
	ErrorNotHeld = "not_held"
	ErrorLeaving = "leaving"
	ErrorStale   = "stale_fence"
)

// FinishEvicted is the finish of an attempt that the engine dropped to free
// memory.
const FinishEvicted = "evicted"

// PrefillBody is the body of a prefill order.
type PrefillBody struct {
	Request  figseam.RequestID `json:"request"`
	Attempt  figseam.AttemptID `json:"attempt"`
	Model    string            `json:"model"`
	Prompt   string            `json:"prompt"`
	Answer   string            `json:"answer,omitempty"`
	Priority int               `json:"priority"`
}

// PrefillAnswer answers a prefill order.
type PrefillAnswer struct {
	Attempt    figseam.AttemptID `json:"attempt"`
	Tokens     int               `json:"tokens"`
	Cached     int               `json:"cached"`
	HoldMillis int64             `json:"hold_ms"`
}

// DecodeBody is the body of a decode order.
type DecodeBody struct {
	Request   figseam.RequestID `json:"request"`
	Attempt   figseam.AttemptID `json:"attempt"`
	Model     string            `json:"model"`
	Source    string            `json:"source"`
	Offset    int               `json:"offset"`
	MaxTokens int               `json:"max_tokens"`
	Priority  int               `json:"priority"`
}

// ChunkLine is one line of a stream.
type ChunkLine struct {
	Request figseam.RequestID `json:"request"`
	Attempt figseam.AttemptID `json:"attempt"`
	Offset  int               `json:"offset"`
	Tokens  int               `json:"tokens"`
	Text    string            `json:"text"`
	Finish  string            `json:"finish,omitempty"`
}

// LoadBody is a load report. Attempts is only filled when asked for.
type LoadBody struct {
	FreePieces   int                 `json:"free_pieces"`
	TotalPieces  int                 `json:"total_pieces"`
	Running      int                 `json:"running"`
	Waiting      int                 `json:"waiting"`
	QueuedTokens int                 `json:"queued_tokens"`
	Leaving      bool                `json:"leaving"`
	Attempts     []figseam.AttemptID `json:"attempts,omitempty"`
}

// CacheBody is a page of cache events.
type CacheBody struct {
	Events []CacheLine `json:"events"`
	Next   uint64      `json:"next"`
	Gap    bool        `json:"gap,omitempty"`
}

// CacheLine is one cache event.
type CacheLine struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Removed  bool   `json:"removed,omitempty"`
}

// OrderBody is an order to change what an engine does.
type OrderBody struct {
	Fence   uint64       `json:"fence"`
	Role    figseam.Role `json:"role,omitempty"`
	Model   string       `json:"model,omitempty"`
	Version string       `json:"version,omitempty"`
}

// ErrorBody is the body of an engine's refusal.
type ErrorBody struct {
	Error string `json:"error"`
}
