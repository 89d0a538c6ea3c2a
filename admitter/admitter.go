// Package admitter holds the accounts' limits. Each account's bucket lies with
// one instance of the data centre, found by rendezvous hashing, so the limit
// holds across the instances there; every data centre applies the limit on its
// own, so that one that is cut off goes on serving. An account whose bucket
// cannot be reached is counted by the instance that serves it.
package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

const (
	// askMillis bounds the question to the instance that has the bucket.
	askMillis = 150
	// DefaultClass is the class of accounts that have no object, if there is one.
	DefaultClass = "default"
	// maxBuckets bounds the buckets in memory; beyond it the idle ones go.
	maxBuckets = 20_000
)

// Peers asks the instance that has an account's bucket.
type Peers interface {
	TakeToken(ctx context.Context, to figseam.InstanceID, account figseam.Account) error
}

// Admitter admits requests of accounts. It is safe for concurrent use.
type Admitter struct {
	membership figseam.Membership
	config     func() *figseam.Config
	peers      Peers

	// mu guards buckets.
	mu      sync.Mutex
	buckets map[figseam.Account]*bucket
}

type bucket struct {
	class   figseam.AccountClass
	limiter *rate.Limiter
}

// New returns an admitter without buckets.
func New(membership figseam.Membership, config func() *figseam.Config, peers Peers) *Admitter {
	return &Admitter{membership: membership, config: config, peers: peers, buckets: map[figseam.Account]*bucket{}}
}

// Admit returns nil when the account may make a request now, or a *Refusal.
func (a *Admitter) Admit(ctx context.Context, account figseam.Account) error {
	if _, limited := a.class(account); !limited {
		return nil
	}
	owner := a.owner(account)
	if owner == a.membership.Self().ID {
		return a.TakeToken(account)
	}
	ctx, cancel := context.WithTimeout(ctx, askMillis*time.Millisecond)
	defer cancel()
	err := a.peers.TakeToken(ctx, owner, account)
	if err != nil && figseam.AsRefusal(err) == nil {
		return a.TakeToken(account)
	}
	return err
}

// TakeToken takes one request from the account's bucket on this instance.
func (a *Admitter) TakeToken(account figseam.Account) error {
	class, limited := a.class(account)
	if !limited {
		return nil
	}
	limiter := a.limiter(account, class)
	r := limiter.Reserve()
	wait := r.Delay()
	if wait <= 0 {
		return nil
	}
	r.Cancel()
	return figseam.NewRefusal(explainer.AccountLimitExceeded, "account %q has used its %g requests a second", account, class.RequestsPerSecond).
		WithRetryAt(figseam.DeadlineAt(time.Now().Add(wait)))
}

func (a *Admitter) limiter(account figseam.Account, class figseam.AccountClass) *rate.Limiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.buckets[account]
	if ok && b.class == class {
		return b.limiter
	}
	if len(a.buckets) >= maxBuckets {
		a.dropFull()
	}
	b = &bucket{class: class, limiter: rate.NewLimiter(rate.Limit(class.RequestsPerSecond), class.Burst)}
	a.buckets[account] = b
	return b.limiter
}

// dropFull forgets buckets that are full: a new one would be the same.
func (a *Admitter) dropFull() {
	for account, b := range a.buckets {
		if b.limiter.Tokens() >= float64(b.class.Burst) {
			delete(a.buckets, account)
		}
	}
}

func (a *Admitter) class(account figseam.Account) (figseam.AccountClass, bool) {
	config := a.config()
	if config == nil {
		return figseam.AccountClass{}, false
	}
	name := DefaultClass
	if o, ok := config.Accounts[account]; ok {
		name = o.Class
	}
	c, ok := config.Classes[name]
	return c, ok
}

func (a *Admitter) owner(account figseam.Account) figseam.InstanceID {
	self := a.membership.Self()
	best, bestSum := self.ID, uint64(0)
	for _, m := range a.membership.Members() {
		if m.DataCentre != self.DataCentre || !m.AcceptsWork() {
			continue
		}
		if sum := xxhash.Sum64String(string(account) + "\x00" + string(m.ID)); sum >= bestSum {
			best, bestSum = m.ID, sum
		}
	}
	return best
}
