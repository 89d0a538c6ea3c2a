package deduplicator

import (
	"slices"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
)

// StateMachineName is the state machine's name in commands.
const StateMachineName = "claims"

const (
	// abandonedMillis is how long an abandoned claim command is remembered, so
	// that it is refused if it reaches the log late.
	abandonedMillis = 60 * 60 * 1000
	// RetentionMillis is how long a claim is kept, by the log's clock.
	RetentionMillis = 24 * 60 * 60 * 1000
	// MaxClaims bounds the claims that are kept.
	MaxClaims = 200_000
	// MaxResponseBytes bounds one stored answer's body.
	MaxResponseBytes = 64 << 10
	// MaxStoredResponseBytes bounds the bodies of all stored answers together.
	MaxStoredResponseBytes = 16 << 20
)

// operation says what a command does.
type operation uint8

const (
	operationClaim operation = iota + 1
	operationSettle
	operationRelease
	operationTakeOver
	operationAbandon
)

// command is an entry for this machine.
type command struct {
	Operation operation          `cbor:"1,keyasint"`
	Key       string             `cbor:"2,keyasint"`
	Digest    []byte             `cbor:"3,keyasint,omitempty"`
	Holder    figseam.InstanceID `cbor:"4,keyasint,omitempty"`
	// Nonce makes a repeated claim command of one call give the same result.
	Nonce  string                  `cbor:"5,keyasint,omitempty"`
	Fence  uint64                  `cbor:"6,keyasint,omitempty"`
	Answer *figseam.StoredResponse `cbor:"7,keyasint,omitempty"`
}

// verdict answers a command.
type verdict uint8

const (
	verdictGranted verdict = iota + 1
	verdictInProgress
	verdictDone
	verdictKeyReused
	verdictFull
	verdictStale
)

// reply is the result of a command.
type reply struct {
	Verdict verdict                 `cbor:"1,keyasint"`
	Fence   uint64                  `cbor:"2,keyasint,omitempty"`
	Holder  figseam.InstanceID      `cbor:"3,keyasint,omitempty"`
	Answer  *figseam.StoredResponse `cbor:"4,keyasint,omitempty"`
}

// record is the state of one key.
type record struct {
	Key    string             `cbor:"1,keyasint"`
	Digest []byte             `cbor:"2,keyasint"`
	Holder figseam.InstanceID `cbor:"3,keyasint"`
	Nonce  string             `cbor:"4,keyasint"`
	Fence  uint64             `cbor:"5,keyasint"`
	Done   bool               `cbor:"6,keyasint"`
	// MadeAt is the log's clock at the claim, in milliseconds.
	MadeAt int64                   `cbor:"7,keyasint"`
	Answer *figseam.StoredResponse `cbor:"8,keyasint,omitempty"`
}

// StateMachine is the replicated state of all claims. It implements
// [figseam.StateMachine].
type StateMachine struct {
	records map[string]*record
	// order lists the keys by the time of their claim, for expiry.
	order       []*record
	storedBytes int
	abandoned   []abandonment
	// count is the number of records, for readers beside the log's task.
	count atomic.Int64
}

// abandonment is a claim command that its holder gave up before it knew whether
// the command was applied.
type abandonment struct {
	Nonce  string `cbor:"1,keyasint"`
	MadeAt int64  `cbor:"2,keyasint"`
}

// machineState is what a snapshot holds.
type machineState struct {
	Records   []*record     `cbor:"1,keyasint"`
	Abandoned []abandonment `cbor:"2,keyasint"`
}

// NewStateMachine returns a machine without claims.
func NewStateMachine() *StateMachine {
	return &StateMachine{records: map[string]*record{}}
}

// Name implements [figseam.StateMachine].
func (m *StateMachine) Name() string { return StateMachineName }

// Apply implements [figseam.StateMachine].
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
	case operationSettle:
		r = m.settle(c)
	case operationRelease:
		r = m.release(c)
	case operationTakeOver:
		r = m.takeOver(c, entry.Index)
	case operationAbandon:
		r = m.abandon(c, entry.LogMillis)
	}
	m.count.Store(int64(len(m.records)))
	result, err := cbor.Marshal(r)
	if err != nil {
		return nil
	}
	return result
}

func (m *StateMachine) expire(now int64) {
	for len(m.order) > 0 && now-m.order[0].MadeAt >= RetentionMillis {
		m.forget(m.order[0])
		m.order = m.order[1:]
	}
	for len(m.abandoned) > 0 && now-m.abandoned[0].MadeAt >= abandonedMillis {
		m.abandoned = m.abandoned[1:]
	}
}

func (m *StateMachine) forget(r *record) {
	if m.records[r.Key] != r {
		return
	}
	m.storedBytes -= answerBytes(r.Answer)
	delete(m.records, r.Key)
}

func (m *StateMachine) claim(c command, entry figseam.CommittedCommand) reply {
	old, ok := m.records[c.Key]
	given := func(a abandonment) bool { return a.Nonce == c.Nonce }
	switch {
	case slices.ContainsFunc(m.abandoned, given):
		return reply{Verdict: verdictStale}
	case !ok && len(m.records) >= MaxClaims:
		return reply{Verdict: verdictFull}
	case !ok:
		r := &record{
			Key: c.Key, Digest: c.Digest, Holder: c.Holder, Nonce: c.Nonce,
			Fence: entry.Index, MadeAt: entry.LogMillis,
		}
		m.records[c.Key] = r
		m.order = append(m.order, r)
		return reply{Verdict: verdictGranted, Fence: r.Fence}
	case !slices.Equal(old.Digest, c.Digest):
		return reply{Verdict: verdictKeyReused}
	case old.Done:
		return reply{Verdict: verdictDone, Answer: old.Answer}
	case old.Nonce == c.Nonce:
		return reply{Verdict: verdictGranted, Fence: old.Fence}
	default:
		return reply{Verdict: verdictInProgress, Fence: old.Fence, Holder: old.Holder}
	}
}

// held returns the record that a command's fencing number still holds.
func (m *StateMachine) held(c command) *record {
	r, ok := m.records[c.Key]
	if !ok || r.Fence != c.Fence || r.Done {
		return nil
	}
	return r
}

// settle stores the answer. A former holder's answer is stored too while the
// call is not done: the call did run, and that is its answer.
func (m *StateMachine) settle(c command) reply {
	r, ok := m.records[c.Key]
	if !ok {
		return reply{Verdict: verdictStale}
	}
	if r.Done {
		return reply{Verdict: verdictDone, Answer: r.Answer}
	}
	r.Done = true
	r.Answer = c.Answer
	m.storedBytes += answerBytes(c.Answer)
	m.dropOldAnswers()
	return reply{Verdict: verdictGranted}
}

func (m *StateMachine) dropOldAnswers() {
	for _, r := range m.order {
		if m.storedBytes <= MaxStoredResponseBytes {
			return
		}
		if r.Done && r.Answer != nil {
			m.storedBytes -= answerBytes(r.Answer)
			r.Answer = nil
		}
	}
}

// release gives a key back after a call that was certainly not sent.
func (m *StateMachine) release(c command) reply {
	r := m.held(c)
	if r == nil {
		return reply{Verdict: verdictStale}
	}
	m.remove(r)
	return reply{Verdict: verdictGranted}
}

func (m *StateMachine) remove(r *record) {
	m.forget(r)
	m.order = slices.DeleteFunc(m.order, func(o *record) bool { return o == r })
}

// abandon undoes a claim command of which the holder never learned, whether the
// log has it already or gets it later. The holder has not sent and will not.
func (m *StateMachine) abandon(c command, now int64) reply {
	if r, ok := m.records[c.Key]; ok && r.Nonce == c.Nonce && !r.Done {
		m.remove(r)
	}
	m.abandoned = append(m.abandoned, abandonment{Nonce: c.Nonce, MadeAt: now})
	return reply{Verdict: verdictGranted}
}

// takeOver gives an unfinished claim to another holder, with a new fencing
// number.
func (m *StateMachine) takeOver(c command, index uint64) reply {
	if r, ok := m.records[c.Key]; ok && r.Nonce == c.Nonce && !r.Done {
		return reply{Verdict: verdictGranted, Fence: r.Fence}
	}
	r := m.held(c)
	if r == nil {
		return reply{Verdict: verdictStale}
	}
	r.Holder, r.Nonce, r.Fence = c.Holder, c.Nonce, index
	return reply{Verdict: verdictGranted, Fence: index}
}

func answerBytes(a *figseam.StoredResponse) int {
	if a == nil {
		return 0
	}
	return len(a.Body)
}

// Snapshot implements [figseam.StateMachine].
func (m *StateMachine) Snapshot() ([]byte, error) {
	return cbor.Marshal(machineState{Records: m.order, Abandoned: m.abandoned})
}

// Restore implements [figseam.StateMachine].
func (m *StateMachine) Restore(snapshot []byte) error {
	var s machineState
	if err := cbor.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	m.order, m.abandoned, m.storedBytes = s.Records, s.Abandoned, 0
	m.records = make(map[string]*record, len(s.Records))
	for _, r := range s.Records {
		m.records[r.Key] = r
		m.storedBytes += answerBytes(r.Answer)
	}
	m.count.Store(int64(len(m.records)))
	return nil
}

// ClaimCount returns how many claims are kept. It is safe for concurrent use.
func (m *StateMachine) ClaimCount() int { return int(m.count.Load()) }
