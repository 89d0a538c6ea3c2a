package replicator_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/emulator"
	"github.com/figseam/figseam/replicator"
)

const (
	// fullMillis is the time for which a disk has no room.
	fullMillis = 3000
	// commandIntervalMillis is the interval between two commands meanwhile.
	commandIntervalMillis = 40
	// servesAgainMillis is the time after which all replicas must serve once there is room.
	servesAgainMillis = 10_000
)

// fill leaves a disk without room for a while, after some more operations, while commands come in.
func (g *group) fill(h *proposalHistory, name figseam.InstanceID, fault emulator.DiskFault, operations int) {
	g.fillDuring(h, name, fault, operations, func() {})
}

// fillDuring is the same with something that happens in the middle.
func (g *group) fillDuring(h *proposalHistory, name figseam.InstanceID, fault emulator.DiskFault, operations int, halfway func()) {
	r := g.replicas[name]
	r.disk.SetFault(fault, operations)
	const commands = fullMillis / commandIntervalMillis
	for i := range commands {
		if i == commands/2 {
			halfway()
		}
		h.proposeToLeaders(g)
		time.Sleep(commandIntervalMillis * time.Millisecond)
	}
	r.disk.SetFault(emulator.DiskFaultNone, 0)
}

// requireServing checks that all replicas serve within servesAgainMillis without having stopped:
// they take part, have applied the same commands, and a new command is applied.
func (g *group) requireServing(t require.TestingT) {
	deadline := time.Now().Add(servesAgainMillis * time.Millisecond)
	for !g.settled() && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	g.awaitSettled(t)
	require.False(t, time.Now().After(deadline), "the group settled too late")
	g.propose(t, fmt.Sprint("after ", time.Now().UnixNano()))
	time.Sleep(time.Second)
	for _, n := range g.voters {
		r := g.replicas[n]
		require.NoError(t, r.node.DiskError(), n)
		require.True(t, r.node.HasQuorum(), n)
		select {
		case err := <-r.ended:
			require.FailNow(t, "replica has stopped", "%s: %v", n, err)
		default:
		}
	}
	g.awaitSettled(t)
}

// finish checks the commands at the end of a test.
func (g *group) finish(t require.TestingT, h *proposalHistory) {
	h.inFlight.Wait()
	g.awaitSettled(t)
	h.check(t, g.leader().log.all())
	require.NotEmpty(t, h.confirmed)
}

// forEachFullDisk runs a test for each kind of operation that a full disk refuses, and for
// several numbers of operations before it does.
func forEachFullDisk(t *testing.T, test func(t *testing.T, g *group, fault emulator.DiskFault, operations int)) {
	for _, fault := range emulator.DiskFaults {
		for operations := range 16 {
			t.Run(fmt.Sprintf("%s refused from operation %d on", fault, operations), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newDynamicGroup(uint64(operations), "a", "b", "c")
					g.startAll(t)
					defer g.stopAll()
					g.awaitSettled(t)
					test(t, g, fault, operations)
				})
			})
		}
	}
}

// TestFullDisksInTurn guards against a group that does not acknowledge commands any more after the
// disks of all voters were full, one after the other and never two at once, and against voters that
// have to be restarted. Snapshots and new segments fall into the time of each full disk.
func TestFullDisksInTurn(t *testing.T) {
	forEachFullDisk(t, func(t *testing.T, g *group, fault emulator.DiskFault, operations int) {
		h := &proposalHistory{}
		for _, name := range []figseam.InstanceID{g.leader().name, g.follower().name, "a", "b", "c"} {
			g.fill(h, name, fault, operations)
			g.requireServing(t)
		}
		g.finish(t, h)
	})
}

// TestFullDisksWhileVotersChange is the same while a voter is replaced by one on an empty disk:
// the disk of the new voter is full at its first start, then those of the others.
func TestFullDisksWhileVotersChange(t *testing.T) {
	forEachFullDisk(t, func(t *testing.T, g *group, fault emulator.DiskFault, operations int) {
		h := &proposalHistory{}
		full := g.leader().name
		removed := g.follower().name
		g.mu.Lock()
		g.replicas["d"] = &replica{name: "d", disk: emulator.NewDisk()}
		g.mu.Unlock()
		g.replicas["d"].disk.SetFault(fault, operations)
		opened := make(chan struct{})
		go func() {
			defer close(opened)
			g.start(t, "d")
		}()
		g.fill(h, "d", fault, 0)
		<-opened
		g.mu.Lock()
		g.voters = append(g.voters, "d")
		g.mu.Unlock()
		time.Sleep(2 * time.Second)
		// The full disk and the voter that leaves are not lost at the same time: the group has
		// four voters, of which three suffice.
		g.fillDuring(h, full, fault, operations, func() { g.stopInstance(removed) })
		g.requireServing(t)
		for _, name := range g.voterNames() {
			g.fill(h, name, fault, operations)
			g.requireServing(t)
		}
		g.finish(t, h)
	})
}

// TestReplicaRestartsOnFullDisk guards against a replica that does not serve again if its process
// ends while its disk is full, and that is opened anew before there is room.
func TestReplicaRestartsOnFullDisk(t *testing.T) {
	forEachFullDisk(t, func(t *testing.T, g *group, fault emulator.DiskFault, operations int) {
		h := &proposalHistory{}
		for _, name := range []figseam.InstanceID{g.leader().name, g.follower().name} {
			g.fill(h, name, fault, operations)
			g.replicas[name].disk.SetFault(fault, 0)
			g.crash(name)
			opened := make(chan struct{})
			go func() {
				defer close(opened)
				g.start(t, name)
			}()
			time.Sleep(fullMillis * time.Millisecond)
			g.replicas[name].disk.SetFault(emulator.DiskFaultNone, 0)
			<-opened
			g.requireServing(t)
		}
		g.finish(t, h)
	})
}

// TestDisksFullAtFirstStart guards against a group that does not form, or forms with a voter that
// does not serve, because the disk of an initial member was full when it first started.
func TestDisksFullAtFirstStart(t *testing.T) {
	for _, fault := range emulator.DiskFaults {
		for operations := range 12 {
			t.Run(fmt.Sprintf("%s refused from operation %d on", fault, operations), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newDynamicGroup(uint64(operations), "a", "b", "c")
					name := g.voters[operations%len(g.voters)]
					g.replicas[name].disk.SetFault(fault, operations)
					go func() {
						time.Sleep(fullMillis * time.Millisecond)
						g.replicas[name].disk.SetFault(emulator.DiskFaultNone, 0)
					}()
					g.startAll(t)
					defer g.stopAll()
					time.Sleep(2 * fullMillis * time.Millisecond)
					h := &proposalHistory{}
					g.requireServing(t)
					h.proposeToLeaders(g)
					g.finish(t, h)
				})
			})
		}
	}
}

// TestLeaderWithFullDiskHandsOver guards against a leader that cannot store commands and leads on:
// the command that it could not store must not be confirmed, and another replica must lead while
// the disk is full. The former leader must not vote, answer or claim to be up to date meanwhile, and
// serves again without a restart.
func TestLeaderWithFullDiskHandsOver(t *testing.T) {
	for _, fault := range []emulator.DiskFault{emulator.DiskFaultWrites, emulator.DiskFaultPartialWrites, emulator.DiskFaultSyncs} {
		t.Run(fault.String(), func(t *testing.T) {
			withSettledGroup(t, func(t *testing.T, g *group) {
				former := g.awaitLeader(t)
				former.disk.SetFault(fault, 0)
				require.ErrorIs(t, propose(former.node, "x"), replicator.ErrLeadershipLost)
				require.ErrorIs(t, propose(former.node, "y"), figseam.ErrNotProposed)
				require.ErrorIs(t, former.node.DiskError(), emulator.ErrDiskFull)
				time.Sleep(3 * time.Second)
				next := g.awaitLeader(t)
				require.NotEqual(t, former.name, next.name)
				require.NoError(t, propose(next.node, "kept"))
				require.False(t, former.node.HasQuorum())
				require.Empty(t, former.log.all())
				header := replicator.Header{ToIdentity: former.node.Self().Identity, From: next.node.Self(), Term: next.node.Status().Term + 1}
				vote := former.node.HandleVote(replicator.VoteRequest{Header: header, PreVote: true, LastIndex: 1 << 40, LastTerm: 1 << 40})
				require.False(t, vote.Granted)
				former.disk.SetFault(emulator.DiskFaultNone, 0)
				time.Sleep(time.Second)
				require.NoError(t, former.node.DiskError())
				require.True(t, former.node.HasQuorum())
				require.Equal(t, next.name, g.leader().name, "the former leader must not depose its successor")
				g.awaitSettled(t)
				require.Equal(t, []string{"kept"}, former.log.all())
			})
		})
	}
}

// TestLeaderWithLittleRoomHandsOver guards against a leader whose disk has room for votes and not
// for commands, and that wins the next elections, too.
func TestLeaderWithLittleRoomHandsOver(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(seed, "a", "b", "c")
			g.startAll(t)
			defer g.stopAll()
			g.awaitSettled(t)
			former := g.awaitLeader(t)
			former.disk.SetFault(emulator.DiskFaultLongWrites, 0)
			long := strings.Repeat("x", 2*emulator.LongWriteBytes)
			require.ErrorIs(t, propose(former.node, long), replicator.ErrLeadershipLost)
			time.Sleep(2 * time.Second)
			next := g.awaitLeader(t)
			require.NotEqual(t, former.name, next.name)
			require.NoError(t, propose(next.node, long))
			time.Sleep(10 * time.Second)
			require.Equal(t, next.name, g.leader().name)
			former.disk.SetFault(emulator.DiskFaultNone, 0)
			g.awaitSettled(t)
		})
	}
}

// TestSingleReplicaTriesItsDiskAgain guards against a replica that waits for others before it tries
// its disk again: there are none, or they wait for its vote.
func TestSingleReplicaTriesItsDiskAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1, "a")
		g.startAll(t)
		defer g.stopAll()
		l := g.awaitLeader(t)
		l.disk.SetFault(emulator.DiskFaultWrites, 0)
		require.Error(t, propose(l.node, "x"))
		time.Sleep(time.Minute)
		require.Nil(t, g.leader())
		l.disk.SetFault(emulator.DiskFaultNone, 0)
		time.Sleep(5 * time.Second)
		require.NoError(t, propose(g.awaitLeader(t).node, "kept"))
		require.Equal(t, []string{"kept"}, l.log.all())
	})
}

// TestReplicaWithFullDiskDoesNotAnswer guards against a leader that counts a replica as responding,
// or a learner as caught up, which cannot store anything.
func TestReplicaWithFullDiskDoesNotAnswer(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		l, full := g.awaitLeader(t), g.follower()
		heartbeat := replicator.AppendRequest{Header: replicator.Header{ToIdentity: full.node.Self().Identity, From: l.node.Self(), Term: l.node.Status().Term}}
		require.NotZero(t, full.node.HandleAppend(heartbeat).Term)
		full.disk.SetFault(emulator.DiskFaultWrites, 0)
		require.NoError(t, propose(l.node, "kept"))
		time.Sleep(time.Second)
		require.Zero(t, full.node.HandleAppend(heartbeat).Term)
		full.disk.SetFault(emulator.DiskFaultNone, 0)
		g.awaitSettled(t)
		require.NotZero(t, full.node.HandleAppend(heartbeat).Term)
	})
}

// TestFollowerWithoutRoomForSnapshotIsNotUpToDate guards against a follower that answers the leader
// but lacks entries that it can only get with a snapshot: entries would get old configurations from
// it.
func TestFollowerWithoutRoomForSnapshotIsNotUpToDate(t *testing.T) {
	withSettledGroup(t, func(t *testing.T, g *group) {
		l := g.awaitLeader(t)
		lagging := g.follower()
		g.setIsolated(lagging.name, true)
		for i := range 40 {
			require.NoError(t, propose(l.node, fmt.Sprint(i)))
		}
		lagging.disk.SetFault(emulator.DiskFaultCreation, 0)
		g.setIsolated(lagging.name, false)
		time.Sleep(5 * time.Second)
		require.NoError(t, lagging.node.DiskError())
		require.False(t, lagging.node.HasQuorum())
		require.Less(t, len(lagging.log.all()), 40)
		lagging.disk.SetFault(emulator.DiskFaultNone, 0)
		time.Sleep(3 * time.Second)
		require.True(t, lagging.node.HasQuorum())
		require.Len(t, lagging.log.all(), 40)
	})
}
