package distributor_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/distributor"
	"github.com/figseam/figseam/keeper"
	"github.com/figseam/figseam/lister"
)

// noDeadlineT hides *testing.T from rapid, which would call its method Deadline. That call
// is not allowed in a synctest bubble.
type noDeadlineT struct{ *testing.T }

// testVoter is a voter that can be made unreachable for the subscriber or lose its quorum.
type testVoter struct {
	machine     *keeper.Machine
	server      *distributor.Server
	unreachable bool
	hasQuorum   bool
}

// testCluster consists of three voters and one subscriber, whose state it records.
type testCluster struct {
	mu              sync.Mutex
	voters          map[figseam.InstanceID]*testVoter
	version         uint64
	appliedVersions []uint64
	calls           map[figseam.InstanceID]int
	// contentReplies counts the replies with a configuration or endpoints.
	contentReplies  int
	subscriberCount int
	subscriber      *distributor.Subscriber
}

func newTestCluster(ctx context.Context) (*testCluster, <-chan struct{}) {
	r := &testCluster{voters: map[figseam.InstanceID]*testVoter{}, calls: map[figseam.InstanceID]int{}}
	names := []figseam.InstanceID{"a", "b", "c"}
	for _, n := range names {
		v := &testVoter{machine: keeper.NewMachine(), hasQuorum: true}
		list := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
		self := distributor.Voter{Instance: n, DataCentre: figseam.DataCentre("dc-" + n)}
		v.server = distributor.NewServer(self, v.machine, list, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return v.hasQuorum
		}, func() []figseam.InstanceID { return names })
		r.voters[n] = v
	}
	r.subscriber = distributor.NewSubscriber(distributor.PollRequest{Instance: "entry", DataCentre: "dc-b"}, r.call,
		func() []figseam.InstanceID { return names }, r.held, r.onReply, nil, zerolog.Nop())
	return r, r.subscriber.Run(ctx)
}

func (r *testCluster) call(ctx context.Context, to figseam.InstanceID, q distributor.PollRequest) (distributor.PollReply, error) {
	r.mu.Lock()
	v := r.voters[to]
	unreachable := v.unreachable
	r.calls[to]++
	r.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return distributor.PollReply{}, errors.New("silent")
	}
	reply := v.server.Poll(ctx, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.Document.Version > 0 || len(reply.List.Endpoints) > 0 {
		r.contentReplies++
	}
	return reply, nil
}

func (r *testCluster) held() (version, digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, 0
}

func (r *testCluster) onReply(reply distributor.PollReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscriberCount = reply.SubscriberCount
	if reply.Document.Version > r.version {
		r.version = reply.Document.Version
		r.appliedVersions = append(r.appliedVersions, r.version)
	}
}

// putVersion stores a version on the voters that have a quorum.
func (r *testCluster) putVersion(version uint64) {
	for _, v := range r.voters {
		if v.hasQuorum {
			_, _ = keeper.NewStore(directProposer{v.machine}).Put(context.Background(), version, []byte("x"))
		}
	}
}

// directProposer applies commands to the state machine without a replicated log.
type directProposer struct{ machine *keeper.Machine }

func (d directProposer) Propose(_ context.Context, c figseam.Command) ([]byte, error) {
	return d.machine.Apply(figseam.CommittedCommand{Body: c.Body}), nil
}

// maxApplyMillis bounds the time from the confirmation of a version until an instance that
// reaches every voter of the majority has applied it.
const maxApplyMillis = 2000

// TestConfirmedVersionAppliedWithinTimeLimit puts versions while one voter at a time is
// unreachable for the subscriber or without a quorum.
func TestConfirmedVersionAppliedWithinTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineT{t}, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			r, ended := newTestCluster(ctx)
			for version := range uint64(rapid.IntRange(2, 12).Draw(t, "versions")) {
				victim := rapid.SampledFrom([]figseam.InstanceID{"a", "b", "c"}).Draw(t, "victim")
				fault := rapid.IntRange(0, 2).Draw(t, "how")
				r.mu.Lock()
				r.voters[victim].unreachable, r.voters[victim].hasQuorum = fault == 1, fault != 2
				r.mu.Unlock()
				time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
				r.putVersion(version + 1)
				time.Sleep(maxApplyMillis * time.Millisecond)
				got, _ := r.held()
				if got != version+1 {
					t.Fatalf("version %d is applied %d ms after %d was confirmed", got, maxApplyMillis, version+1)
				}
				r.mu.Lock()
				r.voters[victim].unreachable, r.voters[victim].hasQuorum = false, true
				r.mu.Unlock()
			}
			cancel()
			<-ended
		})
	})
}

// TestStartWithOnlyIsolatedVoterAppliesItsVersion starts an instance that reaches only one
// voter, which has no quorum, as in a partitioned data centre.
func TestStartWithOnlyIsolatedVoterAppliesItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r, ended := newTestCluster(ctx)
		r.mu.Lock()
		r.putVersion(7)
		r.voters["a"].unreachable, r.voters["b"].unreachable, r.voters["c"].hasQuorum = true, true, false
		r.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		version, _ := r.held()
		require.EqualValues(t, 7, version)
		cancel()
		<-ended
	})
}

// TestSubscriberPollsOnlyLocalVoter checks that an instance selects the voter of its own
// data centre, sends at most 4 requests a second while nothing changes, and is counted as
// a subscriber.
func TestSubscriberPollsOnlyLocalVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r, ended := newTestCluster(ctx)
		time.Sleep(12 * time.Second)
		r.mu.Lock()
		r.calls = map[figseam.InstanceID]int{}
		r.mu.Unlock()
		time.Sleep(10 * time.Second)
		cancel()
		<-ended
		require.Zero(t, r.calls["a"]+r.calls["c"])
		require.LessOrEqual(t, r.calls["b"], 40)
		require.Equal(t, 1, r.subscriberCount)
	})
}

// TestSearchRequestsContentFromOneVoter replays the restart of all instances: each entry asks
// all voters at once, none of which has a quorum at first. If all sent their content, the
// entry's link could be too slow for any of the replies.
func TestSearchRequestsContentFromOneVoter(t *testing.T) {
	for _, hasQuorum := range []bool{true, false} {
		t.Run(fmt.Sprintf("quorum %v", hasQuorum), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				r, ended := newTestCluster(ctx)
				r.mu.Lock()
				r.putVersion(7)
				for _, v := range r.voters {
					v.hasQuorum = hasQuorum
				}
				r.mu.Unlock()
				time.Sleep(5 * time.Second)
				cancel()
				<-ended
				version, _ := r.held()
				require.EqualValues(t, 7, version)
				require.Equal(t, 1, r.contentReplies)
			})
		})
	}
}

// TestIsolatedSubscriberReportsToVoterOfItsDataCentre guards against instances that share
// nothing while their data centre is cut off: its voter has no quorum, but it can still pass
// on what instances of the data centre report.
func TestIsolatedSubscriberReportsToVoterOfItsDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		r, ended := newTestCluster(ctx)
		defer func() {
			stop()
			<-ended
		}()
		setIsolated := func(isolated bool) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.voters["a"].unreachable, r.voters["c"].unreachable = isolated, isolated
			r.voters["b"].hasQuorum = !isolated
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, r.subscriber.CurrentVoter(), r.subscriber.ReportVoter())
		setIsolated(true)
		time.Sleep(5 * time.Second)
		require.Empty(t, r.subscriber.CurrentVoter())
		require.Equal(t, figseam.InstanceID("b"), r.subscriber.ReportVoter())
		r.mu.Lock()
		r.voters["b"].unreachable = true
		r.mu.Unlock()
		time.Sleep(10 * time.Second)
		require.Empty(t, r.subscriber.ReportVoter())
		r.mu.Lock()
		r.voters["b"].unreachable = false
		r.mu.Unlock()
		setIsolated(false)
		time.Sleep(10 * time.Second)
		require.Equal(t, r.subscriber.CurrentVoter(), r.subscriber.ReportVoter())
	})
}

// TestEveryVoterNamesAllSubscribers guards against instances that divide allowances, for example
// that of retries, by the subscribers of their own voter alone: together they use a multiple.
func TestEveryVoterNamesAllSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		newServer := func(name figseam.InstanceID) *distributor.Server {
			list := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
			return distributor.NewServer(distributor.Voter{Instance: name}, keeper.NewMachine(), list, func() bool { return true },
				func() []figseam.InstanceID { return []figseam.InstanceID{"a", "b"} })
		}
		leader, follower := newServer("a"), newServer("b")
		poll := func(s *distributor.Server, id string) distributor.PollReply {
			return s.Poll(t.Context(), distributor.PollRequest{Instance: figseam.InstanceID(id), StatusOnly: true})
		}
		for i := range 5 {
			poll(leader, fmt.Sprint("leader's ", i))
		}
		for i := range 3 {
			require.Equal(t, i+1, poll(follower, fmt.Sprint("follower's ", i)).SubscriberCount)
		}
		report := func() {
			follower.MergeReply(leader.Poll(t.Context(), distributor.PollRequest{
				Instance: "b", IsVoter: true, StatusOnly: true, Subscribers: follower.Subscribers(),
			}))
		}
		report()
		require.Equal(t, 8, poll(leader, "leader's 0").SubscriberCount)
		require.Equal(t, 8, poll(follower, "follower's 0").SubscriberCount)
		// A number that the leader no longer confirms expires.
		time.Sleep(3 * time.Second)
		require.Equal(t, 3, poll(follower, "follower's 0").SubscriberCount)
	})
}
