package sharer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/sharer"
)

// load is a load whose parts are all so large.
func load(tokens int) sharer.Load {
	return sharer.Load{
		Uses:    []figseam.EndpointUse{{Endpoint: figseam.HashEndpoint("e"), Requests: 1, Tokens: tokens}},
		Demands: []figseam.ServiceDemand{{Service: figseam.HashService("s"), WaitingTokens: tokens}},
	}
}

// tokens returns how large all parts of a load are; they must agree.
func tokens(t *testing.T, l sharer.Load) int {
	used, waiting := 0, 0
	for _, u := range l.Uses {
		used += u.Tokens
	}
	for _, d := range l.Demands {
		waiting += d.WaitingTokens
	}
	require.Equal(t, used, waiting)
	return used
}

// TestEachInstanceLearnsOfTheOthers holds that an instance never gets its own part
// back, and that the report of one that ended is forgotten.
func TestEachInstanceLearnsOfTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharer.New()
		require.Zero(t, tokens(t, s.Exchange(sharer.Report{Instance: "a", Load: load(10)})))
		require.Equal(t, 10, tokens(t, s.Exchange(sharer.Report{Instance: "b", Load: load(200)})))
		s.Merge(sharer.Report{Instance: "voter 2", Load: load(3000)})
		require.Equal(t, 3200, tokens(t, s.Exchange(sharer.Report{Instance: "a", Load: load(11)})))
		require.Equal(t, 211, tokens(t, s.Local()))
		require.Equal(t, 3211, s.Total().Use("e").Tokens)
		require.Equal(t, 3211, s.Total().Demand("s").WaitingTokens)
		time.Sleep(1200 * time.Millisecond)
		s.Exchange(sharer.Report{Instance: "a", Load: load(11)})
		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, 11, tokens(t, s.Local()))
		require.Zero(t, tokens(t, s.Exchange(sharer.Report{Instance: "a"})))
	})
}
