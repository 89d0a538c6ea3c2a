package sharer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/sharer"
)

func uses(tokens int) []figseam.EndpointUse {
	return []figseam.EndpointUse{{Endpoint: figseam.HashEndpoint("e"), Requests: 1, Tokens: tokens}}
}

func tokens(all []figseam.EndpointUse) int {
	n := 0
	for _, u := range all {
		n += u.Tokens
	}
	return n
}

// TestEachInstanceLearnsOfTheOthers holds that an instance never gets its own part
// back, and that the report of one that ended is forgotten.
func TestEachInstanceLearnsOfTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sharer.New()
		require.Zero(t, tokens(s.Exchange(sharer.Report{Instance: "a", Uses: uses(10)})))
		require.Equal(t, 10, tokens(s.Exchange(sharer.Report{Instance: "b", Uses: uses(200)})))
		s.Merge(sharer.Report{Instance: "voter 2", Uses: uses(3000)})
		require.Equal(t, 3200, tokens(s.Exchange(sharer.Report{Instance: "a", Uses: uses(11)})))
		require.Equal(t, 211, tokens(s.Local()))
		require.Equal(t, 3211, s.Total().Of("e").Tokens)
		time.Sleep(1200 * time.Millisecond)
		s.Exchange(sharer.Report{Instance: "a", Uses: uses(11)})
		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, 11, tokens(s.Local()))
		require.Zero(t, tokens(s.Exchange(sharer.Report{Instance: "a"})))
	})
}
