package detector_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/detector"
)

// testCluster consists of instances whose probes are delivered in memory.
type testCluster struct {
	mu          sync.Mutex
	memberLists map[string]*detector.MemberList
	detectors   map[string]*detector.Detector
	partition   map[string]int // instances with different numbers cannot reach one another
	down        map[string]bool
	stopFuncs   map[string]func()
	messages    int
	bytes       int
}

// clusterProber is the prober of one instance. A probe across partitions blocks until its
// timeout; a probe of a stopped instance fails at once.
type clusterProber struct {
	cluster *testCluster
	from    string
}

func (cp clusterProber) Probe(ctx context.Context, address string, p detector.ProbeRequest) (detector.ProbeReply, error) {
	cp.cluster.mu.Lock()
	d, ok := cp.cluster.detectors[address]
	partitioned := cp.cluster.partition[cp.from] != cp.cluster.partition[address]
	refused := cp.cluster.down[address] || !ok
	cp.cluster.countMessage(p)
	cp.cluster.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return detector.ProbeReply{}, ctx.Err()
	}
	if refused {
		return detector.ProbeReply{}, errors.New("refused")
	}
	time.Sleep(time.Millisecond)
	response := d.HandleProbe(ctx, p)
	cp.cluster.mu.Lock()
	defer cp.cluster.mu.Unlock()
	cp.cluster.countMessage(response)
	return response, nil
}

// countMessage adds a message to the counters. The caller must hold mu.
func (c *testCluster) countMessage(message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	c.messages++
	c.bytes += len(data)
}

func newTestCluster(dataCentres, instancesPerCentre int) *testCluster {
	c := &testCluster{
		memberLists: map[string]*detector.MemberList{}, detectors: map[string]*detector.Detector{},
		partition: map[string]int{}, down: map[string]bool{}, stopFuncs: map[string]func(){},
	}
	for dc := range dataCentres {
		for i := range instancesPerCentre {
			c.start(address(dc, i), figseam.DataCentre(fmt.Sprintf("dc%02d", dc)), 1)
		}
	}
	return c
}

func address(dc, i int) string { return fmt.Sprintf("dc%02d-%03d", dc, i) }

func (c *testCluster) start(name string, dc figseam.DataCentre, run uint64) {
	m := detector.NewMemberList(figseam.Member{
		ID: figseam.InstanceID(name), DataCentre: dc, Address: name, Incarnation: 1, RunID: run,
	})
	d := detector.New(m, clusterProber{c, name}, []string{address(0, 0), address(0, 1)}, zerolog.Nop())
	c.mu.Lock()
	c.memberLists[name], c.detectors[name], c.down[name] = m, d, false
	c.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	stopped := d.Run(ctx)
	c.stopFuncs[name] = func() {
		stop()
		<-stopped
	}
}

func (c *testCluster) kill(name string) {
	c.mu.Lock()
	c.down[name] = true
	c.mu.Unlock()
	c.stopFuncs[name]()
	delete(c.stopFuncs, name)
}

func (c *testCluster) stopAll() {
	for _, stop := range c.stopFuncs {
		stop()
	}
}

// countListing returns the number of other running instances that have the named instance
// among their members.
func (c *testCluster) countListing(name string) int {
	n := 0
	for other, m := range c.memberLists {
		if _, ok := m.Find(figseam.InstanceID(name)); ok && other != name && !c.down[other] {
			n++
		}
	}
	return n
}

// converged reports whether every running instance is among the members of all other running
// instances.
func (c *testCluster) converged() bool {
	for name := range c.memberLists {
		if !c.down[name] && c.countListing(name) != len(c.memberLists)-1-c.downCount() {
			return false
		}
	}
	return true
}

func (c *testCluster) downCount() int {
	n := 0
	for _, down := range c.down {
		if down {
			n++
		}
	}
	return n
}

// detectionTimeout bounds the time until the instances of a data centre have declared a
// crashed instance dead.
const detectionTimeout = 8 * time.Second

// TestCrashedInstanceIsDeclaredDead guards against a crashed instance that remains among the
// members. The instances of its own data centre must detect it in time, the others later.
func TestCrashedInstanceIsDeclaredDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(3, 8)
		defer c.stopAll()
		time.Sleep(20 * time.Second)
		require.True(t, c.converged())
		c.kill(address(1, 3))
		time.Sleep(detectionTimeout)
		for name, m := range c.memberLists {
			if m.Self().DataCentre == "dc01" && !c.down[name] {
				require.True(t, m.IsDead(figseam.InstanceID(address(1, 3))), "%s", name)
			}
		}
		time.Sleep(20 * time.Second)
		require.Zero(t, c.countListing(address(1, 3)))
	})
}

// TestUnreachableInstanceIsRemovedAndRejoins isolates a running instance for longer than
// dead instances are retained.
func TestUnreachableInstanceIsRemovedAndRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, 6)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		c.mu.Lock()
		c.partition[address(0, 4)] = 1
		c.mu.Unlock()
		time.Sleep(5 * time.Minute)
		require.Zero(t, c.countListing(address(0, 4)))
		c.mu.Lock()
		c.partition[address(0, 4)] = 0
		c.mu.Unlock()
		time.Sleep(time.Minute)
		require.True(t, c.converged())
	})
}

// TestMembershipConvergesAfterPartition isolates one of three data centres for an hour, by
// which time each side has deleted the members of the other. The instances of the isolated
// data centre must keep one another as members.
func TestMembershipConvergesAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(3, 4)
		defer c.stopAll()
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		for i := range 4 {
			c.partition[address(2, i)] = 1
		}
		c.mu.Unlock()
		time.Sleep(time.Hour)
		for i := range 4 {
			require.Equal(t, 3, c.countListing(address(2, i)), "members of the isolated data centre")
		}
		c.mu.Lock()
		clear(c.partition)
		c.mu.Unlock()
		time.Sleep(2 * time.Minute)
		require.True(t, c.converged())
	})
}

// TestRestartEndsFormerRun restarts an instance under the same ID. Other instances must
// consider the former run as ended and the new one as active.
func TestRestartEndsFormerRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(1, 4)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		name := address(0, 2)
		observer := c.memberLists[address(0, 0)]
		require.False(t, observer.RunEnded(figseam.InstanceID(name), 1))
		c.kill(name)
		c.start(name, "dc00", 2)
		time.Sleep(detectionTimeout)
		require.True(t, observer.RunEnded(figseam.InstanceID(name), 1))
		require.False(t, observer.RunEnded(figseam.InstanceID(name), 2))
	})
}

// TestLeavingReachesMembersWithinSeconds checks that instances of the same data centre receive
// the leaving state of an instance within 3 seconds.
func TestLeavingReachesMembersWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(2, 4)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		c.memberLists[address(0, 1)].Leave()
		time.Sleep(3 * time.Second)
		for i := range 4 {
			m, ok := c.memberLists[address(0, i)].Find(figseam.InstanceID(address(0, 1)))
			require.True(t, ok)
			require.Equal(t, figseam.InstanceLeaving, m.State)
		}
	})
}

// TestProbeCostPerInstanceIsConstant checks that messages and bytes per instance and second do
// not grow with the number of instances, and that the bytes stay below a quarter of the budget
// for control traffic.
func TestProbeCostPerInstanceIsConstant(t *testing.T) {
	const budgetBytes = 7 << 10
	sizes := []int{4, 16, 40}
	if testing.Short() {
		// The largest size, 320 instances, takes minutes with the race detector. It runs only
		// in the full test.
		sizes = sizes[:2]
	}
	for _, instancesPerCentre := range sizes {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster(8, instancesPerCentre)
			defer c.stopAll()
			// The updates about the start are sent for the last time after some minutes.
			time.Sleep(6 * time.Minute)
			require.True(t, c.converged())
			c.mu.Lock()
			messages, bytes := c.messages, c.bytes
			c.mu.Unlock()
			time.Sleep(60 * time.Second)
			c.mu.Lock()
			defer c.mu.Unlock()
			instanceSeconds := float64(8*instancesPerCentre) * 60
			messagesPerSecond, bytesPerSecond := float64(c.messages-messages)/instanceSeconds, float64(c.bytes-bytes)/instanceSeconds
			t.Logf("%d instances: %.2f messages and %.0f bytes per instance and second", 8*instancesPerCentre, messagesPerSecond, bytesPerSecond)
			require.Less(t, messagesPerSecond, 8.0)
			require.Less(t, bytesPerSecond, budgetBytes/4.0)
		})
	}
}

// TestEndpointStateFollowsRecordedEvents checks the states after failures, successes, reports
// that the endpoint is draining and their expiry, and entries in the platform's list.
func TestEndpointStateFollowsRecordedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := detector.NewEndpointTracker()
		require.Equal(t, figseam.EndpointLive, e.State("x"))
		e.RecordFailure("x")
		require.Equal(t, figseam.EndpointLive, e.State("x"), "state after one failure")
		e.RecordFailure("x")
		require.Equal(t, figseam.EndpointDown, e.State("x"))
		e.RecordSuccess("x")
		require.Equal(t, figseam.EndpointLive, e.State("x"))
		e.RecordDraining("x")
		require.Equal(t, figseam.EndpointDraining, e.State("x"), "state after a report of the endpoint")
		time.Sleep(time.Minute)
		require.Equal(t, figseam.EndpointLive, e.State("x"))
		e.SetPlatformDraining([]figseam.EndpointID{"x"})
		require.Equal(t, figseam.EndpointDraining, e.State("x"))
	})
}
