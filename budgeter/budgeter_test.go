package budgeter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam/budgeter"
)

// noDeadlineT makes the T of a synctest bubble usable by rapid.
type noDeadlineT struct{ *testing.T }

// event is a request or a retry at an instance.
type event struct {
	at    time.Time
	retry bool
}

// TestRetriesStayWithinLimit checks every window against the limit of all instances while
// instances restart without a record of their earlier retries.
func TestRetriesStayWithinLimit(t *testing.T) {
	settings := budgeter.Settings{RetryRatio: 0.2, RetryAllowance: 50, WindowMillis: 10_000}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineT{t}, func(t *rapid.T) {
			const instances = 5
			var events []event
			budgets := make([]*budgeter.Budget, instances)
			start := func(i int) {
				budgets[i] = budgeter.New(settings)
				budgets[i].SetInstances(instances)
			}
			for i := range instances {
				start(i)
			}
			for range rapid.IntRange(10, 80).Draw(t, "steps") {
				i := rapid.IntRange(0, instances-1).Draw(t, "instance")
				switch rapid.IntRange(0, 9).Draw(t, "what") {
				case 0:
					start(i)
				case 1, 2, 3:
					budgets[i].RecordRequest("s")
					events = append(events, event{at: time.Now()})
				default:
					for budgets[i].TryAcquire("s") {
						events = append(events, event{at: time.Now(), retry: true})
					}
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			}
			checkWindows(t, settings, events)
		})
	})
}

// checkWindows checks every window against the limit. The requests that count are those of
// the window or of the one before it, whichever are more.
func checkWindows(t *rapid.T, s budgeter.Settings, events []event) {
	window := time.Duration(s.WindowMillis) * time.Millisecond
	for _, first := range events {
		retries, requests, requestsBefore := 0, 0, 0
		for _, e := range events {
			age := e.at.Sub(first.at)
			switch {
			case age >= 0 && age < window && e.retry:
				retries++
			case age >= 0 && age < window:
				requests++
			case age < 0 && age >= -window && !e.retry:
				requestsBefore++
			}
		}
		limit := s.RetryRatio*float64(max(requests, requestsBefore)) + s.RetryAllowance
		if float64(retries) > limit {
			t.Fatalf("%d retries in a window with %d requests, %d in the one before", retries, requests, requestsBefore)
		}
	}
}

func TestTryAcquireAllowsRetriesWithinLimit(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		after     time.Duration
		requests  int
		allowed   bool
	}{
		{"no retries before SetInstances", 0, time.Minute, 100, false},
		{"no allowance right after the start", 1, 0, 0, false},
		{"share of requests at once", 1, 0, 100, true},
		{"full allowance after a window", 1, 11 * time.Second, 0, true},
		{"allowance shared by many is below one retry", 1000, 11 * time.Second, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := budgeter.New(budgeter.Settings{RetryRatio: 0.2, RetryAllowance: 50, WindowMillis: 10_000})
				b.SetInstances(test.instances)
				time.Sleep(test.after)
				for range test.requests {
					b.RecordRequest("s")
				}
				require.Equal(t, test.allowed, b.TryAcquire("s"))
			})
		})
	}
}
