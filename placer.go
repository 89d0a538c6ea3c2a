package figseam

import "context"

// Job describes a request to a model for scheduling.
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
	// PrefixHashes holds the chained hashes of the blocks of the prompt, in order.
	PrefixHashes []uint64 `cbor:"8,keyasint,omitempty"`
	Priority     int      `cbor:"9,keyasint,omitempty"`
	// FirstTokenDeadline is the deadline of the first token. It is zero for a job without
	// a deadline.
	FirstTokenDeadline Deadline `cbor:"10,keyasint"`
	// ExcludedEndpoints lists the endpoints on which earlier attempts of the request
	// failed.
	ExcludedEndpoints []EndpointID `cbor:"11,keyasint,omitempty"`
	// RetryCount is the number of earlier attempts of the request.
	RetryCount int `cbor:"12,keyasint,omitempty"`
	// Hops is the number of times the job was forwarded to another data centre.
	Hops int `cbor:"13,keyasint,omitempty"`
}

// NoDeadline reports whether the job has no deadline for its first token. Such a job waits
// without a time limit and is never refused because of load.
func (j Job) NoDeadline() bool { return j.FirstTokenDeadline.IsZero() }

// Refusable reports whether the job may be refused because of load or a missed deadline. A
// job without a deadline may not, nor may a job that was accepted and started before.
func (j Job) Refusable() bool { return !j.NoDeadline() && j.RetryCount == 0 }

// WithoutExclusions returns a copy without excluded endpoints.
func (j Job) WithoutExclusions() Job {
	j.ExcludedEndpoints = nil
	return j
}

// WithAttempt returns a copy for the next attempt, which also excludes the failed
// endpoints.
func (j Job) WithAttempt(attempt AttemptID, failed ...EndpointID) Job {
	j.Attempt = attempt
	j.ExcludedEndpoints = append(append([]EndpointID{}, j.ExcludedEndpoints...), failed...)
	j.RetryCount++
	return j
}

// WithPool returns a copy with another pool.
func (j Job) WithPool(pool string) Job {
	j.Pool = pool
	return j
}

// WithHop returns a copy with one more hop.
func (j Job) WithHop() Job {
	j.Hops++
	return j
}

// Placement holds the engines that run a job. Decode is empty while the job waits for
// decode memory to become free; see [Placer.AssignDecode].
type Placement struct {
	Grant   GrantID    `cbor:"1,keyasint"`
	Prefill EndpointID `cbor:"2,keyasint"`
	Decode  EndpointID `cbor:"3,keyasint,omitempty"`
	Code    Code       `cbor:"4,keyasint"`
	// Cell is the cell whose allocator holds the grant.
	Cell CellID `cbor:"5,keyasint"`
	// Owner is the instance that owns the cell.
	Owner InstanceID `cbor:"6,keyasint,omitempty"`
	// Scores holds the alternatives of the decision, for the log.
	Scores []Score `cbor:"7,keyasint,omitempty"`
	// ResumeAttempt is the running attempt whose stream is resumed instead of a new
	// prefill. It is empty for a new attempt.
	ResumeAttempt AttemptID `cbor:"8,keyasint,omitempty"`
}

// WithDecode returns a copy with a decode engine.
func (p Placement) WithDecode(endpoint EndpointID) Placement {
	p.Decode = endpoint
	return p
}

// Score is the cost of one alternative of a placement decision. Lower is better.
type Score struct {
	Endpoint   EndpointID `cbor:"1,keyasint" json:"endpoint"`
	CostMillis float64    `cbor:"2,keyasint" json:"millis"`
}

// CellID identifies a cell: a group of engines of a pool in one data centre whose memory
// is allocated by one instance.
type CellID struct {
	Pool       string     `cbor:"1,keyasint"`
	DataCentre DataCentre `cbor:"2,keyasint"`
	Index      int        `cbor:"3,keyasint"`
}

// GrantRecord is the state of a grant at its holder. A new owner of a cell rebuilds its
// allocators from these records.
type GrantRecord struct {
	Grant        GrantID    `cbor:"1,keyasint"`
	Job          Job        `cbor:"2,keyasint"`
	Prefill      EndpointID `cbor:"3,keyasint"`
	Decode       EndpointID `cbor:"4,keyasint,omitempty"`
	Stage        JobStage   `cbor:"5,keyasint"`
	OutputTokens int        `cbor:"6,keyasint,omitempty"`
}

// JobStage is the stage of a placed job.
type JobStage int

// Stages of a placed job, in order.
const (
	JobStagePrefilling JobStage = iota + 1
	JobStagePrefilled
	JobStageDecoding
	JobStageEnded
)

// Progress is a progress report for a placed job.
type Progress struct {
	Grant GrantID  `cbor:"1,keyasint"`
	Cell  CellID   `cbor:"2,keyasint"`
	Stage JobStage `cbor:"3,keyasint"`
	// OutputTokens is the number of answer tokens generated so far.
	OutputTokens int `cbor:"4,keyasint,omitempty"`
	// FailedEndpoint is the endpoint on which the job failed, or empty.
	FailedEndpoint EndpointID `cbor:"5,keyasint,omitempty"`
}

// Placer decides when and where jobs run.
type Placer interface {
	// Place blocks until the job may start its prefill and returns its placement, or a
	// *Refusal.
	Place(ctx context.Context, job Job) (Placement, error)
	// AssignDecode blocks until decode memory is free and returns the placement with its
	// decode engine. A placement that already has a decode engine is moved to another one.
	// AssignDecode fails if no memory is free before heldUntil, when the prefill result is
	// dropped.
	AssignDecode(ctx context.Context, placement Placement, heldUntil Deadline) (Placement, error)
	// ReportProgress reports the progress of a job. JobStageEnded frees the grant.
	ReportProgress(ctx context.Context, progress Progress)
}
