package publisher

import (
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
)

// RetainedChanges is for how many versions the outcome of a change is remembered.
const RetainedChanges = 4096

// StateMachineName is the state machine's name in commands.
const StateMachineName = "config"

// Object is a configuration object as JSON.
type Object struct {
	ID   figseam.ObjectID `cbor:"1,keyasint" json:"id"`
	Body []byte           `cbor:"2,keyasint" json:"body"`
}

// Change is a change that somebody wants to publish.
type Change struct {
	// ID identifies the change; a resend has the same.
	ID          string             `cbor:"1,keyasint"`
	BaseVersion uint64             `cbor:"2,keyasint"`
	Author      string             `cbor:"3,keyasint,omitempty"`
	Upsert      []Object           `cbor:"4,keyasint,omitempty"`
	Delete      []figseam.ObjectID `cbor:"5,keyasint,omitempty"`
}

// ChangeStatus is what became of a change.
type ChangeStatus uint8

// The verdicts.
const (
	StatusApplied ChangeStatus = iota + 1
	StatusConflict
	StatusExpired
)

// ChangeResult answers a change.
type ChangeResult struct {
	Status ChangeStatus `cbor:"1,keyasint"`
	// Version is the version that the change made, or the present one.
	Version uint64 `cbor:"2,keyasint"`
}

// Delta is the difference between two versions that follow one another.
type Delta struct {
	Version   uint64             `cbor:"1,keyasint" json:"version"`
	ChangeID  string             `cbor:"2,keyasint" json:"change"`
	Author    string             `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	LogMillis int64              `cbor:"4,keyasint" json:"log_ms"`
	Upsert    []Object           `cbor:"5,keyasint,omitempty" json:"-"`
	Delete    []figseam.ObjectID `cbor:"6,keyasint,omitempty" json:"-"`
}

// ChangeRecord is an entry of the history.
type ChangeRecord struct {
	Version     uint64 `cbor:"1,keyasint" json:"version"`
	ChangeID    string `cbor:"2,keyasint" json:"change"`
	Author      string `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	UpsertCount int    `cbor:"4,keyasint" json:"upserts"`
	DeleteCount int    `cbor:"5,keyasint" json:"deletes"`
}

// state is what a snapshot holds.
type state struct {
	Version uint64         `cbor:"1,keyasint"`
	Objects []Object       `cbor:"2,keyasint"`
	Records []ChangeRecord `cbor:"3,keyasint"`
}

// ConfigSink takes what the log agreed on. A Store is one.
type ConfigSink interface {
	ApplyDelta(d Delta) bool
	Replace(version uint64, objects []Object) bool
}

// StateMachine is the replicated state: objects, version and recent changes. It
// implements [figseam.StateMachine].
type StateMachine struct {
	follower ConfigSink
	version  uint64
	objects  map[figseam.ObjectID][]byte
	records  []ChangeRecord
	byNumber map[string]uint64
}

// NewStateMachine returns an empty state whose changes go to follower.
func NewStateMachine(follower ConfigSink) *StateMachine {
	return &StateMachine{follower: follower, objects: map[figseam.ObjectID][]byte{}, byNumber: map[string]uint64{}}
}

// Name implements [figseam.StateMachine].
func (m *StateMachine) Name() string { return StateMachineName }

// Apply implements [figseam.StateMachine]: it takes a change and returns its
// outcome.
func (m *StateMachine) Apply(entry figseam.CommittedCommand) []byte {
	var c Change
	if cbor.Unmarshal(entry.Body, &c) != nil {
		return nil
	}
	outcome := m.decide(c)
	if outcome.Status == StatusApplied && outcome.Version > m.version {
		m.apply(c, entry.LogMillis)
	}
	result, err := cbor.Marshal(outcome)
	if err != nil {
		return nil
	}
	return result
}

// decide tells the outcome without changing anything.
func (m *StateMachine) decide(c Change) ChangeResult {
	if v, ok := m.byNumber[c.ID]; ok {
		return ChangeResult{Status: StatusApplied, Version: v}
	}
	switch {
	case c.BaseVersion == m.version:
		return ChangeResult{Status: StatusApplied, Version: m.version + 1}
	case c.BaseVersion < m.firstKept():
		return ChangeResult{Status: StatusExpired, Version: m.version}
	default:
		return ChangeResult{Status: StatusConflict, Version: m.version}
	}
}

// firstKept is the lowest base whose changes are all remembered: had a change on
// it been applied, it would be found.
func (m *StateMachine) firstKept() uint64 {
	return m.version - uint64(len(m.kept()))
}

func (m *StateMachine) apply(c Change, logMillis int64) {
	m.version++
	for _, o := range c.Upsert {
		m.objects[o.ID] = o.Body
	}
	for _, id := range c.Delete {
		delete(m.objects, id)
	}
	m.records = append(m.records, ChangeRecord{
		Version: m.version, ChangeID: c.ID, Author: c.Author,
		UpsertCount: len(c.Upsert), DeleteCount: len(c.Delete),
	})
	m.byNumber[c.ID] = m.version
	m.forgetOldest()
	m.follower.ApplyDelta(Delta{
		Version: m.version, ChangeID: c.ID, Author: c.Author, LogMillis: logMillis,
		Upsert: c.Upsert, Delete: c.Delete,
	})
}

// forgetOldest forgets the change that is one too many. The records are moved
// only now and then, so that a change costs no copy of all of them.
func (m *StateMachine) forgetOldest() {
	if oldest := len(m.records) - RetainedChanges - 1; oldest >= 0 {
		delete(m.byNumber, m.records[oldest].ChangeID)
	}
	if len(m.records) >= 2*RetainedChanges {
		m.records = slices.Clone(m.kept())
	}
}

// kept returns the records that are still remembered.
func (m *StateMachine) kept() []ChangeRecord {
	return m.records[max(0, len(m.records)-RetainedChanges):]
}

// Snapshot implements [figseam.StateMachine].
func (m *StateMachine) Snapshot() ([]byte, error) {
	return cbor.Marshal(state{Version: m.version, Objects: sortedObjects(m.objects), Records: m.kept()})
}

// Restore implements [figseam.StateMachine].
func (m *StateMachine) Restore(snapshot []byte) error {
	var s state
	if err := cbor.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	m.version, m.records = s.Version, s.Records
	m.objects = make(map[figseam.ObjectID][]byte, len(s.Objects))
	for _, o := range s.Objects {
		m.objects[o.ID] = o.Body
	}
	m.byNumber = make(map[string]uint64, len(s.Records))
	for _, r := range s.Records {
		m.byNumber[r.ChangeID] = r.Version
	}
	m.follower.Replace(s.Version, s.Objects)
	return nil
}

func sortedObjects(objects map[figseam.ObjectID][]byte) []Object {
	sorted := make([]Object, 0, len(objects))
	for _, id := range slices.SortedFunc(maps.Keys(objects), compareIDs) {
		sorted = append(sorted, Object{ID: id, Body: objects[id]})
	}
	return sorted
}

func compareIDs(a, b figseam.ObjectID) int { return strings.Compare(a.String(), b.String()) }
