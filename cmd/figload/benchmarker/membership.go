package benchmarker

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/detector"
)

// watchMillis is how long the traffic of settled members is counted.
const watchMillis = 20_000

// crowd carries the probes of many instances in memory and counts them.
type crowd struct {
	mu        sync.Mutex
	detectors map[string]*detector.Detector
	messages  int
	bytes     int
}

// Probe implements detector.Prober.
func (c *crowd) Probe(ctx context.Context, address string, p detector.ProbeRequest) (detector.ProbeResponse, error) {
	c.mu.Lock()
	d, ok := c.detectors[address]
	c.mu.Unlock()
	if !ok {
		return detector.ProbeResponse{}, errors.New("not started")
	}
	a := d.HandleProbe(ctx, p)
	request, err := cbor.Marshal(p)
	if err != nil {
		return a, err
	}
	response, err := cbor.Marshal(a)
	if err != nil {
		return a, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages += 2
	c.bytes += len(request) + len(response)
	return a, nil
}

// membership runs the detectors of size instances in 16 data centres, or fewer
// when there are few, in real time after the list of each is complete.
func membership(size int) (map[string]float64, error) {
	c := &crowd{detectors: map[string]*detector.Detector{}}
	centres := min(16, max(1, size/4))
	var all []*detector.MemberList
	var everyone []figseam.Member
	for i := range size {
		name := fmt.Sprintf("instance-%03d", i)
		everyone = append(everyone, figseam.Member{
			ID: figseam.InstanceID(name), DataCentre: figseam.DataCentre(fmt.Sprint("dc-", i%centres)),
			Address: name, State: figseam.InstanceAlive, Incarnation: 1, RunID: uint64(i),
		})
	}
	before := heapBytes()
	for _, m := range everyone {
		members := detector.NewMemberList(m)
		members.Preload(everyone)
		all = append(all, members)
		c.detectors[m.Address] = detector.New(members, c, nil, zerolog.Nop())
	}
	heap := heapBytes() - before
	ctx, stop := context.WithCancel(context.Background())
	var ends []<-chan struct{}
	for _, d := range c.detectors {
		ends = append(ends, d.Run(ctx))
	}
	cpu := cpuSeconds()
	time.Sleep(watchMillis * time.Millisecond)
	cpu = cpuSeconds() - cpu
	stop()
	for _, e := range ends {
		<-e
	}
	n := float64(size) * watchMillis / 1000
	return map[string]float64{
		"messages_per_instance_s": float64(c.messages) / n, "bytes_per_instance_s": float64(c.bytes) / n,
		"core_share_per_instance": cpu / n, "heap_bytes_per_instance": heap / float64(len(all)),
	}, nil
}
