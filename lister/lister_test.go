package lister_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/lister"
)

// source gives the endpoints of the moment and counts the readings.
type source struct {
	ids   []string
	fails bool
	reads atomic.Int32
}

func (s *source) Read(context.Context) ([]figseam.ListedEndpoint, error) {
	s.reads.Add(1)
	if s.fails {
		return nil, errors.New("no answer")
	}
	var all []figseam.ListedEndpoint
	for _, id := range s.ids {
		all = append(all, figseam.ListedEndpoint{ID: id, Service: "s", Address: id})
	}
	return all, nil
}

func start(t *testing.T, s *source, wanted time.Duration) *lister.EndpointList {
	l := lister.New(s, func() time.Duration { return wanted }, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := l.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return l
}

func ids(l *lister.EndpointList) (all []string) {
	for _, e := range l.ServiceEndpoints("s") {
		all = append(all, e.ID)
	}
	return all
}

// TestListSpreadsWithoutFurtherReadings holds that an instance that is told often
// enough does not read the list itself, and does so once it is no longer told.
func TestListSpreadsWithoutFurtherReadings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := &source{ids: []string{"a"}}, &source{ids: []string{"a", "b"}}
		reader := start(t, near, 500*time.Millisecond)
		told := start(t, far, 2*time.Second)
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			digest, _ := told.Digest()
			told.Merge(reader.Snapshot(digest))
		}
		require.Equal(t, []string{"a"}, ids(told))
		before := far.reads.Load()
		require.LessOrEqual(t, before, int32(1))
		time.Sleep(3 * time.Second)
		require.Greater(t, far.reads.Load(), before)
		require.Equal(t, []string{"a", "b"}, ids(told))
	})
}

func TestOlderReadingsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := lister.New(&source{}, func() time.Duration { return time.Hour }, zerolog.Nop())
		time.Sleep(time.Minute)
		reading := func(id string, age int64) lister.Snapshot {
			return lister.Snapshot{Loaded: true, AgeMillis: age, Digest: uint64(age), Endpoints: []figseam.ListedEndpoint{{ID: id, Service: "s"}}}
		}
		l.Merge(reading("new", 100))
		l.Merge(reading("old", 900))
		require.Equal(t, []string{"new"}, ids(l))
		l.Merge(lister.Snapshot{})
		require.Equal(t, []string{"new"}, ids(l))
	})
}

// TestLostPlatformIsNotAskedInALoop counts the calls while the platform is down.
func TestLostPlatformIsNotAskedInALoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{fails: true}
		l := start(t, s, 100*time.Millisecond)
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, s.reads.Load(), int32(26))
		require.False(t, l.Loaded())
	})
}

func TestSuspendedEndpointIsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := start(t, &source{ids: []string{"a", "b"}}, 500*time.Millisecond)
		time.Sleep(time.Second)
		l.Suspend([]string{"a"}, figseam.DeadlineAfterMillis(2000))
		require.True(t, l.ServiceEndpoints("s")[0].Draining)
		time.Sleep(time.Second)
		require.True(t, l.ServiceEndpoints("s")[0].Draining)
		require.False(t, l.ServiceEndpoints("s")[1].Draining)
		time.Sleep(2 * time.Second)
		require.False(t, l.ServiceEndpoints("s")[0].Draining)
	})
}

// TestSuspensionOutlivesItsInstance replays an instance that orders an engine to
// change its stage and freezes: whoever reads the list next lists it as leaving too.
func TestSuspensionOutlivesItsInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := start(t, &source{ids: []string{"a", "b"}}, 500*time.Millisecond)
		next := start(t, &source{ids: []string{"a", "b"}}, 800*time.Millisecond)
		time.Sleep(time.Second)
		first.Suspend([]string{"a"}, figseam.DeadlineAfterMillis(4000))
		digest, _ := next.Digest()
		next.Merge(first.Snapshot(digest))
		time.Sleep(3 * time.Second)
		require.True(t, next.ServiceEndpoints("s")[0].Draining)
		time.Sleep(2 * time.Second)
		require.False(t, next.ServiceEndpoints("s")[0].Draining)
	})
}

// TestChangedStageEndsASuspension replays an engine that is away to change its stage:
// it is used again as soon as it is listed with the new one, and not before.
func TestChangedStageEndsASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
		reading := func(digest uint64, stage figseam.EndpointStage) {
			time.Sleep(time.Millisecond)
			l.Merge(lister.Snapshot{Loaded: true, Digest: digest, SuspensionMillis: map[string]int64{"a": 8000}, Endpoints: []figseam.ListedEndpoint{
				{ID: "a", Service: "s", Stage: stage, Draining: stage == figseam.EndpointStagePrefill},
			}})
		}
		reading(1, figseam.EndpointStagePrefill)
		require.True(t, l.ServiceEndpoints("s")[0].Draining)
		require.Contains(t, l.Snapshot(0).SuspensionMillis, "a")
		time.Sleep(7 * time.Second)
		require.Contains(t, l.Snapshot(0).SuspensionMillis, "a", "the list lags")
		reading(2, figseam.EndpointStageDecode)
		require.False(t, l.ServiceEndpoints("s")[0].Draining)
		require.NotContains(t, l.Snapshot(0).SuspensionMillis, "a")
	})
}
