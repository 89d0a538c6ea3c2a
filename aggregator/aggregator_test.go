package aggregator_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/aggregator"
)

// newLoad returns a load with the same number of tokens as usage of an endpoint and as
// demand for a service.
func newLoad(tokens int) aggregator.Load {
	return aggregator.Load{
		Usage:  []figseam.EndpointUsage{{Endpoint: figseam.HashEndpoint("e"), Requests: 1, MemoryTokens: tokens}},
		Demand: []figseam.ServiceDemand{{Service: figseam.HashService("s"), QueuedTokens: tokens}},
	}
}

// totalTokens returns the tokens of a load, which must be the same for usage and demand.
func totalTokens(t *testing.T, l aggregator.Load) int {
	used, queued := 0, 0
	for _, u := range l.Usage {
		used += u.MemoryTokens
	}
	for _, d := range l.Demand {
		queued += d.QueuedTokens
	}
	require.Equal(t, used, queued)
	return used
}

// TestExchangeReportExcludesOwnAndExpiredReports checks that the sum returned to an
// instance never contains its own load, and that the report of an ended instance expires.
func TestExchangeReportExcludesOwnAndExpiredReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := aggregator.New()
		require.Zero(t, totalTokens(t, store.ExchangeReport(aggregator.Report{Instance: "a", Load: newLoad(10)})))
		require.Equal(t, 10, totalTokens(t, store.ExchangeReport(aggregator.Report{Instance: "b", Load: newLoad(200)})))
		store.MergePeer(aggregator.Report{Instance: "voter 2", Load: newLoad(3000)})
		require.Equal(t, 3200, totalTokens(t, store.ExchangeReport(aggregator.Report{Instance: "a", Load: newLoad(11)})))
		require.Equal(t, 211, totalTokens(t, store.LocalSum()))
		require.Equal(t, 3211, store.Total().EndpointUsage("e").MemoryTokens)
		require.Equal(t, 3211, store.Total().ServiceDemand("s").QueuedTokens)
		time.Sleep(1200 * time.Millisecond)
		store.ExchangeReport(aggregator.Report{Instance: "a", Load: newLoad(11)})
		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, 11, totalTokens(t, store.LocalSum()))
		require.Zero(t, totalTokens(t, store.ExchangeReport(aggregator.Report{Instance: "a"})))
	})
}

// naiveSum sums the reports of the last 1.5 s anew, without the one of an instance.
type naiveSum struct {
	reports map[figseam.InstanceID]aggregator.Report
	at      map[figseam.InstanceID]time.Time
}

func (n naiveSum) without(id figseam.InstanceID) map[uint32]int {
	tokens := map[uint32]int{}
	for other, r := range n.reports {
		if other == id || time.Since(n.at[other]) > 1500*time.Millisecond {
			continue
		}
		for _, u := range r.Load.Usage {
			tokens[u.Endpoint] += u.MemoryTokens
		}
	}
	return tokens
}

// TestSumsEqualNaiveSums compares the sums, which are updated with each report, with sums
// that are computed anew, while reports change, stop and expire.
func TestSumsEqualNaiveSums(t *testing.T) {
	ids := []figseam.InstanceID{"a", "b", "c", "voter 1", "voter 2"}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			store := aggregator.New()
			oracle := naiveSum{reports: map[figseam.InstanceID]aggregator.Report{}, at: map[figseam.InstanceID]time.Time{}}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				// Expiry is checked at intervals, so the times of reports keep clear of it.
				time.Sleep(time.Duration(rapid.SampledFrom([]int{60, 400}).Draw(t, "pause")) * time.Millisecond)
				id := rapid.SampledFrom(ids).Draw(t, "instance")
				r := aggregator.Report{Instance: id}
				for _, e := range rapid.SliceOfNDistinct(rapid.Uint32Range(1, 4), 0, 4, rapid.ID[uint32]).Draw(t, "endpoints") {
					r.Load.Usage = append(r.Load.Usage, figseam.EndpointUsage{Endpoint: e, Requests: 1, MemoryTokens: rapid.IntRange(1, 9).Draw(t, "tokens")})
				}
				want := oracle.without(id)
				oracle.reports[id], oracle.at[id] = r, time.Now()
				if len(id) > 1 {
					store.MergePeer(r)
					continue
				}
				got := map[uint32]int{}
				for _, u := range store.ExchangeReport(r).Usage {
					got[u.Endpoint] = u.MemoryTokens
				}
				require.Equal(t, want, got)
			}
		})
	})
}

// noDeadlineTB hides the type *testing.T from rapid, which otherwise calls its method
// Deadline. That method must not be called within a synctest bubble.
type noDeadlineTB struct{ *testing.T }

// BenchmarkExchangeReport exchanges reports at a voter to which n instances report, each
// with requests at eight of 156 endpoints.
func BenchmarkExchangeReport(b *testing.B) {
	for _, n := range []int{39, 195, 640} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			store := aggregator.New()
			reports := make([]aggregator.Report, n)
			for i := range reports {
				reports[i].Instance = figseam.InstanceID(strconv.Itoa(i))
				for j := range 8 {
					reports[i].Load.Usage = append(reports[i].Load.Usage, figseam.EndpointUsage{Endpoint: uint32((7*i + 19*j) % 156), Requests: 1, MemoryTokens: 5000})
				}
				store.ExchangeReport(reports[i])
			}
			for i := 0; b.Loop(); i++ {
				store.ExchangeReport(reports[i%n])
			}
		})
	}
}
