// Package admitter enforces the rate limits of accounts. The token bucket of each account
// is owned by one instance of the data centre, selected by rendezvous hashing, so the
// limit applies across the instances there. Every data centre enforces the limit
// independently, so that a partitioned data centre continues to serve requests. If the
// owner of a bucket cannot be reached, the instance that received the request uses a
// bucket of its own.
//
// [Quotas] keeps quotas of opaque requests over all data centres, for which every instance
// simulates the buckets.
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
	// ownerTimeoutMillis is the timeout of a request to the owner of a bucket.
	ownerTimeoutMillis = 150
	// DefaultClass is the class of accounts without an object. Such accounts are not
	// limited if no class has this name.
	DefaultClass = "default"
	// maxBuckets is the number of buckets from which on full ones are evicted.
	maxBuckets = 20_000
)

// PeerClient sends requests to the owners of buckets.
type PeerClient interface {
	// TakeToken takes one token from the bucket of the account on another instance. It
	// returns a *Refusal if the bucket is empty, and any other error if the instance did
	// not respond.
	TakeToken(ctx context.Context, to figseam.InstanceID, account figseam.Account) error
}

// Admitter enforces the rate limits of accounts. It is safe for concurrent use.
type Admitter struct {
	membership figseam.Membership
	config     func() *figseam.Config
	peers      PeerClient

	// mu guards buckets.
	mu      sync.Mutex
	buckets map[figseam.Account]*bucket
}

type bucket struct {
	class   figseam.AccountClass
	limiter *rate.Limiter
}

// New returns an admitter without buckets.
func New(membership figseam.Membership, config func() *figseam.Config, peers PeerClient) *Admitter {
	return &Admitter{membership: membership, config: config, peers: peers, buckets: map[figseam.Account]*bucket{}}
}

// Admit returns nil if the account may make a request now, or a *Refusal.
func (a *Admitter) Admit(ctx context.Context, account figseam.Account) error {
	if _, limited := a.class(account); !limited {
		return nil
	}
	owner := a.owner(account)
	if owner == a.membership.Self().ID {
		return a.TakeToken(account)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeoutMillis*time.Millisecond)
	defer cancel()
	err := a.peers.TakeToken(ctx, owner, account)
	if err != nil && figseam.AsRefusal(err) == nil {
		return a.TakeToken(account)
	}
	return err
}

// TakeToken takes one token from the bucket of the account on this instance. It returns a
// *Refusal if the bucket is empty.
func (a *Admitter) TakeToken(account figseam.Account) error {
	class, limited := a.class(account)
	if !limited {
		return nil
	}
	limiter := a.limiter(account, class)
	reservation := limiter.Reserve()
	wait := reservation.Delay()
	if wait <= 0 {
		return nil
	}
	reservation.Cancel()
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
		a.evictFull()
	}
	b = &bucket{class: class, limiter: rate.NewLimiter(rate.Limit(class.RequestsPerSecond), class.Burst)}
	a.buckets[account] = b
	return b.limiter
}

// evictFull evicts the buckets that are full, since a new bucket is in the same state.
func (a *Admitter) evictFull() {
	for account, b := range a.buckets {
		if b.limiter.Tokens() >= float64(b.class.Burst) {
			delete(a.buckets, account)
		}
	}
}

// class returns the class of an account, or false if the account is not limited.
func (a *Admitter) class(account figseam.Account) (figseam.AccountClass, bool) {
	config := a.config()
	if config == nil {
		return figseam.AccountClass{}, false
	}
	name := DefaultClass
	if o, ok := config.Accounts[account]; ok {
		name = o.Class
	}
	c, ok := config.AccountClasses[name]
	return c, ok
}

// owner returns the instance that owns the bucket of an account.
func (a *Admitter) owner(account figseam.Account) figseam.InstanceID {
	self := a.membership.Self()
	owner, maxHash := self.ID, uint64(0)
	for _, m := range a.membership.Members() {
		if m.DataCentre != self.DataCentre || !m.AcceptsWork() {
			continue
		}
		if hash := xxhash.Sum64String(string(account) + "\x00" + string(m.ID)); hash >= maxHash {
			owner, maxHash = m.ID, hash
		}
	}
	return owner
}
