package distributor_test

import (
	"context"
	"errors"
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

// bubble lets rapid run within a bubble of virtual time.
type bubble struct{ *testing.T }

// voter is a keeping instance that can be cut off from the follower or from the
// other voters.
type voter struct {
	machine *keeper.Machine
	hub     *distributor.Server
	cut     bool
	quorum  bool
}

// rig is a follower of three voters.
type rig struct {
	mu      sync.Mutex
	voters  map[figseam.InstanceID]*voter
	version uint64
	history []uint64
	calls   map[figseam.InstanceID]int
	count   int
}

func newRig(ctx context.Context) (*rig, <-chan struct{}) {
	r := &rig{voters: map[figseam.InstanceID]*voter{}, calls: map[figseam.InstanceID]int{}}
	names := []figseam.InstanceID{"a", "b", "c"}
	for _, n := range names {
		v := &voter{machine: keeper.NewMachine(), quorum: true}
		list := lister.New(nil, func() time.Duration { return time.Hour }, zerolog.Nop())
		self := distributor.Voter{Instance: n, DataCentre: figseam.DataCentre("dc-" + n)}
		v.hub = distributor.NewServer(self, v.machine, list, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return v.quorum
		}, func() []figseam.InstanceID { return names })
		r.voters[n] = v
	}
	f := distributor.NewSubscriber(distributor.PollRequest{Instance: "entry", DataCentre: "dc-b"}, r.call,
		func() []figseam.InstanceID { return names }, r.has, r.take, nil, zerolog.Nop())
	return r, f.Run(ctx)
}

func (r *rig) call(ctx context.Context, to figseam.InstanceID, q distributor.PollRequest) (distributor.PollReply, error) {
	r.mu.Lock()
	v := r.voters[to]
	cut := v.cut
	r.calls[to]++
	r.mu.Unlock()
	if cut {
		<-ctx.Done()
		return distributor.PollReply{}, errors.New("silent")
	}
	return v.hub.Poll(ctx, q), nil
}

func (r *rig) has() (version, digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, 0
}

func (r *rig) take(reply distributor.PollReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count = reply.SubscriberCount
	if reply.Document.Version > r.version {
		r.version = reply.Document.Version
		r.history = append(r.history, r.version)
	}
}

// put stores a version on the voters that are in the majority.
func (r *rig) put(version uint64) {
	for _, v := range r.voters {
		if v.quorum {
			_, _ = keeper.NewStore(direct{v.machine}).Put(context.Background(), version, []byte("x"))
		}
	}
}

// direct applies commands at once.
type direct struct{ machine *keeper.Machine }

func (d direct) Propose(_ context.Context, c figseam.Command) ([]byte, error) {
	return d.machine.Apply(figseam.CommittedCommand{Body: c.Body}), nil
}

// applyMillis is within which a confirmed version must be in force at an instance
// that reaches every voter of the majority.
const applyMillis = 2000

// TestConfirmedVersionIsInForceInTime cuts off one voter at a time, from the
// follower or from the other voters, and puts versions meanwhile.
func TestConfirmedVersionIsInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			r, ended := newRig(ctx)
			for version := range uint64(rapid.IntRange(2, 12).Draw(t, "versions")) {
				victim := rapid.SampledFrom([]figseam.InstanceID{"a", "b", "c"}).Draw(t, "victim")
				how := rapid.IntRange(0, 2).Draw(t, "how")
				r.mu.Lock()
				r.voters[victim].cut, r.voters[victim].quorum = how == 1, how != 2
				r.mu.Unlock()
				time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
				r.put(version + 1)
				time.Sleep(applyMillis * time.Millisecond)
				got, _ := r.has()
				if got != version+1 {
					t.Fatalf("version %d is in force %d ms after %d was confirmed", got, applyMillis, version+1)
				}
				r.mu.Lock()
				r.voters[victim].cut, r.voters[victim].quorum = false, true
				r.mu.Unlock()
			}
			cancel()
			<-ended
		})
	})
}

// TestStartBesideSilentVoters starts an instance while only one voter can be reached,
// which is itself out of touch with the others, as in a data centre that is cut off.
func TestStartBesideSilentVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r, ended := newRig(ctx)
		r.mu.Lock()
		r.put(7)
		r.voters["a"].cut, r.voters["b"].cut, r.voters["c"].quorum = true, true, false
		r.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		version, _ := r.has()
		require.EqualValues(t, 7, version)
		cancel()
		<-ended
	})
}

// TestNearVoterIsFollowed holds that an instance settles on the voter of its own
// data centre, asks seldom without news, and is counted.
func TestNearVoterIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r, ended := newRig(ctx)
		time.Sleep(12 * time.Second)
		r.mu.Lock()
		r.calls = map[figseam.InstanceID]int{}
		r.mu.Unlock()
		time.Sleep(10 * time.Second)
		cancel()
		<-ended
		require.Zero(t, r.calls["a"]+r.calls["c"])
		require.LessOrEqual(t, r.calls["b"], 40)
		require.Equal(t, 1, r.count)
	})
}
