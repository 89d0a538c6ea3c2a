package aggregator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/aggregator"
)

// load is a load whose parts are all so large.
func load(tokens int) aggregator.Load {
	return aggregator.Load{
		Usage:  []figseam.EndpointUsage{{Endpoint: figseam.HashEndpoint("e"), Requests: 1, MemoryTokens: tokens}},
		Demand: []figseam.ServiceDemand{{Service: figseam.HashService("s"), QueuedTokens: tokens}},
	}
}

// tokens returns how large all parts of a load are; they must agree.
func tokens(t *testing.T, l aggregator.Load) int {
	used, waiting := 0, 0
	for _, u := range l.Usage {
		used += u.MemoryTokens
	}
	for _, d := range l.Demand {
		waiting += d.QueuedTokens
	}
	require.Equal(t, used, waiting)
	return used
}

// TestEachInstanceLearnsOfTheOthers holds that an instance never gets its own part
// back, and that the report of one that ended is forgotten.
func TestEachInstanceLearnsOfTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := aggregator.New()
		require.Zero(t, tokens(t, s.ExchangeReport(aggregator.Report{Instance: "a", Load: load(10)})))
		require.Equal(t, 10, tokens(t, s.ExchangeReport(aggregator.Report{Instance: "b", Load: load(200)})))
		s.MergePeer(aggregator.Report{Instance: "voter 2", Load: load(3000)})
		require.Equal(t, 3200, tokens(t, s.ExchangeReport(aggregator.Report{Instance: "a", Load: load(11)})))
		require.Equal(t, 211, tokens(t, s.LocalSum()))
		require.Equal(t, 3211, s.Total().EndpointUsage("e").MemoryTokens)
		require.Equal(t, 3211, s.Total().ServiceDemand("s").QueuedTokens)
		time.Sleep(1200 * time.Millisecond)
		s.ExchangeReport(aggregator.Report{Instance: "a", Load: load(11)})
		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, 11, tokens(t, s.LocalSum()))
		require.Zero(t, tokens(t, s.ExchangeReport(aggregator.Report{Instance: "a"})))
	})
}
