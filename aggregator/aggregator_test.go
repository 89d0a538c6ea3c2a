package aggregator_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
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
		require.Zero(t, totalTokens(t, store.ExchangeReport(aggregator.Report{Instance: "a", Load: newLoad(10)}).Load))
		require.Equal(t, 10, totalTokens(t, store.ExchangeReport(aggregator.Report{Instance: "b", Load: newLoad(200)}).Load))
		store.MergePeer(aggregator.Report{Instance: "voter 2", Load: newLoad(3000)})
		require.Equal(t, 3200, totalTokens(t, store.ExchangeReport(aggregator.Report{Instance: "a", Load: newLoad(11)}).Load))
		require.Equal(t, 211, totalTokens(t, store.LocalSum()))
		require.Equal(t, 3211, store.Total().EndpointUsage("e").MemoryTokens)
		require.Equal(t, 3211, store.Total().ServiceDemand("s").QueuedTokens)
		time.Sleep(1200 * time.Millisecond)
		store.ExchangeReport(aggregator.Report{Instance: "a", Load: newLoad(11)})
		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, 11, totalTokens(t, store.LocalSum()))
		require.Zero(t, totalTokens(t, store.ExchangeReport(aggregator.Report{Instance: "a"}).Load))
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

// view holds the usage of the other instances, as an instance has received it.
type view struct {
	epoch, revision uint64
	tokens          map[uint32]int
}

// merge applies a sum. Endpoints without usage are dropped.
func (v *view) merge(sum aggregator.Sum) {
	if !sum.ChangesOnly {
		v.tokens = map[uint32]int{}
	}
	for _, u := range sum.Usage {
		v.tokens[u.Endpoint] = u.MemoryTokens
		if u.MemoryTokens == 0 {
			delete(v.tokens, u.Endpoint)
		}
	}
	v.epoch, v.revision = sum.Epoch, sum.Revision
}

func drawLoad(t *rapid.T) (l aggregator.Load) {
	for _, e := range rapid.SliceOfNDistinct(rapid.Uint32Range(1, 4), 0, 4, rapid.ID[uint32]).Draw(t, "endpoints") {
		l.Usage = append(l.Usage, figseam.EndpointUsage{Endpoint: e, Requests: 1, MemoryTokens: rapid.IntRange(1, 9).Draw(t, "tokens")})
	}
	return l
}

// TestSumsEqualNaiveSums compares the sums, which are updated with each report and sent as
// changes, with sums that are computed anew, while reports change, stop and expire and
// replies are lost.
func TestSumsEqualNaiveSums(t *testing.T) {
	ids := []figseam.InstanceID{"a", "b", "c", "voter 1", "voter 2"}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			store := aggregator.New()
			oracle := naiveSum{reports: map[figseam.InstanceID]aggregator.Report{}, at: map[figseam.InstanceID]time.Time{}}
			views := map[figseam.InstanceID]*view{"a": {}, "b": {}, "c": {}}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				// Expiry is checked at intervals, so the times of reports keep clear of it.
				time.Sleep(time.Duration(rapid.SampledFrom([]int{60, 400}).Draw(t, "pause")) * time.Millisecond)
				id := rapid.SampledFrom(ids).Draw(t, "instance")
				r := aggregator.Report{Instance: id, Load: drawLoad(t)}
				want := oracle.without(id)
				oracle.reports[id], oracle.at[id] = r, time.Now()
				v := views[id]
				if v == nil {
					store.MergePeer(r)
					continue
				}
				r.Epoch, r.Revision = v.epoch, v.revision
				sum := store.ExchangeReport(r)
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					continue
				}
				v.merge(sum)
				require.Equal(t, want, v.tokens)
			}
		})
	})
}

// TestPeerSumsEqualAfterWholeSum sends a voter's sums to another one over a link that loses
// messages. The other one must have the sum of the last message before a loss, until the
// next whole sum.
func TestPeerSumsEqualAfterWholeSum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			from, to := aggregator.New(), aggregator.New()
			sender := aggregator.NewPeerSender(from.Epoch())
			inOrder, wantAt := false, time.Time{}
			var want aggregator.Load
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				time.Sleep(60 * time.Millisecond)
				for _, id := range []figseam.InstanceID{"a", "b"} {
					from.ExchangeReport(aggregator.Report{Instance: id, Load: drawLoad(t)})
				}
				message, changesOnly, send := sender.Next("voter", from.LocalSum())
				if !send {
					continue
				}
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					inOrder = false
					continue
				}
				if changesOnly {
					to.MergePeerChanges(message)
				} else {
					to.MergePeer(message)
					inOrder = true
				}
				if inOrder {
					want, wantAt = from.LocalSum(), time.Now()
				}
				if time.Since(wantAt) > 1400*time.Millisecond {
					continue
				}
				for endpoint := range uint32(5) {
					require.Equal(t, usageOf(want, endpoint), usageOf(to.ExchangeReport(aggregator.Report{Instance: "x"}).Load, endpoint))
				}
			}
		})
	})
}

func usageOf(l aggregator.Load, endpoint uint32) figseam.EndpointUsage {
	for _, u := range l.Usage {
		if u.Endpoint == endpoint {
			return u
		}
	}
	return figseam.EndpointUsage{}
}

// TestUnchangedUsageIsNotSentAgain replays hundreds of instances with requests at thousands
// of endpoints, of which few change between two reports: whole sums would fill the links. The
// time is virtual, since reports expire.
func TestUnchangedUsageIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := aggregator.New()
		last := map[figseam.InstanceID]aggregator.Sum{}
		report := func(i, tokens int) aggregator.Sum {
			id := figseam.InstanceID(strconv.Itoa(i))
			r := aggregator.Report{Instance: id, Epoch: last[id].Epoch, Revision: last[id].Revision}
			for j := range 10 {
				r.Load.Usage = append(r.Load.Usage, figseam.EndpointUsage{Endpoint: uint32(10*i + j), Requests: 1, MemoryTokens: 5000})
			}
			r.Load.Usage[0].MemoryTokens = tokens
			last[id] = store.ExchangeReport(r)
			return last[id]
		}
		for range 2 {
			for i := range 300 {
				report(i, 5000)
			}
		}
		require.Empty(t, report(0, 5000).Usage)
		report(7, 6000)
		require.Equal(t, []figseam.EndpointUsage{{Endpoint: 70, Requests: 1, MemoryTokens: 6000}}, report(0, 5000).Usage)
		encoded, err := cbor.Marshal(report(0, 5000))
		require.NoError(t, err)
		require.Less(t, len(encoded), 100)
		require.Len(t, store.ExchangeReport(aggregator.Report{Instance: "new"}).Usage, 3000)
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
				r := &reports[i%n]
				sum := store.ExchangeReport(*r)
				r.Epoch, r.Revision = sum.Epoch, sum.Revision
			}
		})
	}
}
