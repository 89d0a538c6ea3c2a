package admitter

import (
	"math"
	"time"

	"github.com/figseam/figseam"
)

const (
	// usageDecayMillis is the time constant with which recent usage decays.
	usageDecayMillis = 1000
	// maxDebtBursts and maxDebtRequests bound the debt to a quota that the use of the tolerance
	// leaves, so that an account is soon served again once others wait.
	maxDebtBursts   = 2
	maxDebtRequests = 8
	// cheapShare is the share of the burst up to which a request is cheap. Cheap requests may
	// use cheapDebtBursts more than others, so that expensive ones do not starve them.
	cheapShare      = 0.02
	cheapDebtBursts = 1
	// membershipMillis is the time for which instances that no longer report still count, at
	// least: they may be cut off and serve callers of the same accounts.
	membershipMillis = 30_000
	// sustainedMillis is the time for which a higher number of instances must be seen before
	// it counts: longer than reports to two voters, one after the other, take to expire.
	sustainedMillis = 4000
)

// Tolerance states by how much an account may exceed its quota within a window: by a share of
// what the quota allows in the window, plus an amount in the quota's unit. An account may use a
// part of the tolerance while no other requests wait for the same engines.
type Tolerance struct {
	WindowSeconds float64
	Share         float64
	Amount        float64
}

// usableTolerance is the part of the tolerance that accounts may use. The rest covers requests
// that other instances admit before this one learns of them.
const usableTolerance = 0.65

// perSecond returns the rate that a quota may reach with the usable part of the tolerance. With
// the quota's burst, it allows no more in a window than the tolerance does.
func (o Tolerance) perSecond(q figseam.AccountQuota) float64 {
	if o.WindowSeconds <= 0 {
		return q.PerSecond
	}
	excess := o.Share*(q.PerSecond*o.WindowSeconds+q.Burst) + o.Amount
	return q.PerSecond + usableTolerance*excess/o.WindowSeconds
}

// accountBucket is the simulated bucket of an account.
type accountBucket struct {
	name  figseam.Account
	quota figseam.AccountQuota
	// strict is the level of the bucket without the tolerance; it grows at the quota's rate.
	// tolerated is the level with the tolerance; it grows by toleratedPerSecond.
	strict             float64
	tolerated          float64
	toleratedPerSecond float64
	// refilledAt is the time up to which both have grown.
	refilledAt  time.Time
	largestCost float64
	own         decayingSum
	remote      decayingSum
	// ownAtSum and remoteAtSum are the values at the time of the last sum.
	ownAtSum, remoteAtSum float64
	// refused reports whether the last request was refused, so that each change is logged once.
	refused bool
}

// take takes an amount, which is negative if it is given back.
func (b *accountBucket) take(amount float64) {
	lowest := -max(maxDebtBursts*b.quota.Burst, maxDebtRequests*b.largestCost)
	b.strict = max(b.strict-amount, min(b.strict, lowest))
	b.tolerated -= amount
}

// refill lets both levels grow by a part of the quota. A request larger than the burst waits
// until the bucket has grown to its size.
func (b *accountBucket) refill(part float64, now time.Time) {
	limit := max(b.quota.Burst*part, b.largestCost)
	seconds := part * now.Sub(b.refilledAt).Seconds()
	b.strict = min(b.strict+b.quota.PerSecond*seconds, limit)
	b.tolerated = min(b.tolerated+b.toleratedPerSecond*seconds, limit)
	b.refilledAt = now
}

// needed returns the level that a request with a cost needs.
func (b *accountBucket) needed(cost, part float64) float64 {
	if cost <= cheapShare*b.quota.Burst {
		return cost - cheapDebtBursts*b.quota.Burst*part
	}
	return cost
}

// retryMillis returns the time until a request with a cost would be admitted without others.
func (b *accountBucket) retryMillis(cost, part float64) float64 {
	return max(0, b.needed(cost, part)-b.tolerated) / (b.toleratedPerSecond * part) * 1000
}

// decayingSum is an amount that decays with usageDecayMillis.
type decayingSum struct {
	value float64
	at    time.Time
}

func (d decayingSum) valueAt(now time.Time) float64 {
	return d.value * math.Exp(-float64(now.Sub(d.at).Milliseconds())/usageDecayMillis)
}

// plus returns the sum with an amount added.
func (d decayingSum) plus(amount float64, now time.Time) decayingSum {
	return decayingSum{value: d.valueAt(now) + amount, at: now}
}

// fill lets the levels rise to what an account whose others recently used an amount probably
// has left.
func (b *accountBucket) fill(remote float64) {
	level := b.quota.Burst * max(0, 1-remote/(b.quota.PerSecond*usageDecayMillis/1000))
	b.strict, b.tolerated = max(b.strict, level), max(b.tolerated, level)
}

// memberCount remembers the highest number of instances that was sustained, for one to two
// times membershipMillis. An instance that changes its voter counts twice until its report to the one
// before has expired.
type memberCount struct {
	current, previous int
	rotateAt          time.Time
	// rising is the lowest number above current since risingFrom.
	rising     int
	risingFrom time.Time
}

func (m *memberCount) record(n int, now time.Time) {
	m.rotate(now)
	switch {
	case n <= m.current:
		m.risingFrom = time.Time{}
	case m.risingFrom.IsZero():
		m.rising, m.risingFrom = n, now
	default:
		m.rising = min(m.rising, n)
		if now.Sub(m.risingFrom) >= sustainedMillis*time.Millisecond {
			m.current, m.risingFrom = m.rising, time.Time{}
		}
	}
}

func (m *memberCount) highest(now time.Time) int {
	m.rotate(now)
	return max(m.current, m.previous)
}

func (m *memberCount) rotate(now time.Time) {
	if now.Before(m.rotateAt) {
		return
	}
	if !m.rotateAt.IsZero() {
		m.previous, m.current = m.current, 0
	}
	m.rotateAt = now.Add(membershipMillis * time.Millisecond)
}
