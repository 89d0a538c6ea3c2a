package queuer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/queuer"
)

func TestBefore(t *testing.T) {
	now := time.Now()
	waiting := func(priority int, startIn, arrived time.Duration) queuer.Waiter {
		return queuer.Waiter{Priority: priority, StartDeadline: now.Add(startIn), ArrivedAt: now.Add(arrived)}
	}
	tests := []struct {
		name   string
		first  queuer.Waiter
		second queuer.Waiter
	}{
		{"in time before late", waiting(1, time.Second, 0), waiting(1, -time.Second, -time.Minute)},
		{"in time before late and more urgent", waiting(2, time.Second, 0), waiting(0, -time.Second, 0)},
		{"urgent first", waiting(0, 2*time.Second, 0), waiting(1, time.Second, 0)},
		{"pressing first", waiting(1, time.Second, 0), waiting(1, 2*time.Second, -time.Second)},
		{"then by arrival", waiting(1, time.Second, -time.Second), waiting(1, time.Second, 0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.True(t, queuer.Precedes(test.first, test.second, now))
			require.False(t, queuer.Precedes(test.second, test.first, now))
		})
	}
}

func TestExpectedWait(t *testing.T) {
	tests := []struct {
		name string
		load queuer.Load
		need int
		// startInMillis is until when the request can meet its target.
		startInMillis int
		want          float64
	}{
		{"room", queuer.Load{MemoryTokens: 100, UsedTokens: 50, MeanResidenceMillis: 1000}, 50, 0, 0},
		{"a tenth too little", queuer.Load{MemoryTokens: 100, UsedTokens: 100, MeanResidenceMillis: 1000}, 10, 0, 100},
		{"behind others", queuer.Load{MemoryTokens: 100, UsedTokens: 100, QueuedTokens: 40, OnTimeTokens: 40, MeanResidenceMillis: 1000}, 10, 600, 500},
		{"before those that are late", queuer.Load{MemoryTokens: 100, UsedTokens: 100, QueuedTokens: 400, OnTimeTokens: 40, MeanResidenceMillis: 1000}, 10, 600, 500},
		{"late, behind all", queuer.Load{MemoryTokens: 100, UsedTokens: 100, QueuedTokens: 400, OnTimeTokens: 40, MeanResidenceMillis: 1000}, 10, 400, 4100},
		{"nothing known", queuer.Load{}, 10, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			startBy := now.Add(time.Duration(test.startInMillis) * time.Millisecond)
			require.InDelta(t, test.want, queuer.ExpectedWaitMillis(test.load, test.need, now, startBy), 0.001)
		})
	}
}

// burst replays more requests than there is room for: places come free one by one,
// and those that can still be in time are served before those that cannot.
func TestBurstServesThoseInTimeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		freed := make(chan struct{})
		q := queuer.New(func() <-chan struct{} { return freed })
		places := 0
		var order []string
		take := func(name string) func() bool {
			return func() bool {
				if places == 0 {
					return false
				}
				places--
				order = append(order, name)
				return true
			}
		}
		now := time.Now()
		for _, w := range []struct {
			name    string
			startIn time.Duration
		}{{"late", -time.Second}, {"relaxed", 900 * time.Millisecond}, {"pressing", 500 * time.Millisecond}} {
			go q.Wait(t.Context(), queuer.Waiter{StartDeadline: now.Add(w.startIn), ArrivedAt: now, Tokens: 10},
				figseam.DeadlineAfterMillis(5000), take(w.name))
			synctest.Wait()
		}
		waiting, timely := q.QueuedTokens()
		require.Equal(t, 30, waiting)
		require.Equal(t, 20, timely)
		for range 3 {
			places++
			old := freed
			freed = make(chan struct{})
			close(old)
			synctest.Wait()
		}
		require.Equal(t, []string{"pressing", "relaxed", "late"}, order)
		waiting, _ = q.QueuedTokens()
		require.Zero(t, waiting)
	})
}

func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := queuer.New(func() <-chan struct{} { return nil })
		full := func() bool { return false }
		began := time.Now()
		require.False(t, q.Wait(t.Context(), queuer.Waiter{Tokens: 1}, figseam.DeadlineAfterMillis(300), full))
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.False(t, q.Wait(ctx, queuer.Waiter{Tokens: 1}, figseam.DeadlineAfterMillis(300), full))
		waiting, _ := q.QueuedTokens()
		require.Zero(t, waiting)
	})
}

func TestClaimsAreBounded(t *testing.T) {
	q := queuer.New(func() <-chan struct{} { return nil })
	var given []*queuer.Waiter
	for range 5 {
		w := &queuer.Waiter{Tokens: 10, StartDeadline: time.Now().Add(time.Minute)}
		if q.AcquireAdvanceReservation(w) {
			given = append(given, w)
		}
	}
	require.Len(t, given, 3)
	waiting, timely := q.QueuedTokens()
	require.Zero(t, waiting, "what claims an engine counts as its use")
	require.Equal(t, 30, timely)
	q.ReleaseAdvanceReservation(given[0])
	require.True(t, q.AcquireAdvanceReservation(given[0]))
}
