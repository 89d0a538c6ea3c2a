package budgeter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam/budgeter"
)

// bubble lets rapid run within a bubble of virtual time.
type bubble struct{ *testing.T }

// event is something that happened at an instance.
type event struct {
	at     time.Time
	repeat bool
}

// TestRepeatsStayWithinTheBound holds all instances together against the bound in
// every window: instances come and go, and each new run knows nothing of the last.
func TestRepeatsStayWithinTheBound(t *testing.T) {
	settings := budgeter.Settings{RetryRatio: 0.2, BaseRetries: 50, WindowMillis: 10_000}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
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
						events = append(events, event{at: time.Now(), repeat: true})
					}
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			}
			judge(t, settings, events)
		})
	})
}

// judge holds every window against the bound. Requests count in the window or the
// one before, whichever has more.
func judge(t *rapid.T, s budgeter.Settings, events []event) {
	window := time.Duration(s.WindowMillis) * time.Millisecond
	for _, first := range events {
		repeats, requests, before := 0, 0, 0
		for _, e := range events {
			age := e.at.Sub(first.at)
			switch {
			case age >= 0 && age < window && e.repeat:
				repeats++
			case age >= 0 && age < window:
				requests++
			case age < 0 && age >= -window && !e.repeat:
				before++
			}
		}
		bound := s.RetryRatio*float64(max(requests, before)) + s.BaseRetries
		if float64(repeats) > bound {
			t.Fatalf("%d repeats in a window with %d requests, %d before", repeats, requests, before)
		}
	}
}

func TestBudget(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		after     time.Duration
		requests  int
		takes     bool
	}{
		{"nothing without knowing the instances", 0, time.Minute, 100, false},
		{"nothing right after the start", 1, 0, 0, false},
		{"the share at once", 1, 0, 100, true},
		{"the allowance after a window", 1, 11 * time.Second, 0, true},
		{"an allowance that many share is none", 1000, 11 * time.Second, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := budgeter.New(budgeter.Settings{RetryRatio: 0.2, BaseRetries: 50, WindowMillis: 10_000})
				b.SetInstances(test.instances)
				time.Sleep(test.after)
				for range test.requests {
					b.RecordRequest("s")
				}
				require.Equal(t, test.takes, b.TryAcquire("s"))
			})
		})
	}
}
