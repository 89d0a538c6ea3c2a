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

func TestPrecedesOrdersByRankThenOnTimeUsageDeadlineAndArrival(t *testing.T) {
	now := time.Now()
	waiter := func(rank int, startIn, arrived time.Duration) queuer.Waiter {
		return queuer.Waiter{Rank: rank, StartDeadline: now.Add(startIn), ArrivedAt: now.Add(arrived)}
	}
	usage := func(w queuer.Waiter, step int) queuer.Waiter {
		w.UsageStep = step
		return w
	}
	tests := []struct {
		name   string
		first  queuer.Waiter
		second queuer.Waiter
	}{
		{"on time before late", waiter(1, time.Second, 0), waiter(1, -time.Second, -time.Minute)},
		{"late of a higher priority before on time", waiter(0, -time.Second, 0), waiter(2, time.Second, 0)},
		{"less used account first", waiter(1, 2*time.Second, 0), usage(waiter(1, time.Second, 0), 3)},
		{"on time of a much used account before late", usage(waiter(1, time.Second, 0), 4), waiter(1, -time.Second, 0)},
		{"higher priority of a much used account first", usage(waiter(0, 2*time.Second, 0), 4), waiter(1, time.Second, 0)},
		{"higher priority first", waiter(0, 2*time.Second, 0), waiter(1, time.Second, 0)},
		{"earlier start deadline first", waiter(1, time.Second, 0), waiter(1, 2*time.Second, -time.Second)},
		{"earlier arrival first", waiter(1, time.Second, -time.Second), waiter(1, time.Second, 0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.True(t, queuer.Precedes(test.first, test.second, now))
			require.False(t, queuer.Precedes(test.second, test.first, now))
		})
	}
}

func TestExpectedWaitCountsOnlyRequestsServedBefore(t *testing.T) {
	tests := []struct {
		name   string
		load   queuer.Load
		tokens int
		// startInMillis is the time until the request's start deadline.
		startInMillis int
		want          float64
	}{
		{"room", queuer.Load{MemoryTokens: 100, UsedTokens: 50, MeanResidenceMillis: 1000}, 50, 0, 0},
		{"a tenth of the memory missing", queuer.Load{MemoryTokens: 100, UsedTokens: 100, MeanResidenceMillis: 1000}, 10, 0, 100},
		{"on time behind other on-time requests", queuer.Load{MemoryTokens: 100, UsedTokens: 100, QueuedTokens: 40, OnTimeTokens: 40, MeanResidenceMillis: 1000}, 10, 600, 500},
		{"on time before late requests", queuer.Load{MemoryTokens: 100, UsedTokens: 100, QueuedTokens: 400, OnTimeTokens: 40, MeanResidenceMillis: 1000}, 10, 600, 500},
		{"late behind all requests", queuer.Load{MemoryTokens: 100, UsedTokens: 100, QueuedTokens: 400, OnTimeTokens: 40, MeanResidenceMillis: 1000}, 10, 400, 4100},
		{"no load data", queuer.Load{}, 10, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			startDeadline := now.Add(time.Duration(test.startInMillis) * time.Millisecond)
			require.InDelta(t, test.want, queuer.ExpectedWaitMillis(test.load, test.tokens, now, startDeadline), 0.001)
		})
	}
}

// TestWaitServesOnTimeRequestsFirst covers a burst of more requests than there are memory
// slots: as slots are freed one by one, on-time requests are served in the order of their
// start deadlines, and late requests last.
func TestWaitServesOnTimeRequestsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		freed := make(chan struct{})
		q := queuer.New(func() <-chan struct{} { return freed })
		freeSlots := 0
		var order []string
		acquire := func(name string) func() bool {
			return func() bool {
				if freeSlots == 0 {
					return false
				}
				freeSlots--
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
				figseam.DeadlineAfterMillis(5000), acquire(w.name))
			synctest.Wait()
		}
		queued, onTime := q.QueuedTokens()
		require.Equal(t, 30, queued)
		require.Equal(t, 20, onTime)
		for range 3 {
			freeSlots++
			old := freed
			freed = make(chan struct{})
			close(old)
			synctest.Wait()
		}
		require.Equal(t, []string{"pressing", "relaxed", "late"}, order)
		queued, _ = q.QueuedTokens()
		require.Zero(t, queued)
	})
}

func TestWaitReturnsFalseAtDeadlineOrCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := queuer.New(func() <-chan struct{} { return nil })
		noMemory := func() bool { return false }
		began := time.Now()
		require.False(t, q.Wait(t.Context(), queuer.Waiter{Tokens: 1}, figseam.DeadlineAfterMillis(300), noMemory))
		require.Equal(t, 300*time.Millisecond, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.False(t, q.Wait(ctx, queuer.Waiter{Tokens: 1}, figseam.DeadlineAfterMillis(300), noMemory))
		queued, _ := q.QueuedTokens()
		require.Zero(t, queued)
	})
}

func TestAdvanceReservationsAreBounded(t *testing.T) {
	q := queuer.New(func() <-chan struct{} { return nil })
	var reserved []*queuer.Waiter
	for range 5 {
		w := &queuer.Waiter{Tokens: 10, StartDeadline: time.Now().Add(time.Minute)}
		if q.TryAcquireAdvanceReservation(w) {
			reserved = append(reserved, w)
		}
	}
	require.Len(t, reserved, 3)
	queued, onTime := q.QueuedTokens()
	require.Zero(t, queued, "an advance reservation counts as use of its engine")
	require.Equal(t, 30, onTime)
	q.ReleaseAdvanceReservation(reserved[0])
	require.True(t, q.TryAcquireAdvanceReservation(reserved[0]))
}
