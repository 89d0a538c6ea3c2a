package lister_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/lister"
)

// fakeSource returns fixed endpoints or an error and counts the reads.
type fakeSource struct {
	ids   []string
	fails bool
	reads atomic.Int32
}

func (s *fakeSource) Read(context.Context) ([]figseam.ListedEndpoint, error) {
	s.reads.Add(1)
	if s.fails {
		return nil, errors.New("no response")
	}
	var all []figseam.ListedEndpoint
	for _, id := range s.ids {
		all = append(all, figseam.ListedEndpoint{ID: id, Service: "s", Address: id})
	}
	return all, nil
}

// startList runs a list that reads the source at an age of maxAge.
func startList(t *testing.T, s *fakeSource, maxAge time.Duration) *lister.EndpointList {
	l := lister.New(s, func() time.Duration { return maxAge }, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	ended := l.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return l
}

func endpointIDs(l *lister.EndpointList) (all []string) {
	for _, e := range l.ServiceEndpoints("s") {
		all = append(all, e.ID)
	}
	return all
}

// TestInstanceReadsSourceOnlyWithoutFreshSnapshots checks that an instance that merges
// snapshots often enough does not read the source, and reads it when no more snapshots
// arrive.
func TestInstanceReadsSourceOnlyWithoutFreshSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		readerSource, mergerSource := &fakeSource{ids: []string{"a"}}, &fakeSource{ids: []string{"a", "b"}}
		reader := startList(t, readerSource, 500*time.Millisecond)
		merger := startList(t, mergerSource, 2*time.Second)
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			digest, _ := merger.Digest()
			merger.Merge(reader.Snapshot(digest))
		}
		require.Equal(t, []string{"a"}, endpointIDs(merger))
		before := mergerSource.reads.Load()
		require.LessOrEqual(t, before, int32(1))
		time.Sleep(3 * time.Second)
		require.Greater(t, mergerSource.reads.Load(), before)
		require.Equal(t, []string{"a", "b"}, endpointIDs(merger))
	})
}

func TestOlderOrEmptySnapshotIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := lister.New(&fakeSource{}, func() time.Duration { return time.Hour }, zerolog.Nop())
		time.Sleep(time.Minute)
		snapshot := func(id string, age int64) lister.Snapshot {
			return lister.Snapshot{Loaded: true, AgeMillis: age, Digest: uint64(age), Endpoints: []figseam.ListedEndpoint{{ID: id, Service: "s"}}}
		}
		l.Merge(snapshot("new", 100))
		l.Merge(snapshot("old", 900))
		require.Equal(t, []string{"new"}, endpointIDs(l))
		l.Merge(lister.Snapshot{})
		require.Equal(t, []string{"new"}, endpointIDs(l))
	})
}

// TestFailedReadsAreRetriedWithDelay counts the reads in 10 s during which all of them
// fail.
func TestFailedReadsAreRetriedWithDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{fails: true}
		l := startList(t, s, 100*time.Millisecond)
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, s.reads.Load(), int32(26))
		require.False(t, l.Loaded())
	})
}

// panickingSource panics on its first read.
type panickingSource struct{ fakeSource }

func (s *panickingSource) Read(ctx context.Context) ([]figseam.ListedEndpoint, error) {
	if s.reads.Load() == 0 {
		s.reads.Add(1)
		panic("first read")
	}
	return s.fakeSource.Read(ctx)
}

// TestPanicOfReadIsRetried checks that a list whose bytes make the source panic is read again.
func TestPanicOfReadIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := lister.New(&panickingSource{}, func() time.Duration { return 100 * time.Millisecond }, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := l.Run(ctx)
		time.Sleep(2 * time.Second)
		require.True(t, l.Loaded())
		cancel()
		<-ended
	})
}

func TestSuspendedEndpointIsDrainingUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startList(t, &fakeSource{ids: []string{"a", "b"}}, 500*time.Millisecond)
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

// TestMergedSuspensionAppliesToOwnReads covers an instance that orders an engine to change
// its stage, suspends it and then becomes unresponsive: the instance that reads the list
// next must list the engine as draining too.
func TestMergedSuspensionAppliesToOwnReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := startList(t, &fakeSource{ids: []string{"a", "b"}}, 500*time.Millisecond)
		next := startList(t, &fakeSource{ids: []string{"a", "b"}}, 800*time.Millisecond)
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

// TestChangedStageEndsSuspension checks that an engine that changes its stage is draining
// until the platform lists it with the new stage, and no longer.
func TestChangedStageEndsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
		mergeStage := func(digest uint64, stage figseam.EndpointStage) {
			time.Sleep(time.Millisecond)
			l.Merge(lister.Snapshot{Loaded: true, Digest: digest, SuspensionMillis: map[string]int64{"a": 8000}, Endpoints: []figseam.ListedEndpoint{
				{ID: "a", Service: "s", Stage: stage, Draining: stage == figseam.EndpointStagePrefill},
			}})
		}
		mergeStage(1, figseam.EndpointStagePrefill)
		require.True(t, l.ServiceEndpoints("s")[0].Draining)
		require.Contains(t, l.Snapshot(0).SuspensionMillis, "a")
		time.Sleep(7 * time.Second)
		require.Contains(t, l.Snapshot(0).SuspensionMillis, "a", "the platform still lists the old stage")
		mergeStage(2, figseam.EndpointStageDecode)
		require.False(t, l.ServiceEndpoints("s")[0].Draining)
		require.NotContains(t, l.Snapshot(0).SuspensionMillis, "a")
	})
}

// TestMergedChangesEqualWholeList merges changes into copies that are behind by any number
// of changes, and compares them with a copy that merges whole lists.
func TestMergedChangesEqualWholeList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			newList := func() *lister.EndpointList {
				return lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
			}
			origin, whole, behind := newList(), newList(), newList()
			for range rapid.IntRange(1, 90).Draw(t, "changes") {
				time.Sleep(time.Millisecond)
				endpoints := rapid.SliceOfNDistinct(rapid.Custom(drawEndpoint), 0, 6, func(e figseam.ListedEndpoint) string { return e.ID }).Draw(t, "endpoints")
				origin.Merge(lister.Snapshot{Loaded: true, Digest: rapid.Uint64Min(1).Draw(t, "digest"), Endpoints: append([]figseam.ListedEndpoint{}, endpoints...)})
				wholeDigest, _ := whole.Digest()
				whole.Merge(origin.Snapshot(wholeDigest))
				if rapid.IntRange(0, 3).Draw(t, "merge") != 0 {
					continue
				}
				held, _ := behind.Digest()
				behind.Merge(origin.Changes(held))
				require.Equal(t, whole.ServiceEndpoints("s"), behind.ServiceEndpoints("s"))
				got, _ := behind.Digest()
				want, _ := origin.Digest()
				require.Equal(t, want, got)
			}
		})
	})
}

func drawEndpoint(t *rapid.T) figseam.ListedEndpoint {
	return figseam.ListedEndpoint{
		ID: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "id"), Service: "s", Draining: rapid.Bool().Draw(t, "draining"),
	}
}

// TestChangesToAnotherListAreIgnored checks that changes are only merged into the list for
// which they were made, and do not make another one count as read.
func TestChangesToAnotherListAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startList(t, &fakeSource{ids: []string{"a", "b"}}, time.Hour)
		time.Sleep(time.Minute)
		age := l.Age()
		l.Merge(lister.Snapshot{Loaded: true, Digest: 7, BaseDigest: 6, Removed: []string{"a"}})
		l.Merge(lister.Snapshot{Loaded: true, Digest: 8})
		require.Equal(t, []string{"a", "b"}, endpointIDs(l))
		require.Equal(t, age, l.Age())
	})
}

// TestChangeOfLargeListIsSmall replays a fleet of 3,000 endpoints of which one starts to
// drain: the whole list for hundreds of instances would fill the links of the voters.
func TestChangeOfLargeListIsSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ids []string
		for i := range 3000 {
			ids = append(ids, fmt.Sprintf("endpoint-%04d", i))
		}
		l := startList(t, &fakeSource{ids: ids}, time.Second)
		time.Sleep(1500 * time.Millisecond)
		held, _ := l.Digest()
		l.Suspend([]string{"endpoint-0042"}, figseam.DeadlineAfterMillis(60_000))
		whole, err := cbor.Marshal(l.Snapshot(held))
		require.NoError(t, err)
		changes, err := cbor.Marshal(l.Changes(held))
		require.NoError(t, err)
		require.Greater(t, len(whole), 100_000)
		require.Less(t, len(changes), 500)
	})
}

// noDeadlineTB hides the type *testing.T from rapid, which otherwise calls its method
// Deadline. That method must not be called within a synctest bubble.
type noDeadlineTB struct{ *testing.T }
