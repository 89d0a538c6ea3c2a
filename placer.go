package figseam

import "context"

// Job is a request to a model as the scheduler sees it.
type Job struct {
	Request RequestID  `cbor:"1,keyasint"`
	Attempt AttemptID  `cbor:"2,keyasint"`
	Account Account    `cbor:"3,keyasint,omitempty"`
	Pool    string     `cbor:"4,keyasint"`
	Holder  InstanceID `cbor:"5,keyasint"`
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int `cbor:"6,keyasint"`
	// OutputTokens is the expected length of the answer in tokens.
	OutputTokens int `cbor:"7,keyasint"`
	// PrefixHashes holds the chained hashes of the prompt's blocks, first block first.
	PrefixHashes []uint64 `cbor:"8,keyasint,omitempty"`
	Priority     int      `cbor:"9,keyasint,omitempty"`
	// FirstTokenDeadline is when the first token is due. A patient job has none.
	FirstTokenDeadline Deadline `cbor:"10,keyasint"`
	// ExcludedEndpoints lists endpoints that failed this request before.
	ExcludedEndpoints []EndpointID `cbor:"11,keyasint,omitempty"`
	// RetryCount is the number of earlier attempts of the request.
	RetryCount int `cbor:"12,keyasint,omitempty"`
	// Hops counts how often the job was passed on to another data centre.
	Hops int `cbor:"13,keyasint,omitempty"`
}

// NoDeadline reports whether the job has no first-token deadline. A patient job
// waits as long as it must and is never refused for load.
func (j Job) NoDeadline() bool { return j.FirstTokenDeadline.IsZero() }

// Refusable reports whether the job may still be refused for load or lateness. A
// patient job never is, nor is one that was accepted and started before.
func (j Job) Refusable() bool { return !j.NoDeadline() && j.RetryCount == 0 }

// WithoutExclusions returns a copy that may use every engine again.
func (j Job) WithoutExclusions() Job {
	j.ExcludedEndpoints = nil
	return j
}

// WithAttempt returns a copy for the next attempt, which avoids the endpoints
// that failed the earlier ones.
func (j Job) WithAttempt(attempt AttemptID, avoid ...EndpointID) Job {
	j.Attempt = attempt
	j.ExcludedEndpoints = append(append([]EndpointID{}, j.ExcludedEndpoints...), avoid...)
	j.RetryCount++
	return j
}

// WithPool returns a copy for another pool.
func (j Job) WithPool(pool string) Job {
	j.Pool = pool
	return j
}

// WithHop returns a copy that was passed on once more.
func (j Job) WithHop() Job {
	j.Hops++
	return j
}

// Placement says where a job runs. Decode is empty while the place for decode
// is promised but not yet free; see [Placer.Seat].
type Placement struct {
	Grant   GrantID    `cbor:"1,keyasint"`
	Prefill EndpointID `cbor:"2,keyasint"`
	Decode  EndpointID `cbor:"3,keyasint,omitempty"`
	Code    Code       `cbor:"4,keyasint"`
	// Cell is the ledger that keeps the grant.
	Cell CellID `cbor:"5,keyasint"`
	// Owner is the instance that keeps the ledger.
	Owner InstanceID `cbor:"6,keyasint,omitempty"`
	// Scores holds the decision's alternatives for the log line.
	Scores []Score `cbor:"7,keyasint,omitempty"`
	// ResumeAttempt names the running attempt whose stream is to be taken over in place
	// of a new prefill. It is empty for a new start.
	ResumeAttempt AttemptID `cbor:"8,keyasint,omitempty"`
}

// WithDecode returns a copy with the decode engine filled in.
func (p Placement) WithDecode(endpoint EndpointID) Placement {
	p.Decode = endpoint
	return p
}

// Score is one alternative of a placement decision. Lower is better.
type Score struct {
	Endpoint   EndpointID `cbor:"1,keyasint" json:"endpoint"`
	CostMillis float64    `cbor:"2,keyasint" json:"millis"`
}

// CellID names a group of a pool's engines within one data centre whose memory
// is kept in one ledger by one instance.
type CellID struct {
	Pool       string     `cbor:"1,keyasint"`
	DataCentre DataCentre `cbor:"2,keyasint"`
	Index      int        `cbor:"3,keyasint"`
}

// GrantRecord is what the holder of a grant knows of it. An owner that took over
// a cell rebuilds its ledger from these.
type GrantRecord struct {
	Grant        GrantID    `cbor:"1,keyasint"`
	Job          Job        `cbor:"2,keyasint"`
	Prefill      EndpointID `cbor:"3,keyasint"`
	Decode       EndpointID `cbor:"4,keyasint,omitempty"`
	Stage        JobStage   `cbor:"5,keyasint"`
	OutputTokens int        `cbor:"6,keyasint,omitempty"`
}

// JobStage is how far a placed job has come.
type JobStage int

// The stages of a placed job, in order.
const (
	JobStagePrefilling JobStage = iota + 1
	JobStagePrefilled
	JobStageDecoding
	JobStageEnded
)

// Progress reports how far a placed job has come.
type Progress struct {
	Grant GrantID  `cbor:"1,keyasint"`
	Cell  CellID   `cbor:"2,keyasint"`
	Stage JobStage `cbor:"3,keyasint"`
	// OutputTokens is the number of answer tokens so far.
	OutputTokens int `cbor:"4,keyasint,omitempty"`
	// FailedEndpoint is an endpoint that failed the job; empty when none did.
	FailedEndpoint EndpointID `cbor:"5,keyasint,omitempty"`
}

// Placer decides when and where jobs run.
type Placer interface {
	// Place blocks until the job may start its prefill and returns where, or
	// returns a *Refusal.
	Place(ctx context.Context, job Job) (Placement, error)
	// AssignDecode blocks until the decode engine of a placement is known and has room.
	// A placement that names a decode engine already is moved to another one. It
	// fails when no room came before the prefill result is dropped.
	AssignDecode(ctx context.Context, placement Placement, heldUntil Deadline) (Placement, error)
	// ReportProgress tells how far the job has come. StageEnded frees the grant.
	ReportProgress(ctx context.Context, progress Progress)
}
