package emulator

import "github.com/figseam/figseam/dialer"

// keptCacheEvents is how many events a reader can be behind before it sees a gap.
const keptCacheEvents = 256

// prefixCache holds the most recently added blocks.
type prefixCache struct {
	limit    int
	order    []uint64
	present  map[uint64]bool
	events   []dialer.CacheEvent
	sequence uint64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, present: map[uint64]bool{}}
}

// match returns how many of the first blocks are present.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		if !c.present[b] {
			return i
		}
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64) {
	for _, b := range blocks {
		if c.present[b] || c.limit == 0 {
			continue
		}
		if len(c.order) >= c.limit {
			oldest := c.order[0]
			c.order = c.order[1:]
			delete(c.present, oldest)
			c.record(oldest, true)
		}
		c.present[b] = true
		c.order = append(c.order, b)
		c.record(b, false)
	}
}

func (c *prefixCache) record(block uint64, removed bool) {
	c.sequence++
	c.events = append(c.events, dialer.CacheEvent{Sequence: c.sequence, Block: block, Removed: removed})
	if len(c.events) > keptCacheEvents {
		c.events = c.events[1:]
	}
}

// page returns the events after a sequence number.
func (c *prefixCache) page(after uint64, gaps bool) dialer.CacheEventsResponse {
	body := dialer.CacheEventsResponse{Next: c.sequence, Events: []dialer.CacheEvent{}}
	if len(c.events) > 0 && after+1 < c.events[0].Sequence {
		body.Gap = true
	}
	for _, e := range c.events {
		if e.Sequence <= after || (gaps && e.Sequence%2 == 0) {
			continue
		}
		body.Events = append(body.Events, e)
	}
	return body
}
