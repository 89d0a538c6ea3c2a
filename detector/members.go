package detector

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figseam/figseam"
)

const (
	// suspicionTimeoutMillis bounds the time for a suspected instance to refute the suspicion.
	suspicionTimeoutMillis = 2000
	// deadRetentionMillis is the retention time of a dead instance. During this time, stale
	// updates do not add the instance again.
	deadRetentionMillis = 60_000
	// maxUpdatesPerMessage bounds the updates about other instances in one message.
	maxUpdatesPerMessage = 8
	// retransmitFactor, multiplied by the bit length of the number of members, is the
	// number of messages in which an instance sends an update.
	retransmitFactor = 3
)

// entry is the state of another instance in the list.
type entry struct {
	member figseam.Member
	// deadline is the time at which a suspected instance is declared dead, or a dead instance
	// is deleted.
	deadline figseam.Deadline
	// remainingSends is the number of further messages in which the latest update is sent.
	remainingSends int
}

// MemberList is the list that an instance maintains of all instances. It implements
// [figseam.Membership] and is safe for concurrent use.
type MemberList struct {
	// view is the sorted list that Members returns. It is replaced and never modified.
	view atomic.Pointer[[]figseam.Member]

	// mu guards the fields below.
	mu      sync.Mutex
	self    figseam.Member
	entries map[figseam.InstanceID]*entry
	// endedRuns holds the last run ID of each instance that was deleted from the list.
	endedRuns map[figseam.InstanceID]uint64
}

// NewMemberList returns a list with only this instance.
func NewMemberList(self figseam.Member) *MemberList {
	self.State = figseam.InstanceAlive
	m := &MemberList{self: self, entries: map[figseam.InstanceID]*entry{}, endedRuns: map[figseam.InstanceID]uint64{}}
	m.updateView()
	return m
}

// Preload adds known instances to the list without sending updates about them.
func (m *MemberList) Preload(known []figseam.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range known {
		if k.ID != m.self.ID {
			m.entries[k.ID] = &entry{member: k}
		}
	}
	m.updateView()
}

// Self implements [figseam.Membership].
func (m *MemberList) Self() figseam.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Members implements [figseam.Membership].
func (m *MemberList) Members() []figseam.Member { return *m.view.Load() }

// Find returns the member with an ID and whether there is one.
func (m *MemberList) Find(id figseam.InstanceID) (figseam.Member, bool) {
	all := m.Members()
	i, ok := slices.BinarySearchFunc(all, id, func(a figseam.Member, id figseam.InstanceID) int { return cmp.Compare(a.ID, id) })
	if !ok {
		return figseam.Member{}, false
	}
	return all[i], true
}

// IsDead reports whether an instance is known to be dead. It returns false for an unknown
// instance.
func (m *MemberList) IsDead(id figseam.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[id]
	return ok && e.member.State == figseam.InstanceDead
}

// RunEnded reports whether a run of an instance is known to have ended, because the instance
// is dead or has been restarted.
func (m *MemberList) RunEnded(id figseam.InstanceID, run uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id == m.self.ID {
		return run != m.self.RunID
	}
	if e, ok := m.entries[id]; ok {
		return e.member.State == figseam.InstanceDead || e.member.RunID != run
	}
	return m.endedRuns[id] == run
}

// SetConfigVersion sets the configuration version that this instance has applied.
func (m *MemberList) SetConfigVersion(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.ConfigVersion = version
	m.updateView()
}

// Leave sets the state of this instance to leaving, so that it receives no new work.
func (m *MemberList) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = figseam.InstanceLeaving
	m.self.Incarnation++
	m.updateView()
}

// updateView replaces view. The caller must hold mu.
func (m *MemberList) updateView() {
	all := make([]figseam.Member, 0, len(m.entries)+1)
	all = append(all, m.self)
	for _, e := range m.entries {
		if e.member.State != figseam.InstanceDead {
			all = append(all, e.member)
		}
	}
	slices.SortFunc(all, func(a, b figseam.Member) int { return cmp.Compare(a.ID, b.ID) })
	m.view.Store(&all)
}

// merge applies updates to the list. In the update about itself, a sender reports its
// current configuration version.
func (m *MemberList) merge(updates []figseam.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, u := range updates {
		if u.ID == m.self.ID {
			changed = m.refute(u) || changed
			continue
		}
		changed = m.applyUpdate(u) || changed
	}
	if changed {
		m.updateView()
	}
}

// refute handles an update about this instance. It raises the incarnation number, so that
// the next update by this instance overrides u, unless u is older, or is about this run
// and reports the current state or alive. It reports whether it raised the number.
func (m *MemberList) refute(u figseam.Member) bool {
	if u.Incarnation < m.self.Incarnation || (u.RunID == m.self.RunID && u.State == m.self.State) {
		return false
	}
	if u.RunID == m.self.RunID && u.State == figseam.InstanceAlive {
		return false
	}
	m.self.Incarnation = u.Incarnation + 1
	return true
}

// applyUpdate handles an update about another instance and reports whether the list changed.
// It ignores the death of an unknown instance. From an update that does not override the
// known state, it applies only a higher configuration version of the same run.
func (m *MemberList) applyUpdate(u figseam.Member) bool {
	e, ok := m.entries[u.ID]
	if !ok {
		if u.State == figseam.InstanceDead {
			return false
		}
		e = &entry{}
		m.entries[u.ID] = e
	}
	if ok && !supersedes(u, e.member) {
		if u.RunID == e.member.RunID && u.ConfigVersion > e.member.ConfigVersion {
			e.member.ConfigVersion = u.ConfigVersion
			return true
		}
		return false
	}
	u.ConfigVersion = max(u.ConfigVersion, sameRunConfigVersion(u, e.member))
	e.member = u
	e.remainingSends = m.initialSends()
	m.setDeadline(e)
	return true
}

// sameRunConfigVersion returns the known configuration version if u is about the same run,
// else 0.
func sameRunConfigVersion(u, old figseam.Member) uint64 {
	if u.RunID == old.RunID {
		return old.ConfigVersion
	}
	return 0
}

// supersedes reports whether update u overrides the known state: the higher incarnation
// number wins, then the higher state.
func supersedes(u, old figseam.Member) bool {
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	return u.State > old.State
}

func (m *MemberList) setDeadline(e *entry) {
	switch e.member.State {
	case figseam.InstanceSuspect:
		e.deadline = figseam.DeadlineAfterMillis(suspicionTimeoutMillis)
	case figseam.InstanceDead:
		e.deadline = figseam.DeadlineAfterMillis(deadRetentionMillis)
	default:
		e.deadline = figseam.Deadline{}
	}
}

// initialSends returns the number of messages in which a new update is sent.
func (m *MemberList) initialSends() int {
	return retransmitFactor * bits.Len(uint(len(m.entries)+1))
}

// raiseState sets the state of an instance if it overrides the current one, and schedules
// an update.
func (m *MemberList) raiseState(id figseam.InstanceID, state figseam.InstanceState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[id]
	if !ok || e.member.State >= state {
		return
	}
	e.member.State = state
	e.remainingSends = m.initialSends()
	m.setDeadline(e)
	m.updateView()
}

// expire declares suspected instances dead whose deadline has passed, and deletes dead ones
// after deadRetentionMillis.
func (m *MemberList) expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for id, e := range m.entries {
		if !e.deadline.Passed() {
			continue
		}
		changed = true
		if e.member.State == figseam.InstanceDead {
			m.endedRuns[id] = e.member.RunID
			delete(m.entries, id)
			continue
		}
		e.member.State = figseam.InstanceDead
		e.remainingSends = m.initialSends()
		m.setDeadline(e)
	}
	if changed {
		m.updateView()
	}
}

// pendingUpdates returns this instance and the updates with the most sends remaining, and
// counts these as sent.
func (m *MemberList) pendingUpdates() []figseam.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var pending []*entry
	for _, e := range m.entries {
		if e.remainingSends > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.remainingSends, a.remainingSends), cmp.Compare(a.member.ID, b.member.ID))
	})
	updates := []figseam.Member{m.self}
	for _, e := range pending[:min(len(pending), maxUpdatesPerMessage)] {
		e.remainingSends--
		updates = append(updates, e.member)
	}
	return updates
}

// fullList returns this instance and all others, including dead ones.
func (m *MemberList) fullList() []figseam.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []figseam.Member{m.self}
	for _, e := range m.entries {
		all = append(all, e.member)
	}
	return all
}

// digest returns a hash over the instances that are not dead, which two instances compare.
// It covers ID, incarnation number and state, not the configuration version.
func (m *MemberList) digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	hash := memberHash(m.self)
	for _, e := range m.entries {
		if e.member.State != figseam.InstanceDead {
			hash ^= memberHash(e.member)
		}
	}
	return hash
}

func memberHash(m figseam.Member) uint64 {
	h := xxhash.Sum64String(string(m.ID))
	return h*31 + m.Incarnation*7 + uint64(m.State)
}

// maxEndedRuns bounds the retained run IDs of deleted instances. If it is exceeded, all are
// discarded.
const maxEndedRuns = 10_000

func (m *MemberList) trimEndedRuns() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.endedRuns) > maxEndedRuns {
		clear(m.endedRuns)
	}
}

// milliseconds converts a number of milliseconds to a time.Duration.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
