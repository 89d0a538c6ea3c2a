package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/admitter"
	"github.com/figseam/figseam/aggregator"
)

const (
	tick             = 10 * time.Millisecond
	exchangeInterval = 50 * time.Millisecond
	windowSeconds    = 8
	requestTokens    = 5000
	perSecond        = 50_000
	burst            = 50_000
	// allowance is the amount by which a quota may be exceeded in a window.
	allowance = 190_000
)

// admission is a request that was admitted, or not.
type admission struct {
	at       time.Time
	account  figseam.Account
	admitted bool
}

// quotaFleet is a number of instances that exchange their usage of quotas through two voters.
type quotaFleet struct {
	account    figseam.ClientAccount
	tolerance  admitter.Tolerance
	quotas     []*admitter.Quotas
	voters     []*aggregator.Store
	senders    []*aggregator.PeerSender
	admissions []admission
	// contended is passed to Take. isolated instances exchange nothing. partitioned voters do
	// not reach each other.
	contended, isolated, partitioned bool
	// oneVoter has all instances report to the second voter.
	oneVoter bool
}

func newQuotaFleet(instances int) *quotaFleet {
	f := &quotaFleet{
		account: figseam.ClientAccount{Name: "a", Quota: &figseam.AccountQuota{PerSecond: perSecond, Burst: burst, Unit: figseam.QuotaTokens}},
		quotas:  make([]*admitter.Quotas, instances),
	}
	f.startVoters()
	for i := range f.quotas {
		f.restart(i)
	}
	return f
}

func (f *quotaFleet) startVoters() {
	f.voters = []*aggregator.Store{aggregator.New(), aggregator.New()}
	f.senders = []*aggregator.PeerSender{aggregator.NewPeerSender(f.voters[0].Epoch()), aggregator.NewPeerSender(f.voters[1].Epoch())}
}

func (f *quotaFleet) restart(i int) {
	f.quotas[i] = admitter.NewQuotas(f.tolerance, zerolog.Nop())
	f.quotas[i].SetInstances(len(f.quotas))
	f.setAccounts(i)
}

func (f *quotaFleet) setAccounts(i int) {
	f.quotas[i].SetAccounts(map[figseam.Account]*figseam.ClientAccount{f.account.Name: &f.account})
}

// setQuota changes the quota at all instances.
func (f *quotaFleet) setQuota(q figseam.AccountQuota) {
	f.account.Quota = &q
	for i := range f.quotas {
		f.setAccounts(i)
	}
}

func (f *quotaFleet) exchange() {
	for i, q := range f.quotas {
		report := aggregator.Report{Instance: figseam.InstanceID(fmt.Sprint(i)), Load: aggregator.Load{Accounts: q.LocalUsage()}}
		voter := i % 2
		if f.oneVoter {
			voter = 1
		}
		sum := f.voters[voter].ExchangeReport(report)
		q.SetRemoteUsage(sum.Accounts, sum.Instances)
	}
	for v := range f.voters {
		message, changesOnly, send := f.senders[v].Next(figseam.InstanceID(fmt.Sprint("voter", v)), f.voters[v].LocalSum())
		switch {
		case !send || f.partitioned:
		case changesOnly:
			f.voters[1-v].MergePeerChanges(message)
		default:
			f.voters[1-v].MergePeer(message)
		}
	}
}

// run offers tokens at a rate to the first instances.
func (f *quotaFleet) run(random *rand.Rand, seconds, offered float64, callers int) {
	for n := range int(seconds * float64(time.Second/tick)) {
		for requests := offered / requestTokens * tick.Seconds(); requests > 0; requests-- {
			if random.Float64() < requests {
				_, _, ok := f.quotas[random.IntN(callers)].Take(&f.account, requestTokens, f.contended)
				f.admissions = append(f.admissions, admission{at: time.Now(), account: f.account.Name, admitted: ok})
			}
		}
		if !f.isolated && n%int(exchangeInterval/tick) == 0 {
			f.exchange()
		}
		time.Sleep(tick)
	}
}

// busiestWindow returns the most tokens that were admitted in a window.
func (f *quotaFleet) busiestWindow() int {
	highest, first, tokens := 0, 0, 0
	for _, a := range f.admissions {
		if !a.admitted {
			continue
		}
		tokens += requestTokens
		for ; f.admissions[first].at.Before(a.at.Add(-windowSeconds * time.Second)); first++ {
			if f.admissions[first].admitted {
				tokens -= requestTokens
			}
		}
		highest = max(highest, tokens)
	}
	return highest
}

// since returns the tokens that were admitted and refused after a time.
func (f *quotaFleet) since(start time.Time) (admitted, refused int) {
	for _, a := range f.admissions {
		switch {
		case a.at.Before(start):
		case a.admitted:
			admitted += requestTokens
		default:
			refused += requestTokens
		}
	}
	return admitted, refused
}

// allowedInWindow is the highest number of tokens that may be admitted in a window: what the
// quota allows, a tenth more, and the allowance.
const allowedInWindow = (perSecond*windowSeconds+burst)*11/10 + allowance

// TestQuotaHoldsOverAllInstances guards against an account that gets more than its quota and
// tolerance in a window: from instances that admit at the same time, that restart, whose voters
// restart, that are cut off from each other or that learn nothing of each other.
func TestQuotaHoldsOverAllInstances(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		callers   int
		disturb   func(f *quotaFleet, random *rand.Rand)
	}{
		{"hot account", 77, 77, func(f *quotaFleet, random *rand.Rand) {}},
		{"callers at few of many instances", 195, 5, func(f *quotaFleet, random *rand.Rand) {}},
		{"many instances", 640, 640, func(f *quotaFleet, random *rand.Rand) {}},
		{"all instances restart", 77, 77, func(f *quotaFleet, random *rand.Rand) {
			for i := range f.quotas {
				f.restart(i)
			}
		}},
		{"instances restart in turn", 12, 12, func(f *quotaFleet, random *rand.Rand) {
			for i := range f.quotas {
				f.restart(i)
				f.run(random, 0.5, 12*perSecond, len(f.quotas))
			}
		}},
		{"voters restart", 77, 77, func(f *quotaFleet, random *rand.Rand) { f.startVoters() }},
		{"partition", 77, 77, func(f *quotaFleet, random *rand.Rand) { f.partitioned = true }},
		{"partition that heals", 77, 77, func(f *quotaFleet, random *rand.Rand) {
			f.partitioned = true
			f.run(random, 5, 12*perSecond, len(f.quotas))
			f.partitioned = false
		}},
		{"no voter", 77, 77, func(f *quotaFleet, random *rand.Rand) { f.isolated = true }},
		{"restart without voters", 77, 77, func(f *quotaFleet, random *rand.Rand) {
			f.isolated = true
			for i := range f.quotas {
				f.restart(i)
			}
		}},
	}
	for _, tt := range tests {
		for _, tolerance := range []admitter.Tolerance{{}, {WindowSeconds: windowSeconds, Share: 0.1, Amount: allowance}} {
			t.Run(fmt.Sprint(tt.name, " ", tolerance.Amount), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(1, 1))
					f := newQuotaFleet(tt.instances)
					f.tolerance = tolerance
					for i := range f.quotas {
						f.restart(i)
					}
					f.run(random, 12, 12*perSecond, tt.callers)
					tt.disturb(f, random)
					f.run(random, 12, 12*perSecond, tt.callers)
					require.LessOrEqual(t, f.busiestWindow(), allowedInWindow)
				})
			})
		}
	}
}

// TestAccountUsesItsWholeQuota guards against refusals below the quota, which cost the caller:
// wherever the callers are, and beside an instance that restarts.
func TestAccountUsesItsWholeQuota(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		callers   int
		offered   float64
	}{
		{"far below the quota", 77, 77, 0.6 * perSecond},
		{"at all instances", 77, 77, 0.8 * perSecond},
		{"at few instances", 195, 5, 0.8 * perSecond},
		{"at one instance", 195, 1, 0.8 * perSecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(2, 1))
				f := newQuotaFleet(tt.instances)
				f.tolerance = admitter.Tolerance{WindowSeconds: windowSeconds, Share: 0.1, Amount: allowance}
				for i := range f.quotas {
					f.restart(i)
				}
				f.run(random, 3, tt.offered, tt.callers)
				settled := time.Now()
				f.run(random, 20, tt.offered, tt.callers)
				f.restart(0)
				f.run(random, 20, tt.offered, tt.callers)
				admitted, refused := f.since(settled)
				require.LessOrEqual(t, float64(refused), 0.001*float64(admitted+refused))
			})
		})
	}
}

// TestChangeOfVotersDoesNotReduceQuota guards against refusals below the quota after instances
// changed their voter: they counted twice for a moment, and the quota was shared with instances
// that do not exist.
func TestChangeOfVotersDoesNotReduceQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(5, 5))
		f := newQuotaFleet(6)
		f.run(random, 10, 0.8*perSecond, 6)
		f.oneVoter = true
		f.run(random, 2, 0.8*perSecond, 6)
		f.oneVoter = false
		f.run(random, 5, 0.8*perSecond, 6)
		start := time.Now()
		f.run(random, 20, 0.8*perSecond, 6)
		admitted, refused := f.since(start)
		require.Less(t, refused, (admitted+refused)/50)
	})
}

// TestContendedQuotaIsStrict checks that an account gets its quota, and no more, while others
// wait, after it used the tolerance before.
func TestContendedQuotaIsStrict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 1))
		f := newQuotaFleet(20)
		f.tolerance = admitter.Tolerance{WindowSeconds: windowSeconds, Amount: allowance}
		for i := range f.quotas {
			f.restart(i)
		}
		f.run(random, 3, 5*perSecond, 20)
		roomy := time.Now()
		f.run(random, 20, 5*perSecond, 20)
		admitted, _ := f.since(roomy)
		require.Greater(t, admitted, 20*perSecond*5/4)
		f.contended = true
		f.run(random, 2, 5*perSecond, 20)
		contended := time.Now()
		f.run(random, 20, 5*perSecond, 20)
		admitted, _ = f.since(contended)
		require.InDelta(t, 20*perSecond, admitted, 0.1*20*perSecond)
	})
}

// TestChangedQuotaTakesEffect guards against an old quota that stays in force: a lower one binds
// within a window, a higher one can be used within a second.
func TestChangedQuotaTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(4, 1))
		f := newQuotaFleet(20)
		f.run(random, 10, 5*perSecond, 20)
		f.setQuota(figseam.AccountQuota{PerSecond: perSecond / 5, Burst: burst / 5, Unit: figseam.QuotaTokens})
		f.run(random, windowSeconds, 5*perSecond, 20)
		lowered := time.Now()
		f.run(random, 20, 5*perSecond, 20)
		admitted, _ := f.since(lowered)
		require.InDelta(t, 20*perSecond/5, admitted, 0.1*20*perSecond/5)
		f.setQuota(figseam.AccountQuota{PerSecond: 2 * perSecond, Burst: 2 * burst, Unit: figseam.QuotaTokens})
		f.run(random, 1, 5*perSecond, 20)
		raised := time.Now()
		f.run(random, 20, 5*perSecond, 20)
		admitted, _ = f.since(raised)
		require.InDelta(t, 20*2*perSecond, admitted, 0.1*20*2*perSecond)
	})
}

// TestRequestThatDidNotRunIsReturned guards against an account whose quota is used up by
// requests that were refused for another reason.
func TestRequestThatDidNotRunIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(2)
		time.Sleep(2 * time.Second)
		for range 100 {
			f.exchange()
			claim, _, ok := f.quotas[0].Take(&f.account, requestTokens, false)
			require.True(t, ok)
			f.quotas[0].Return(claim)
			time.Sleep(tick)
		}
		f.exchange()
		require.Empty(t, f.quotas[0].LocalUsage())
	})
}

// TestCheapRequestsAreNotStarved guards against an account whose expensive requests use up its
// quota whenever it grows, so that its cheap requests are refused.
func TestCheapRequestsAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(5, 1))
		f := newQuotaFleet(20)
		f.run(random, 3, 5*perSecond, 20)
		refused := 0
		for range 1000 {
			f.run(random, tick.Seconds(), 5*perSecond, 20)
			if _, _, ok := f.quotas[random.IntN(20)].Take(&f.account, 100, false); !ok {
				refused++
			}
		}
		require.LessOrEqual(t, refused, 50)
	})
}
