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

// crowd is a number of instances whose probes are carried in memory.
type crowd struct {
	mu        sync.Mutex
	members   map[string]*detector.MemberList
	detectors map[string]*detector.Detector
	cut       map[string]int // instances with different numbers do not reach one another
	down      map[string]bool
	stops     map[string]func()
	messages  int
	bytes     int
}

// probeLink is the prober of one instance.
type probeLink struct {
	c    *crowd
	from string
}

func (l probeLink) Probe(ctx context.Context, address string, p detector.ProbeRequest) (detector.ProbeResponse, error) {
	l.c.mu.Lock()
	d, ok := l.c.detectors[address]
	vanishes := l.c.cut[l.from] != l.c.cut[address]
	refused := l.c.down[address] || !ok
	l.c.count(p)
	l.c.mu.Unlock()
	if vanishes {
		<-ctx.Done()
		return detector.ProbeResponse{}, ctx.Err()
	}
	if refused {
		return detector.ProbeResponse{}, errors.New("refused")
	}
	time.Sleep(time.Millisecond)
	a := d.HandleProbe(ctx, p)
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	l.c.count(a)
	return a, nil
}

// count adds a message. The caller holds the mutex.
func (c *crowd) count(message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	c.messages++
	c.bytes += len(data)
}

func newCrowd(centres, each int) *crowd {
	c := &crowd{
		members: map[string]*detector.MemberList{}, detectors: map[string]*detector.Detector{},
		cut: map[string]int{}, down: map[string]bool{}, stops: map[string]func(){},
	}
	for dc := range centres {
		for i := range each {
			c.start(address(dc, i), figseam.DataCentre(fmt.Sprintf("dc%02d", dc)), 1)
		}
	}
	return c
}

func address(dc, i int) string { return fmt.Sprintf("dc%02d-%03d", dc, i) }

func (c *crowd) start(name string, dc figseam.DataCentre, run uint64) {
	m := detector.NewMemberList(figseam.Member{
		ID: figseam.InstanceID(name), DataCentre: dc, Address: name, Incarnation: 1, RunID: run,
	})
	d := detector.New(m, probeLink{c, name}, []string{address(0, 0), address(0, 1)}, zerolog.Nop())
	c.mu.Lock()
	c.members[name], c.detectors[name], c.down[name] = m, d, false
	c.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	ended := d.Run(ctx)
	c.stops[name] = func() {
		stop()
		<-ended
	}
}

func (c *crowd) kill(name string) {
	c.mu.Lock()
	c.down[name] = true
	c.mu.Unlock()
	c.stops[name]()
	delete(c.stops, name)
}

func (c *crowd) stopAll() {
	for _, stop := range c.stops {
		stop()
	}
}

// knownBy returns how many instances have another one among their members.
func (c *crowd) knownBy(name string) int {
	n := 0
	for other, m := range c.members {
		if _, ok := m.Find(figseam.InstanceID(name)); ok && other != name && !c.down[other] {
			n++
		}
	}
	return n
}

func (c *crowd) complete() bool {
	for name := range c.members {
		if !c.down[name] && c.knownBy(name) != len(c.members)-1-c.dead() {
			return false
		}
	}
	return true
}

func (c *crowd) dead() int {
	n := 0
	for _, down := range c.down {
		if down {
			n++
		}
	}
	return n
}

// detectWithin bounds the time until an instance that died is known to be dead.
const detectWithin = 8 * time.Second

func TestDeathIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(3, 8)
		defer c.stopAll()
		time.Sleep(20 * time.Second)
		require.True(t, c.complete())
		c.kill(address(1, 3))
		time.Sleep(detectWithin)
		for name, m := range c.members {
			if m.Self().DataCentre == "dc01" && !c.down[name] {
				require.True(t, m.IsDead(figseam.InstanceID(address(1, 3))), "%s", name)
			}
		}
		time.Sleep(20 * time.Second)
		require.Zero(t, c.knownBy(address(1, 3)))
	})
}

func TestSilentInstanceIsNoticedAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(1, 6)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		c.mu.Lock()
		c.cut[address(0, 4)] = 1
		c.mu.Unlock()
		time.Sleep(5 * time.Minute)
		require.Zero(t, c.knownBy(address(0, 4)))
		c.mu.Lock()
		c.cut[address(0, 4)] = 0
		c.mu.Unlock()
		time.Sleep(time.Minute)
		require.True(t, c.complete())
	})
}

// TestPartitionHeals parts the data centres for an hour.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(3, 4)
		defer c.stopAll()
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		for i := range 4 {
			c.cut[address(2, i)] = 1
		}
		c.mu.Unlock()
		time.Sleep(time.Hour)
		for i := range 4 {
			require.Equal(t, 3, c.knownBy(address(2, i)), "those beside it still know it")
		}
		c.mu.Lock()
		clear(c.cut)
		c.mu.Unlock()
		time.Sleep(2 * time.Minute)
		require.True(t, c.complete())
	})
}

// TestRestartIsAnotherRun restarts an instance: its former run is over.
func TestRestartIsAnotherRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(1, 4)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		name := address(0, 2)
		watch := c.members[address(0, 0)]
		require.False(t, watch.RunEnded(figseam.InstanceID(name), 1))
		c.kill(name)
		c.start(name, "dc00", 2)
		time.Sleep(detectWithin)
		require.True(t, watch.RunEnded(figseam.InstanceID(name), 1))
		require.False(t, watch.RunEnded(figseam.InstanceID(name), 2))
	})
}

func TestLeavingIsKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(2, 4)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		c.members[address(0, 1)].Leave()
		time.Sleep(3 * time.Second)
		for i := range 4 {
			m, ok := c.members[address(0, i)].Find(figseam.InstanceID(address(0, 1)))
			require.True(t, ok)
			require.Equal(t, figseam.InstanceLeaving, m.State)
		}
	})
}

// TestCostIsFlat holds that messages and bytes per instance and second do not
// grow with the number of instances, and stay below the budget for control.
func TestCostIsFlat(t *testing.T) {
	const budgetBytes = 7 << 10
	sizes := []int{4, 16, 40}
	if testing.Short() {
		// The race detector takes minutes for 320 instances; the full test has them.
		sizes = sizes[:2]
	}
	for _, each := range sizes {
		synctest.Test(t, func(t *testing.T) {
			c := newCrowd(8, each)
			defer c.stopAll()
			// The news of the start take minutes to be passed on for the last time.
			time.Sleep(6 * time.Minute)
			require.True(t, c.complete())
			c.mu.Lock()
			messages, bytes := c.messages, c.bytes
			c.mu.Unlock()
			time.Sleep(60 * time.Second)
			c.mu.Lock()
			defer c.mu.Unlock()
			n := float64(8*each) * 60
			perSecond, bytesPerSecond := float64(c.messages-messages)/n, float64(c.bytes-bytes)/n
			t.Logf("%d instances: %.2f messages and %.0f bytes per instance and second", 8*each, perSecond, bytesPerSecond)
			require.Less(t, perSecond, 8.0)
			require.Less(t, bytesPerSecond, budgetBytes/4.0)
		})
	}
}

func TestEndpointSigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := detector.NewEndpointTracker()
		require.Equal(t, figseam.EndpointLive, e.State("x"))
		e.RecordFailure("x")
		require.Equal(t, figseam.EndpointLive, e.State("x"), "one failure is no sign")
		e.RecordFailure("x")
		require.Equal(t, figseam.EndpointDown, e.State("x"))
		e.RecordSuccess("x")
		require.Equal(t, figseam.EndpointLive, e.State("x"))
		e.RecordLeaving("x")
		require.Equal(t, figseam.EndpointDraining, e.State("x"), "its own word counts at once")
		time.Sleep(time.Minute)
		require.Equal(t, figseam.EndpointLive, e.State("x"))
		e.SetPlatformLeaving([]figseam.EndpointID{"x"})
		require.Equal(t, figseam.EndpointDraining, e.State("x"))
	})
}
