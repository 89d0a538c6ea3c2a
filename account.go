package figseam

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

// ClientAccount is a client account of a [Table]. Its callers authenticate with API keys.
type ClientAccount struct {
	Name Account
	// Priority goes before the priority of the route; 0 is the highest.
	Priority int
	// Quota is nil if the account's requests are not limited.
	Quota *AccountQuota
}

// AccountQuota limits the requests of an account at all instances together. It is a token
// bucket that grows by PerSecond up to Burst. Both are counted in Unit.
type AccountQuota struct {
	PerSecond float64
	Burst     float64
	Unit      QuotaUnit
	// UnsizedTokens is the number of tokens that a request without token counts costs.
	UnsizedTokens int
}

// QuotaUnit is the unit of an [AccountQuota].
type QuotaUnit int

// Units of quotas.
const (
	QuotaRequests QuotaUnit = iota
	// QuotaTokens counts the tokens of the prompt and the maximum tokens of the answer.
	QuotaTokens
)

// Cost returns what a request with a prompt takes from the quota.
func (q AccountQuota) Cost(p Prompt) float64 {
	switch {
	case q.Unit == QuotaRequests:
		return 1
	case !p.Sized:
		return float64(q.UnsizedTokens)
	}
	return float64(p.InputTokens + p.MaxOutputTokens)
}

// KeyDigest is the digest of an API key. Tables hold digests, so that a memory dump or a log
// line of a table shows no key.
type KeyDigest [16]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:16])
}

// AccountUsage is the recent usage of an account's quota by one or more instances.
type AccountUsage struct {
	// Account is the hash of the account's name.
	Account uint32 `cbor:"1,keyasint"`
	// RecentMillis is the usage in thousandths of the quota's unit. Usage counts less the
	// older it is.
	RecentMillis int64 `cbor:"2,keyasint,omitempty"`
}

// Add returns the sum of two usages of an account.
func (u AccountUsage) Add(v AccountUsage) AccountUsage {
	return AccountUsage{Account: v.Account, RecentMillis: u.RecentMillis + v.RecentMillis}
}

// Negate returns the usage that cancels u in a sum.
func (u AccountUsage) Negate() AccountUsage {
	return AccountUsage{Account: u.Account, RecentMillis: -u.RecentMillis}
}

// HashAccount returns the hash that identifies an account in messages.
func HashAccount(name Account) uint32 { return uint32(xxhash.Sum64String(string(name))) }
