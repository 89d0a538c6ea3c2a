package admitter

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
)

const (
	// maxSumAgeMillis is the age at which the usage of other instances expires. Until then every
	// instance assumes that the others use nothing more.
	maxSumAgeMillis = 250
	// minReportedShare is the share of a second's quota below which an instance does not
	// report its usage.
	minReportedShare = 0.001
	// maxCountChange is the relative change of the number of instances in a sum from which on
	// the sum is not compared with the one before.
	maxCountChange = 0.05
	// retrySpreadMillis spreads the return of callers that are refused together.
	retrySpreadMillis = 500
	// usageSteps is the number of steps in which the usage of an account's quota is compared.
	usageSteps = 4
)

// Quotas keeps the quotas of client accounts at all instances together, without an owner that
// could fail. Every instance simulates the token bucket of each active account: it takes its
// own requests from it at once, and those of the others as far as the sums of their recent
// usage show them.
//
// Recent usage decays exponentially, so that it can be summed, and so that a lost or repeated
// report changes a bucket by a second's usage at most. While only a part of the instances
// reports, or none, an instance uses a corresponding part of each quota: the parts of all sides
// of a partition add up to the quota. It is safe for concurrent use.
//
// Load pattern: one account sends many times its usual amount through all instances, or all
// its callers are at few of them.
type Quotas struct {
	log zerolog.Logger
	// mu guards everything below.
	mu       sync.Mutex
	accounts map[uint32]*accountBucket
	// limited holds the accounts of the table in force that have a quota.
	limited map[uint32]*figseam.ClientAccount
	// lastCount is the number of instances in the last sum, with this one, and sumAt its time.
	lastCount int
	sumAt     time.Time
	members   memberCount
	// startCount is the number of instances that is assumed before the first sum.
	startCount int
	tolerance  Tolerance
}

// NewQuotas returns quotas that are used up until the first sum of the other instances shows
// what is left: what this instance took before a restart is not known.
func NewQuotas(tolerance Tolerance, log zerolog.Logger) *Quotas {
	return &Quotas{log: log, accounts: map[uint32]*accountBucket{}, tolerance: tolerance, startCount: 1}
}

// Claim is the part of an account's quota that a request uses.
type Claim struct {
	account uint32
	cost    float64
}

// Take takes the cost of a request from the quota of its account. If that is used up, it
// returns the time in milliseconds after which the caller may retry, and false. contended
// reports whether others wait for the engines that the request needs: the quota is kept
// strictly then.
func (q *Quotas) Take(account *figseam.ClientAccount, cost float64, contended bool) (c Claim, retryMillis float64, ok bool) {
	if account.Quota == nil || cost <= 0 {
		return Claim{}, 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	key := figseam.HashAccount(account.Name)
	b := q.bucket(key, now)
	if b == nil {
		return Claim{}, 0, true
	}
	part := q.part(b, now)
	if b.largestCost == 0 && q.sumAt.IsZero() {
		// Instances that have just started and know nothing of each other would all admit
		// their first request at the same time.
		b.take(rand.Float64() * cost)
	}
	b.largestCost = max(b.largestCost, cost)
	b.refill(part, now)
	if needed := b.needed(cost, part); b.strict < needed && (contended || b.tolerated < needed) {
		q.logRefusal(b, part)
		return Claim{}, b.retryMillis(cost, part) + rand.Float64()*retrySpreadMillis, false
	}
	b.refused = false
	b.take(cost)
	b.own = b.own.plus(cost, now)
	return Claim{account: key, cost: cost}, 0, true
}

// logRefusal logs the first refusal of an account after a request that was admitted.
func (q *Quotas) logRefusal(b *accountBucket, part float64) {
	if b.refused {
		return
	}
	b.refused = true
	q.log.Info().Str("account", string(b.name)).Float64("per_second", b.quota.PerSecond).Float64("part", part).Msg("account has used its quota")
}

// Return gives back what a request took that did not run.
func (q *Quotas) Return(c Claim) {
	if c.cost <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b, ok := q.accounts[c.account]
	if !ok {
		return
	}
	now := time.Now()
	b.refill(q.part(b, now), now)
	b.take(-c.cost)
	b.own = b.own.plus(-c.cost, now)
}

// UsageStep returns how far an account has recently used its quota, in steps from 0 to 4: of
// two accounts that wait for the same engines, the one with the lower step goes first. It is 0
// for an account without a quota.
func (q *Quotas) UsageStep(account *figseam.ClientAccount) int {
	if account == nil || account.Quota == nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b, ok := q.accounts[figseam.HashAccount(account.Name)]
	if !ok {
		return 0
	}
	now := time.Now()
	used := (b.own.valueAt(now) + b.remote.valueAt(now)) / (account.Quota.PerSecond * usageDecayMillis / 1000)
	return min(usageSteps, int(used*usageSteps))
}

// SetAccounts replaces the accounts by those of a table.
func (q *Quotas) SetAccounts(accounts map[figseam.Account]*figseam.ClientAccount) {
	limited := map[uint32]*figseam.ClientAccount{}
	for name, account := range accounts {
		if account.Quota != nil {
			limited[figseam.HashAccount(name)] = account
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limited = limited
	for key, b := range q.accounts {
		account := limited[key]
		if account == nil {
			delete(q.accounts, key)
			continue
		}
		b.quota, b.toleratedPerSecond = *account.Quota, q.tolerance.perSecond(*account.Quota)
	}
}

// bucket returns the bucket of an account of the table in force, or nil if the account has no
// quota there. The caller holds mu.
func (q *Quotas) bucket(key uint32, now time.Time) *accountBucket {
	if b, ok := q.accounts[key]; ok {
		return b
	}
	account := q.limited[key]
	if account == nil {
		return nil
	}
	b := &accountBucket{
		name: account.Name, quota: *account.Quota, toleratedPerSecond: q.tolerance.perSecond(*account.Quota),
		refilledAt: now, own: decayingSum{at: now}, remote: decayingSum{at: now},
	}
	if !q.sumAt.IsZero() {
		b.fill(0)
	}
	q.accounts[key] = b
	return b
}

// part returns the part of an account's quota that the instances in the last sum may use, or
// this instance alone if there is no recent sum. The caller holds mu.
func (q *Quotas) part(b *accountBucket, now time.Time) float64 {
	known := max(q.members.highest(now), 1)
	if q.sumAt.IsZero() {
		return 1 / float64(q.startCount)
	}
	if now.Sub(q.sumAt) <= maxSumAgeMillis*time.Millisecond {
		return min(1, float64(q.lastCount)/float64(known))
	}
	// The instance keeps the part that it used when it lost contact, and an equal part of
	// what nobody used.
	known = max(known, q.lastCount)
	own, remote := b.ownAtSum, b.remoteAtSum
	perSecond := b.quota.PerSecond * usageDecayMillis / 1000
	if own+remote >= perSecond {
		return max(own, 0) / (own + remote)
	}
	return (max(own, 0) + (perSecond-own-remote)/float64(known)) / perSecond
}

// LocalUsage returns what this instance recently took from quotas.
func (q *Quotas) LocalUsage() []figseam.AccountUsage {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var usage []figseam.AccountUsage
	for key, b := range q.accounts {
		if own := b.own.valueAt(now); math.Abs(own) > minReportedShare*b.quota.PerSecond {
			usage = append(usage, figseam.AccountUsage{Account: key, RecentMillis: int64(own * 1000)})
		}
	}
	return usage
}

// SetRemoteUsage replaces the summed usage of all other instances. instances is the number of
// instances in the sum.
func (q *Quotas) SetRemoteUsage(usage []figseam.AccountUsage, instances int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	count, first := instances+1, q.sumAt.IsZero()
	alike := now.Sub(q.sumAt) <= maxSumAgeMillis*time.Millisecond && math.Abs(float64(count-q.lastCount)) <= maxCountChange*float64(count)
	sums := make(map[uint32]float64, len(usage))
	for _, u := range usage {
		sums[u.Account] = float64(u.RecentMillis) / 1000
		q.bucket(u.Account, now)
	}
	for key, b := range q.accounts {
		b.refill(q.part(b, now), now)
		if first {
			b.fill(sums[key])
		}
		if alike {
			b.take(sums[key] - b.remote.valueAt(now))
		}
		b.remote = decayingSum{value: sums[key], at: now}
		b.ownAtSum, b.remoteAtSum = b.own.valueAt(now), sums[key]
	}
	q.lastCount, q.sumAt = count, now
	q.members.record(count, now)
}

// SetInstances sets the number of instances that is assumed before the first sum.
func (q *Quotas) SetInstances(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startCount = max(1, n)
}

// EvictIdle drops the buckets of accounts that have not been used lately and are full.
func (q *Quotas) EvictIdle() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for key, b := range q.accounts {
		b.refill(q.part(b, now), now)
		negligible := minReportedShare * b.quota.PerSecond
		if math.Abs(b.own.valueAt(now)) <= negligible && b.remote.valueAt(now) <= negligible && b.strict >= b.quota.Burst {
			delete(q.accounts, key)
		}
	}
}

// Exhausted returns the number of accounts whose last request was refused.
func (q *Quotas) Exhausted() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, b := range q.accounts {
		if b.refused {
			n++
		}
	}
	return n
}
