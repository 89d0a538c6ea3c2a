package throttler

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
)

const (
	// slotMillis is the length of a slot. It is longer than the delay until other instances
	// learn of a request.
	slotMillis = 200
	// maxRemoteAgeMillis is the age at which the counts of other instances expire.
	maxRemoteAgeMillis = 1500
	// maxRetryMillis bounds the time after which a refused caller may retry.
	maxRetryMillis = 2000
)

// Throttle holds the limits that endpoints name and the requests of this instance and of
// others that count against them. It is safe for concurrent use.
type Throttle struct {
	// instance tells the slots of this instance from those of others.
	instance string
	log      zerolog.Logger
	// began is the beginning of the first slot.
	began time.Time
	// mu guards everything below.
	mu        sync.Mutex
	instances int
	// endpoints holds the endpoints that named a limit, to this instance or to others, by
	// the hashes of their IDs.
	endpoints map[uint32]*limitedEndpoint
	remoteAt  time.Time
	// pauses holds the end of the pause of each endpoint that asked this instance for one.
	pauses map[figseam.EndpointRun]figseam.Deadline
}

// limitedEndpoint is an endpoint that named a limit.
type limitedEndpoint struct {
	endpointState
	sharing
	// id is empty as long as only other instances know the endpoint.
	id string
	// remote is the usage by other instances.
	remote figseam.EndpointUsage
}

// New returns a throttle without limits for an instance.
func New(instance figseam.InstanceID, log zerolog.Logger) *Throttle {
	return &Throttle{instance: string(instance), log: log, began: time.Now(), instances: 1, endpoints: map[uint32]*limitedEndpoint{}, pauses: map[figseam.EndpointRun]figseam.Deadline{}}
}

// SetInstances sets the number of instances that share the limits.
func (t *Throttle) SetInstances(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = max(1, n)
}

// RecordAnswer records an answer of an endpoint that names a limit, in requests a second, or
// nil for none.
func (t *Throttle) RecordAnswer(e figseam.ListedEndpoint, perSecond *float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := figseam.HashEndpoint(e.ID)
	l, known := t.endpoints[key]
	if perSecond == nil {
		if known {
			l.recordUnnamed()
			l.mergeRemote(l.remote)
		}
		return
	}
	if !known {
		l = t.add(key)
	}
	if l.perSecond != *perSecond || !l.held() {
		t.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Float64("per_second", *perSecond).Float64("before", l.perSecond).Msg("endpoint names a limit")
	}
	l.id = e.ID
	l.recordNamed(*perSecond)
}

// add adds an endpoint. The caller holds mu.
func (t *Throttle) add(key uint32) *limitedEndpoint {
	l := &limitedEndpoint{}
	t.endpoints[key] = l
	return l
}

// find returns an endpoint whose limit holds, or nil. The caller holds mu.
func (t *Throttle) find(e figseam.ListedEndpoint) *limitedEndpoint {
	if len(t.endpoints) == 0 {
		return nil
	}
	l := t.endpoints[figseam.HashEndpoint(e.ID)]
	if l == nil || !l.held() {
		return nil
	}
	l.id = e.ID
	return l
}

// RecordSend records that a request is sent to an endpoint.
func (t *Throttle) RecordSend(e figseam.ListedEndpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.find(e); l != nil {
		l.sentAt = append(l.sentAt, time.Now())
	}
}

// Allows reports whether a request may be sent to an endpoint now: it has not asked for a
// pause, and its limit is not used up.
func (t *Throttle) Allows(e figseam.ListedEndpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused(e) {
		return false
	}
	l := t.find(e)
	if l == nil {
		return true
	}
	now := time.Now()
	l.recordWanted(now)
	inSlot := l.sentSince(t.began.Add(time.Duration(t.slot(now)) * slotMillis * time.Millisecond))
	if now.Sub(t.remoteAt) > maxRemoteAgeMillis*time.Millisecond {
		// Without the counts of the others each instance uses an equal part, by chance.
		return inSlot == 0 && t.draw(l.id, now) < l.perSecond*slotMillis/1000/float64(t.instances)
	}
	allowed := l.perSecond * l.window().Seconds()
	remainder := allowed - float64(l.sentSince(now.Add(-l.window()))+l.remote.RecentRequests)
	share := remainder / float64(l.sharers(t.instances, now))
	return remainder >= min(1, allowed) && t.draw(l.id, now) < share && float64(inSlot+1) <= max(1, share)
}

// RetryMillis returns the expected time until one of the endpoints takes another request,
// and reports whether any of them names a limit.
func (t *Throttle) RetryMillis(endpoints []figseam.ListedEndpoint) (millis float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0.0
	for _, e := range endpoints {
		if l := t.find(e); l != nil {
			limited = true
			total += l.perSecond
		}
	}
	if total*maxRetryMillis < 1000 {
		return maxRetryMillis, limited
	}
	return 1000 / total, limited
}

// LocalUsage returns what this instance sent to endpoints that name a limit, and the limits
// that they named to it.
func (t *Throttle) LocalUsage() []figseam.EndpointUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var usage []figseam.EndpointUsage
	for _, l := range t.endpoints {
		if l.id == "" {
			continue
		}
		u := l.usage(l.id, now)
		if l.wanted(now) {
			u.WantedFrom = 1
		}
		if u != (figseam.EndpointUsage{Endpoint: u.Endpoint}) {
			usage = append(usage, u)
		}
	}
	return usage
}

// SetRemoteUsage replaces the summed usage of all other instances.
func (t *Throttle) SetRemoteUsage(usage []figseam.EndpointUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.endpoints {
		l.remote = figseam.EndpointUsage{}
	}
	t.mergeRemote(usage)
}

// MergeRemoteUsage replaces the summed usage of all other instances at some endpoints.
func (t *Throttle) MergeRemoteUsage(changes []figseam.EndpointUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeRemote(changes)
}

// mergeRemote replaces the usage of some endpoints. The caller holds mu.
func (t *Throttle) mergeRemote(changes []figseam.EndpointUsage) {
	t.remoteAt = time.Now()
	for _, u := range changes {
		if l, ok := t.endpoints[u.Endpoint]; ok {
			l.remote = u
		} else if u.LimitedFrom > 0 {
			t.add(u.Endpoint).remote = u
		}
	}
	for _, l := range t.endpoints {
		l.mergeRemote(l.remote)
		l.recordOthers(l.remote.WantedFrom, t.remoteAt)
	}
}

// EvictExpired drops endpoints whose limits no longer hold, and pauses that have ended.
func (t *Throttle) EvictExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictPauses()
	now := time.Now()
	for key, l := range t.endpoints {
		if !l.held() && !pending(l.unnamedUntil) {
			t.log.Info().Str("endpoint", l.id).Float64("before", l.perSecond).Msg("limit of an endpoint no longer holds")
			delete(t.endpoints, key)
			continue
		}
		l.forgetBefore(now.Add(-l.window()))
	}
}

// Len returns the number of endpoints whose limits hold.
func (t *Throttle) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.endpoints {
		if l.held() {
			n++
		}
	}
	return n
}

// draw returns a number from 0 to 1 that is random for each instance, endpoint and slot.
func (t *Throttle) draw(id string, now time.Time) float64 {
	hash := xxhash.Sum64String(t.instance + "/" + id + "/" + strconv.FormatInt(t.slot(now), 10))
	return float64(hash>>11) / (1 << 53)
}

// slot returns the number of the slot of a time, on the monotonic clock: the time of day may
// jump.
func (t *Throttle) slot(now time.Time) int64 { return now.Sub(t.began).Milliseconds() / slotMillis }
