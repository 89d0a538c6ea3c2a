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
	// suspectMillis is how long an instance has to refute a suspicion.
	suspectMillis = 2000
	// buryMillis is how long a dead instance is remembered, so that stale news
	// does not bring it back.
	buryMillis = 60_000
	// updatesPerMessage bounds the news that travel on one probe.
	updatesPerMessage = 8
	// spreadFactor times the logarithm of the members is how often an instance
	// passes on a piece of news.
	spreadFactor = 3
)

// entry is what is known of one instance.
type entry struct {
	member figseam.Member
	// until is when a suspect is declared dead, or a dead instance forgotten.
	until figseam.Deadline
	// sends is how often the news of it is still to be passed on.
	sends int
}

// MemberList is an instance's list of instances. Its methods are safe for
// concurrent use. It implements [figseam.Membership].
type MemberList struct {
	// view is the sorted list that is handed out.
	view atomic.Pointer[[]figseam.Member]

	// mu guards everything below.
	mu      sync.Mutex
	self    figseam.Member
	entries map[figseam.InstanceID]*entry
	// departed remembers the runs of instances that are gone.
	departed map[figseam.InstanceID]uint64
}

// NewMemberList returns a list with only this instance.
func NewMemberList(self figseam.Member) *MemberList {
	self.State = figseam.InstanceAlive
	m := &MemberList{self: self, entries: map[figseam.InstanceID]*entry{}, departed: map[figseam.InstanceID]uint64{}}
	m.publish()
	return m
}

// Preload fills the list with instances that are known already, without passing the
// news of them on.
func (m *MemberList) Preload(known []figseam.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range known {
		if k.ID != m.self.ID {
			m.entries[k.ID] = &entry{member: k}
		}
	}
	m.publish()
}

// Self implements [figseam.Membership].
func (m *MemberList) Self() figseam.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Members implements [figseam.Membership].
func (m *MemberList) Members() []figseam.Member { return *m.view.Load() }

// Find returns a member by name.
func (m *MemberList) Find(id figseam.InstanceID) (figseam.Member, bool) {
	all := m.Members()
	i, ok := slices.BinarySearchFunc(all, id, func(a figseam.Member, id figseam.InstanceID) int { return cmp.Compare(a.ID, id) })
	if !ok {
		return figseam.Member{}, false
	}
	return all[i], true
}

// IsDead reports whether an instance is known to be dead. An instance that was
// never heard of is not.
func (m *MemberList) IsDead(id figseam.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[id]
	return ok && e.member.State == figseam.InstanceDead
}

// RunEnded reports whether a run of an instance is known to be over: the instance
// is dead or was started again.
func (m *MemberList) RunEnded(id figseam.InstanceID, run uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id == m.self.ID {
		return run != m.self.RunID
	}
	if e, ok := m.entries[id]; ok {
		return e.member.State == figseam.InstanceDead || e.member.RunID != run
	}
	return m.departed[id] == run
}

// SetConfigVersion notes the configuration version that this instance has applied.
func (m *MemberList) SetConfigVersion(version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.ConfigVersion = version
	m.publish()
}

// Leave tells the others that this instance takes no new work.
func (m *MemberList) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.State = figseam.InstanceLeaving
	m.self.Incarnation++
	m.publish()
}

// publish makes the list that is handed out. The caller holds the mutex.
func (m *MemberList) publish() {
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

// merge takes news in. News of the sender itself also carry its version.
func (m *MemberList) merge(news []figseam.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, n := range news {
		if n.ID == m.self.ID {
			changed = m.refute(n) || changed
			continue
		}
		changed = m.take(n) || changed
	}
	if changed {
		m.publish()
	}
}

// refute answers news that this instance is not what it says.
func (m *MemberList) refute(n figseam.Member) bool {
	if n.Incarnation < m.self.Incarnation || (n.RunID == m.self.RunID && n.State == m.self.State) {
		return false
	}
	if n.RunID == m.self.RunID && n.State == figseam.InstanceAlive {
		return false
	}
	m.self.Incarnation = n.Incarnation + 1
	return true
}

func (m *MemberList) take(n figseam.Member) bool {
	e, ok := m.entries[n.ID]
	if !ok {
		if n.State == figseam.InstanceDead {
			return false
		}
		e = &entry{}
		m.entries[n.ID] = e
	}
	if ok && !newer(n, e.member) {
		if n.RunID == e.member.RunID && n.ConfigVersion > e.member.ConfigVersion {
			e.member.ConfigVersion = n.ConfigVersion
			return true
		}
		return false
	}
	n.ConfigVersion = max(n.ConfigVersion, sameRunVersion(n, e.member))
	e.member = n
	e.sends = m.spreads()
	m.setUntil(e)
	return true
}

func sameRunVersion(n, old figseam.Member) uint64 {
	if n.RunID == old.RunID {
		return old.ConfigVersion
	}
	return 0
}

// newer reports whether news override what is known: by incarnation, then by
// state.
func newer(n, old figseam.Member) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	return n.State > old.State
}

func (m *MemberList) setUntil(e *entry) {
	switch e.member.State {
	case figseam.InstanceSuspect:
		e.until = figseam.DeadlineAfterMillis(suspectMillis)
	case figseam.InstanceDead:
		e.until = figseam.DeadlineAfterMillis(buryMillis)
	default:
		e.until = figseam.Deadline{}
	}
}

func (m *MemberList) spreads() int {
	return spreadFactor * bits.Len(uint(len(m.entries)+1))
}

// mark notes that an instance did not answer.
func (m *MemberList) mark(id figseam.InstanceID, state figseam.InstanceState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.entries[id]
	if !ok || e.member.State >= state {
		return
	}
	e.member.State = state
	e.sends = m.spreads()
	m.setUntil(e)
	m.publish()
}

// expire declares suspects dead and forgets those long dead. An instance that
// said it leaves and does not answer is dead as well.
func (m *MemberList) expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for id, e := range m.entries {
		if !e.until.Passed() {
			continue
		}
		changed = true
		if e.member.State == figseam.InstanceDead {
			m.departed[id] = e.member.RunID
			delete(m.entries, id)
			continue
		}
		e.member.State = figseam.InstanceDead
		e.sends = m.spreads()
		m.setUntil(e)
	}
	if changed {
		m.publish()
	}
}

// news returns this instance and the pieces of news that were passed on least.
func (m *MemberList) news() []figseam.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var open []*entry
	for _, e := range m.entries {
		if e.sends > 0 {
			open = append(open, e)
		}
	}
	slices.SortFunc(open, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.member.ID, b.member.ID))
	})
	news := []figseam.Member{m.self}
	for _, e := range open[:min(len(open), updatesPerMessage)] {
		e.sends--
		news = append(news, e.member)
	}
	return news
}

// all returns this instance and every other one, dead ones included.
func (m *MemberList) all() []figseam.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []figseam.Member{m.self}
	for _, e := range m.entries {
		all = append(all, e.member)
	}
	return all
}

// digest sums up the list, without versions, so that two instances can compare
// theirs.
func (m *MemberList) digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := memberSum(m.self)
	for _, e := range m.entries {
		if e.member.State != figseam.InstanceDead {
			sum ^= memberSum(e.member)
		}
	}
	return sum
}

func memberSum(m figseam.Member) uint64 {
	h := xxhash.Sum64String(string(m.ID))
	return h*31 + m.Incarnation*7 + uint64(m.State)
}

// remembered bounds the departed runs that are kept.
const remembered = 10_000

func (m *MemberList) trimDeparted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.departed) > remembered {
		clear(m.departed)
	}
}

// after converts milliseconds.
func after(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
