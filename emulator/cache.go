package emulator

import "github.com/figseam/figseam/dialer"

// maxCacheEvents is the maximum number of retained events. A client that falls further
// behind receives a response with Gap set.
const maxCacheEvents = 256

// prefixCache is a prefix cache that evicts the block that was added first. The
// engine's mutex guards it.
type prefixCache struct {
	maxBlocks    int
	order        []uint64
	present      map[uint64]bool
	events       []dialer.CacheEvent
	lastSequence uint64
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, present: map[uint64]bool{}}
}

// prefixLength returns the number of leading blocks that are present.
func (c *prefixCache) prefixLength(blocks []uint64) int {
	for i, b := range blocks {
		if !c.present[b] {
			return i
		}
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64) {
	for _, b := range blocks {
		if c.present[b] || c.maxBlocks == 0 {
			continue
		}
		if len(c.order) >= c.maxBlocks {
			oldest := c.order[0]
			c.order = c.order[1:]
			delete(c.present, oldest)
			c.recordEvent(oldest, true)
		}
		c.present[b] = true
		c.order = append(c.order, b)
		c.recordEvent(b, false)
	}
}

func (c *prefixCache) recordEvent(block uint64, removed bool) {
	c.lastSequence++
	c.events = append(c.events, dialer.CacheEvent{Sequence: c.lastSequence, Block: block, Removed: removed})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the retained events after a sequence number. Gap is set if some
// events after that number are no longer retained. With dropEven, it omits the events with even sequence numbers.
func (c *prefixCache) eventsAfter(after uint64, dropEven bool) dialer.CacheEventsResponse {
	body := dialer.CacheEventsResponse{Next: c.lastSequence, Events: []dialer.CacheEvent{}}
	if len(c.events) > 0 && after+1 < c.events[0].Sequence {
		body.Gap = true
	}
	for _, e := range c.events {
		if e.Sequence <= after || (dropEven && e.Sequence%2 == 0) {
			continue
		}
		body.Events = append(body.Events, e)
	}
	return body
}
