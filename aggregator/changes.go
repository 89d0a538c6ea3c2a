package aggregator

import (
	"math/rand/v2"
	"slices"

	"github.com/figseam/figseam"
)

// maxChanges bounds the changes that a log remembers. An instance that is further behind
// receives the whole sum.
const maxChanges = 4096

// changeLog remembers which endpoints' usage changed at which revision of the sum, so that
// instances receive only the changes.
//
// Load pattern: hundreds of instances that each receive the sum of thousands of endpoints
// many times a second.
type changeLog struct {
	epoch    uint64
	revision uint64
	// forgotten is the revision up to which changes are no longer remembered.
	forgotten uint64
	changes   []endpointChange
	// changedAt is the revision of the last change of each endpoint in changes.
	changedAt map[uint32]uint64
}

type endpointChange struct {
	revision uint64
	endpoint uint32
}

func newChangeLog() changeLog {
	return changeLog{epoch: 1 + rand.Uint64N(1<<62), changedAt: map[uint32]uint64{}}
}

// record adds a revision in which the usage of endpoints changed, if there are any.
func (c *changeLog) record(changed map[uint32]figseam.EndpointUsage) {
	if len(changed) == 0 {
		return
	}
	c.revision++
	for endpoint := range changed {
		c.changes = append(c.changes, endpointChange{revision: c.revision, endpoint: endpoint})
		c.changedAt[endpoint] = c.revision
	}
	if len(c.changes) > 2*maxChanges {
		c.forget(len(c.changes) - maxChanges)
	}
}

// forget drops the oldest changes.
func (c *changeLog) forget(n int) {
	for _, f := range c.changes[:n] {
		if c.changedAt[f.endpoint] == f.revision {
			delete(c.changedAt, f.endpoint)
		}
	}
	c.forgotten = c.changes[n-1].revision
	c.changes = slices.Clone(c.changes[n:])
}

// since returns the endpoints that changed after a revision. It reports false if that is
// not remembered, or belongs to another epoch.
func (c *changeLog) since(epoch, revision uint64) ([]uint32, bool) {
	if epoch != c.epoch || revision < c.forgotten || revision > c.revision {
		return nil, false
	}
	var endpoints []uint32
	for _, f := range slices.Backward(c.changes) {
		if f.revision <= revision {
			break
		}
		if c.changedAt[f.endpoint] == f.revision {
			endpoints = append(endpoints, f.endpoint)
		}
	}
	return endpoints, true
}
