package throttler

import "time"

const (
	// wantedMillis is the time for which an instance that had a request for an endpoint
	// counts as one that wants to use its limit.
	wantedMillis = 2000
	// announceMillis is the time after which the other instances know that this one wants to
	// use a limit, and this one how many others do.
	announceMillis = 400
	// sharersMillis is the time for which the highest number of instances counts, at least:
	// longer than voters that have restarted take to learn of all of them.
	sharersMillis = 4000
)

// sharing tells how many instances share the limit of an endpoint: those that had requests for
// it lately. An instance whose requests have just begun counts all instances instead, since
// others that begin at the same time do not know of each other yet.
//
// Load pattern: hundreds of instances of which a few have all callers of an endpoint.
type sharing struct {
	wantedFrom, wantedAt time.Time
	// current and previous are the highest numbers of other instances of two periods, of
	// which the present one ends at rotateAt.
	current, previous int
	rotateAt          time.Time
}

// recordWanted records that this instance has a request for the endpoint.
func (s *sharing) recordWanted(now time.Time) {
	if !s.wanted(now) {
		s.wantedFrom = now
	}
	s.wantedAt = now
}

// wanted reports whether this instance had a request lately.
func (s *sharing) wanted(now time.Time) bool {
	return !s.wantedAt.IsZero() && now.Sub(s.wantedAt) <= wantedMillis*time.Millisecond
}

// recordOthers records the number of other instances that had requests lately.
func (s *sharing) recordOthers(n int, now time.Time) {
	s.rotate(now)
	s.current = max(s.current, n)
}

// sharers returns the number of instances that share the limit, of all that there are.
func (s *sharing) sharers(instances int, now time.Time) int {
	s.rotate(now)
	if now.Sub(s.wantedFrom) < announceMillis*time.Millisecond {
		return instances
	}
	return min(instances, 1+max(s.current, s.previous))
}

func (s *sharing) rotate(now time.Time) {
	if now.Before(s.rotateAt) {
		return
	}
	s.previous, s.current = s.current, 0
	if now.Sub(s.rotateAt) > sharersMillis*time.Millisecond {
		s.previous = 0
	}
	s.rotateAt = now.Add(sharersMillis * time.Millisecond)
}
