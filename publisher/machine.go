package publisher

import (
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/figseam/figseam"
)

// RetainedChanges is the number of versions for which the result of a change is retained.
const RetainedChanges = 4096

// StateMachineName identifies the state machine in commands.
const StateMachineName = "config"

// Object is a configuration object. Body is its JSON encoding.
type Object struct {
	ID   figseam.ObjectID `cbor:"1,keyasint" json:"id"`
	Body []byte           `cbor:"2,keyasint" json:"body"`
}

// Change is a proposed change of the configuration.
type Change struct {
	// ID identifies the change; resends carry the same ID.
	ID          string             `cbor:"1,keyasint"`
	BaseVersion uint64             `cbor:"2,keyasint"`
	Author      string             `cbor:"3,keyasint,omitempty"`
	Upsert      []Object           `cbor:"4,keyasint,omitempty"`
	Delete      []figseam.ObjectID `cbor:"5,keyasint,omitempty"`
}

// ChangeStatus is the outcome of a proposed change.
type ChangeStatus uint8

const (
	// StatusApplied means that the change was applied, now or when it was first sent.
	StatusApplied ChangeStatus = iota + 1
	// StatusConflict means that the change was based on another version than the
	// current one.
	StatusConflict
	// StatusExpired means that the records no longer reach back to the base version, so
	// whether the change was applied is unknown.
	StatusExpired
)

// ChangeResult is the result of applying a [Change] to the state machine.
type ChangeResult struct {
	Status ChangeStatus `cbor:"1,keyasint"`
	// Version is the version that the change created, or else the current version.
	Version uint64 `cbor:"2,keyasint"`
}

// Delta is the difference between two consecutive versions.
type Delta struct {
	Version   uint64             `cbor:"1,keyasint" json:"version"`
	ChangeID  string             `cbor:"2,keyasint" json:"change"`
	Author    string             `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	LogMillis int64              `cbor:"4,keyasint" json:"log_ms"`
	Upsert    []Object           `cbor:"5,keyasint,omitempty" json:"-"`
	Delete    []figseam.ObjectID `cbor:"6,keyasint,omitempty" json:"-"`
}

// ChangeRecord is the retained record of an applied change.
type ChangeRecord struct {
	Version     uint64 `cbor:"1,keyasint" json:"version"`
	ChangeID    string `cbor:"2,keyasint" json:"change"`
	Author      string `cbor:"3,keyasint,omitempty" json:"author,omitempty"`
	UpsertCount int    `cbor:"4,keyasint" json:"upserts"`
	DeleteCount int    `cbor:"5,keyasint" json:"deletes"`
}

// snapshotState is the content of a snapshot.
type snapshotState struct {
	Version uint64         `cbor:"1,keyasint"`
	Objects []Object       `cbor:"2,keyasint"`
	Records []ChangeRecord `cbor:"3,keyasint"`
}

// ConfigSink receives the committed configuration. It is implemented by [Store].
type ConfigSink interface {
	ApplyDelta(d Delta) bool
	Replace(version uint64, objects []Object) bool
}

// StateMachine is the replicated state: objects, version and records of recent changes.
// It implements [figseam.StateMachine].
type StateMachine struct {
	sink              ConfigSink
	version           uint64
	objects           map[figseam.ObjectID][]byte
	records           []ChangeRecord
	versionByChangeID map[string]uint64
}

// NewStateMachine returns an empty state machine that passes applied changes to sink.
func NewStateMachine(sink ConfigSink) *StateMachine {
	return &StateMachine{sink: sink, objects: map[figseam.ObjectID][]byte{}, versionByChangeID: map[string]uint64{}}
}

// Name implements [figseam.StateMachine].
func (m *StateMachine) Name() string { return StateMachineName }

// Apply implements [figseam.StateMachine]. The command's body is a [Change], the result
// a [ChangeResult], both encoded as CBOR. The result is nil if the change cannot be
// decoded.
func (m *StateMachine) Apply(entry figseam.CommittedCommand) []byte {
	var c Change
	if cbor.Unmarshal(entry.Body, &c) != nil {
		return nil
	}
	result := m.decide(c)
	if result.Status == StatusApplied && result.Version > m.version {
		m.apply(c, entry.LogMillis)
	}
	encoded, err := cbor.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

// decide returns the result of a change without modifying the state.
func (m *StateMachine) decide(c Change) ChangeResult {
	if v, ok := m.versionByChangeID[c.ID]; ok {
		return ChangeResult{Status: StatusApplied, Version: v}
	}
	switch {
	case c.BaseVersion == m.version:
		return ChangeResult{Status: StatusApplied, Version: m.version + 1}
	case c.BaseVersion < m.oldestRetainedBase():
		return ChangeResult{Status: StatusExpired, Version: m.version}
	default:
		return ChangeResult{Status: StatusConflict, Version: m.version}
	}
}

// oldestRetainedBase returns the lowest base version for which an applied change still
// has its record.
func (m *StateMachine) oldestRetainedBase() uint64 {
	return m.version - uint64(len(m.retained()))
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
	m.versionByChangeID[c.ID] = m.version
	m.evictOldest()
	m.sink.ApplyDelta(Delta{
		Version: m.version, ChangeID: c.ID, Author: c.Author, LogMillis: logMillis,
		Upsert: c.Upsert, Delete: c.Delete,
	})
}

// evictOldest removes from versionByChangeID the change that is no longer one of the
// latest [RetainedChanges]. It copies the records only when their number has doubled, so
// that the amortised cost per change is constant.
func (m *StateMachine) evictOldest() {
	if oldest := len(m.records) - RetainedChanges - 1; oldest >= 0 {
		delete(m.versionByChangeID, m.records[oldest].ChangeID)
	}
	if len(m.records) >= 2*RetainedChanges {
		m.records = slices.Clone(m.retained())
	}
}

// retained returns the records of the latest [RetainedChanges] changes.
func (m *StateMachine) retained() []ChangeRecord {
	return m.records[max(0, len(m.records)-RetainedChanges):]
}

// Snapshot implements [figseam.StateMachine].
func (m *StateMachine) Snapshot() ([]byte, error) {
	return cbor.Marshal(snapshotState{Version: m.version, Objects: sortedObjects(m.objects), Records: m.retained()})
}

// Restore implements [figseam.StateMachine].
func (m *StateMachine) Restore(snapshot []byte) error {
	var s snapshotState
	if err := cbor.Unmarshal(snapshot, &s); err != nil {
		return err
	}
	m.version, m.records = s.Version, s.Records
	m.objects = make(map[figseam.ObjectID][]byte, len(s.Objects))
	for _, o := range s.Objects {
		m.objects[o.ID] = o.Body
	}
	m.versionByChangeID = make(map[string]uint64, len(s.Records))
	for _, r := range s.Records {
		m.versionByChangeID[r.ChangeID] = r.Version
	}
	m.sink.Replace(s.Version, s.Objects)
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
