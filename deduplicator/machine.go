package deduplicator

import (
	"slices"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
)

// StateMachineName identifies the state machine in commands.
const StateMachineName = "claims"

const (
	// abandonmentRetentionMillis is the retention time of abandoned claim commands, by the
	// clock of the log. A claim command that is committed in this time is refused.
	abandonmentRetentionMillis = 60 * 60 * 1000
	// RetentionMillis is the retention time of claims, by the clock of the log.
	RetentionMillis = 24 * 60 * 60 * 1000
	// MaxClaims bounds the number of claims.
	MaxClaims = 200_000
	// MaxResponseBytes bounds the body of one stored response.
	MaxResponseBytes = 64 << 10
	// MaxStoredResponseBytes bounds the total size of the bodies of all stored responses.
	MaxStoredResponseBytes = 16 << 20
)

// operation is the type of a command.
type operation uint8

const (
	operationClaim operation = iota + 1
	operationComplete
	operationRelease
	operationTakeOver
	operationAbandon
)

// command is the body of a [figseam.Command] to this state machine.
type command struct {
	Operation operation          `cbor:"1,keyasint"`
	Key       string             `cbor:"2,keyasint"`
	Digest    []byte             `cbor:"3,keyasint,omitempty"`
	Holder    figseam.InstanceID `cbor:"4,keyasint,omitempty"`
	// Nonce identifies the claiming call. A claim command that is applied twice returns the
	// same result, since its nonce equals that of the record.
	Nonce    string                  `cbor:"5,keyasint,omitempty"`
	Fence    uint64                  `cbor:"6,keyasint,omitempty"`
	Response *figseam.StoredResponse `cbor:"7,keyasint,omitempty"`
}

// verdict is the outcome of a command.
type verdict uint8

const (
	// verdictGranted means that the command took effect.
	verdictGranted verdict = iota + 1
	// verdictInProgress means that another call holds an unfinished claim of the key.
	verdictInProgress
	// verdictCompleted means that the call has completed; its response may be evicted.
	verdictCompleted
	// verdictKeyReused means that the key is claimed for a request with another digest.
	verdictKeyReused
	// verdictFull means that the number of claims has reached MaxClaims.
	verdictFull
	// verdictStale means that the command refers to a claim that has been deleted, taken
	// over or completed, or that it is an abandoned claim command.
	verdictStale
)

// reply is the result of a command.
type reply struct {
	Verdict  verdict                 `cbor:"1,keyasint"`
	Fence    uint64                  `cbor:"2,keyasint,omitempty"`
	Holder   figseam.InstanceID      `cbor:"3,keyasint,omitempty"`
	Response *figseam.StoredResponse `cbor:"4,keyasint,omitempty"`
}

// record is the claim of one idempotency key.
type record struct {
	Key       string             `cbor:"1,keyasint"`
	Digest    []byte             `cbor:"2,keyasint"`
	Holder    figseam.InstanceID `cbor:"3,keyasint"`
	Nonce     string             `cbor:"4,keyasint"`
	Fence     uint64             `cbor:"5,keyasint"`
	Completed bool               `cbor:"6,keyasint"`
	// ClaimedAtMillis is the time of the claim, by the clock of the log.
	ClaimedAtMillis int64                   `cbor:"7,keyasint"`
	Response        *figseam.StoredResponse `cbor:"8,keyasint,omitempty"`
}

// StateMachine is the replicated state of all claims. It implements
// [figseam.StateMachine].
type StateMachine struct {
	records map[string]*record
	// byClaimTime holds the records, oldest claim first, for expiry and eviction.
	byClaimTime []*record
	storedBytes int
	abandoned   []abandonment
	// claimCount is the number of records. It is atomic because ClaimCount is called
	// concurrently with Apply.
	claimCount atomic.Int64
}

// abandonment records a claim command that its holder abandoned without a confirmation that
// it was or was not applied.
type abandonment struct {
	Nonce             string `cbor:"1,keyasint"`
	AbandonedAtMillis int64  `cbor:"2,keyasint"`
}

// snapshotState is the content of a snapshot.
type snapshotState struct {
	Records   []*record     `cbor:"1,keyasint"`
	Abandoned []abandonment `cbor:"2,keyasint"`
}

// NewStateMachine returns a state machine without claims.
func NewStateMachine() *StateMachine {
	return &StateMachine{records: map[string]*record{}}
}

// Name implements [figseam.StateMachine].
func (m *StateMachine) Name() string { return StateMachineName }

// Apply implements [figseam.StateMachine]. Commands and results are encoded as CBOR. The
// result is nil if the command cannot be decoded.
func (m *StateMachine) Apply(entry figseam.CommittedCommand) []byte {
	var c command
	if cbor.Unmarshal(entry.Body, &c) != nil {
		return nil
	}
	m.expire(entry.LogMillis)
	var r reply
	switch c.Operation {
	case operationClaim:
		r = m.claim(c, entry)
	case operationComplete:
		r = m.complete(c)
	case operationRelease:
		r = m.release(c)
	case operationTakeOver:
		r = m.takeOver(c, entry.Index)
	case operationAbandon:
		r = m.abandon(c, entry.LogMillis)
	}
	m.claimCount.Store(int64(len(m.records)))
	result, err := cbor.Marshal(r)
	if err != nil {
		return nil
	}
	return result
}

func (m *StateMachine) expire(nowMillis int64) {
	for len(m.byClaimTime) > 0 && nowMillis-m.byClaimTime[0].ClaimedAtMillis >= RetentionMillis {
		m.deleteFromMap(m.byClaimTime[0])
		m.byClaimTime = m.byClaimTime[1:]
	}
	for len(m.abandoned) > 0 && nowMillis-m.abandoned[0].AbandonedAtMillis >= abandonmentRetentionMillis {
		m.abandoned = m.abandoned[1:]
	}
}

// deleteFromMap deletes a record from records only. The caller deletes it from
// byClaimTime.
func (m *StateMachine) deleteFromMap(r *record) {
	if m.records[r.Key] != r {
		return
	}
	m.storedBytes -= bodyBytes(r.Response)
	delete(m.records, r.Key)
}

func (m *StateMachine) claim(c command, entry figseam.CommittedCommand) reply {
	old, ok := m.records[c.Key]
	sameNonce := func(a abandonment) bool { return a.Nonce == c.Nonce }
	switch {
	case slices.ContainsFunc(m.abandoned, sameNonce):
		return reply{Verdict: verdictStale}
	case !ok && len(m.records) >= MaxClaims:
		return reply{Verdict: verdictFull}
	case !ok:
		r := &record{
			Key: c.Key, Digest: c.Digest, Holder: c.Holder, Nonce: c.Nonce,
			Fence: entry.Index, ClaimedAtMillis: entry.LogMillis,
		}
		m.records[c.Key] = r
		m.byClaimTime = append(m.byClaimTime, r)
		return reply{Verdict: verdictGranted, Fence: r.Fence}
	case !slices.Equal(old.Digest, c.Digest):
		return reply{Verdict: verdictKeyReused}
	case old.Completed:
		return reply{Verdict: verdictCompleted, Response: old.Response}
	case old.Nonce == c.Nonce:
		return reply{Verdict: verdictGranted, Fence: old.Fence}
	default:
		return reply{Verdict: verdictInProgress, Fence: old.Fence, Holder: old.Holder}
	}
}

// currentClaim returns the unfinished record with the fencing token of a command, or nil
// if there is none.
func (m *StateMachine) currentClaim(c command) *record {
	r, ok := m.records[c.Key]
	if !ok || r.Fence != c.Fence || r.Completed {
		return nil
	}
	return r
}

// complete stores the response of a call. It ignores the fencing token: until the call is
// completed, the response of a former holder is stored as well, because that call did run.
func (m *StateMachine) complete(c command) reply {
	r, ok := m.records[c.Key]
	if !ok {
		return reply{Verdict: verdictStale}
	}
	if r.Completed {
		return reply{Verdict: verdictCompleted, Response: r.Response}
	}
	r.Completed = true
	r.Response = c.Response
	m.storedBytes += bodyBytes(c.Response)
	m.evictOldResponses()
	return reply{Verdict: verdictGranted}
}

// evictOldResponses removes the oldest responses until the total size of the bodies is at
// most MaxStoredResponseBytes.
func (m *StateMachine) evictOldResponses() {
	for _, r := range m.byClaimTime {
		if m.storedBytes <= MaxStoredResponseBytes {
			return
		}
		if r.Completed && r.Response != nil {
			m.storedBytes -= bodyBytes(r.Response)
			r.Response = nil
		}
	}
}

// release deletes the claim of a call that was certainly not sent.
func (m *StateMachine) release(c command) reply {
	r := m.currentClaim(c)
	if r == nil {
		return reply{Verdict: verdictStale}
	}
	m.removeRecord(r)
	return reply{Verdict: verdictGranted}
}

func (m *StateMachine) removeRecord(r *record) {
	m.deleteFromMap(r)
	m.byClaimTime = slices.DeleteFunc(m.byClaimTime, func(o *record) bool { return o == r })
}

// abandon reverts a claim command whose result did not reach the holder. If the command is
// not yet applied, it will be refused. The holder has not sent the call and will not.
func (m *StateMachine) abandon(c command, nowMillis int64) reply {
	if r, ok := m.records[c.Key]; ok && r.Nonce == c.Nonce && !r.Completed {
		m.removeRecord(r)
	}
	m.abandoned = append(m.abandoned, abandonment{Nonce: c.Nonce, AbandonedAtMillis: nowMillis})
	return reply{Verdict: verdictGranted}
}

// takeOver transfers an unfinished claim to another holder and assigns a new fencing
// token. A repeated command returns the result of the first.
func (m *StateMachine) takeOver(c command, index uint64) reply {
	if r, ok := m.records[c.Key]; ok && r.Nonce == c.Nonce && !r.Completed {
		return reply{Verdict: verdictGranted, Fence: r.Fence}
	}
	r := m.currentClaim(c)
	if r == nil {
		return reply{Verdict: verdictStale}
	}
	r.Holder, r.Nonce, r.Fence = c.Holder, c.Nonce, index
	return reply{Verdict: verdictGranted, Fence: index}
}

func bodyBytes(r *figseam.StoredResponse) int {
	if r == nil {
		return 0
	}
	return len(r.Body)
}

// Snapshot implements [figseam.StateMachine].
func (m *StateMachine) Snapshot() ([]byte, error) {
	return cbor.Marshal(snapshotState{Records: m.byClaimTime, Abandoned: m.abandoned})
}

// Restore implements [figseam.StateMachine].
func (m *StateMachine) Restore(snapshot []byte) error {
	var s snapshotState
	if err := cbor.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	m.byClaimTime, m.abandoned, m.storedBytes = s.Records, s.Abandoned, 0
	m.records = make(map[string]*record, len(s.Records))
	for _, r := range s.Records {
		m.records[r.Key] = r
		m.storedBytes += bodyBytes(r.Response)
	}
	m.claimCount.Store(int64(len(m.records)))
	return nil
}

// ClaimCount returns the number of claims. It is safe for concurrent use.
func (m *StateMachine) ClaimCount() int { return int(m.claimCount.Load()) }
