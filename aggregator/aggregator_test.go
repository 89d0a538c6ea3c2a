package aggregator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

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
