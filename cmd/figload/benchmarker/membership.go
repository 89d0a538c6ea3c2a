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

// trafficWindowMillis is the time during which probe traffic is counted.
const trafficWindowMillis = 20_000

// countingProber passes probes between the detectors of this process and counts the
// messages and their encoded size.
type countingProber struct {
	mu        sync.Mutex
	detectors map[string]*detector.Detector
	messages  int
	bytes     int
}

// Probe implements [detector.Prober].
func (c *countingProber) Probe(ctx context.Context, address string, p detector.ProbeRequest) (detector.ProbeReply, error) {
	c.mu.Lock()
	d, ok := c.detectors[address]
	c.mu.Unlock()
	if !ok {
		return detector.ProbeReply{}, errors.New("not started")
	}
	response := d.HandleProbe(ctx, p)
	requestData, err := cbor.Marshal(p)
	if err != nil {
		return response, err
	}
	responseData, err := cbor.Marshal(response)
	if err != nil {
		return response, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages += 2
	c.bytes += len(requestData) + len(responseData)
	return response, nil
}

// measureMembership measures failure detection among size instances in real time, from
// a state in which every instance has the complete member list. The instances are in
// 16 data centres, or fewer where 16 would leave fewer than 4 instances in each.
func measureMembership(size int) (map[string]float64, error) {
	prober := &countingProber{detectors: map[string]*detector.Detector{}}
	dataCentreCount := min(16, max(1, size/4))
	var lists []*detector.MemberList
	var members []figseam.Member
	for i := range size {
		name := fmt.Sprintf("instance-%03d", i)
		members = append(members, figseam.Member{
			ID: figseam.InstanceID(name), DataCentre: figseam.DataCentre(fmt.Sprint("dc-", i%dataCentreCount)),
			Address: name, State: figseam.InstanceAlive, Incarnation: 1, RunID: uint64(i),
		})
	}
	heapBefore := heapBytes()
	for _, m := range members {
		list := detector.NewMemberList(m)
		list.Preload(members)
		lists = append(lists, list)
		prober.detectors[m.Address] = detector.New(list, prober, nil, zerolog.Nop())
	}
	heap := heapBytes() - heapBefore
	ctx, stop := context.WithCancel(context.Background())
	var exits []<-chan struct{}
	for _, d := range prober.detectors {
		exits = append(exits, d.Run(ctx))
	}
	cpu := cpuSeconds()
	time.Sleep(trafficWindowMillis * time.Millisecond)
	cpu = cpuSeconds() - cpu
	stop()
	for _, exit := range exits {
		<-exit
	}
	instanceSeconds := float64(size) * trafficWindowMillis / 1000
	return map[string]float64{
		"messages_per_instance_s": float64(prober.messages) / instanceSeconds, "bytes_per_instance_s": float64(prober.bytes) / instanceSeconds,
		"core_share_per_instance": cpu / instanceSeconds, "heap_bytes_per_instance": heap / float64(len(lists)),
	}, nil
}
