package throttler

import (
	"slices"
	"time"

	"github.com/figseam/figseam"
)

const (
	// windowMillis is the time over which requests are counted against a limit. For a limit
	// that allows fewer than one request in it, the window is longer.
	windowMillis    = 4000
	maxWindowMillis = 60_000
	// An answer counts as recent for minRecentMillis. With a low limit answers are rare, so
	// it counts for the time of recentRequests requests.
	minRecentMillis = 5000
	recentRequests  = 5
	// holdMillis is the time for which a limit holds if no answer shows that it has ended.
	holdMillis = 60_000
)

// endpointState holds the limit of an endpoint and the requests that count against it.
type endpointState struct {
	// perSecond is the last limit that is known, in requests a second; it holds until
	// heldUntil unless an answer without a limit comes.
	perSecond float64
	heldUntil figseam.Deadline
	// namedUntil and unnamedUntil are the times until which this instance's last answer
	// with a limit, and its last answer without one, count as recent.
	namedUntil   figseam.Deadline
	unnamedUntil figseam.Deadline
	// sentAt holds the times of the requests in the window.
	sentAt []time.Time
}

// pending reports whether a deadline is set and has not passed.
func pending(d figseam.Deadline) bool { return !d.IsZero() && !d.Passed() }

// recordNamed records an answer with a limit.
func (s *endpointState) recordNamed(perSecond float64) {
	s.hold(perSecond)
	s.namedUntil, s.unnamedUntil = figseam.DeadlineAfterMillis(recentMillis(perSecond)), figseam.Deadline{}
}

// recordUnnamed records an answer without a limit. It does not end the limit while an answer
// with one is recent.
func (s *endpointState) recordUnnamed() {
	s.unnamedUntil = figseam.DeadlineAfterMillis(recentMillis(s.perSecond))
}

// hold records that the limit is known to be in force.
func (s *endpointState) hold(perSecond float64) {
	s.perSecond, s.heldUntil = perSecond, figseam.DeadlineAfterMillis(holdMillis)
}

// mergeRemote records what other instances know. A limit ends if no recent answer named it,
// to any instance, and one did not.
func (s *endpointState) mergeRemote(remote figseam.EndpointUsage) {
	switch {
	case remote.LimitedFrom > 0 && !pending(s.namedUntil):
		s.hold(meanLimit(remote))
	case remote.LimitedFrom <= 0 && !pending(s.namedUntil) && (remote.UnlimitedFrom > 0 || pending(s.unnamedUntil)):
		s.heldUntil = figseam.Deadline{}
	}
}

// held reports whether the limit holds.
func (s *endpointState) held() bool { return pending(s.heldUntil) }

// window returns the time over which requests are counted.
func (s *endpointState) window() time.Duration {
	if s.perSecond*maxWindowMillis < 1000 {
		return maxWindowMillis * time.Millisecond
	}
	return max(windowMillis*time.Millisecond, time.Duration(float64(time.Second)/s.perSecond))
}

// sentSince returns the number of requests that were not sent before a time.
func (s *endpointState) sentSince(since time.Time) int {
	first, _ := slices.BinarySearchFunc(s.sentAt, since, time.Time.Compare)
	return len(s.sentAt) - first
}

// forgetBefore drops the requests that were sent before a time.
func (s *endpointState) forgetBefore(since time.Time) {
	s.sentAt = slices.Delete(s.sentAt, 0, len(s.sentAt)-s.sentSince(since))
}

// usage returns what this instance reports to others.
func (s *endpointState) usage(id string, now time.Time) figseam.EndpointUsage {
	u := figseam.EndpointUsage{Endpoint: figseam.HashEndpoint(id), RecentRequests: s.sentSince(now.Add(-s.window()))}
	switch {
	case pending(s.namedUntil):
		u.LimitedFrom, u.LimitMillis = 1, int(s.perSecond*1000)
	case pending(s.unnamedUntil):
		u.UnlimitedFrom = 1
	}
	return u
}

// meanLimit returns the mean of the limits that were named to other instances.
func meanLimit(u figseam.EndpointUsage) float64 {
	return float64(u.LimitMillis) / 1000 / float64(u.LimitedFrom)
}

// recentMillis returns the time for which an answer of an endpoint with a limit is recent.
func recentMillis(perSecond float64) int64 {
	if perSecond*holdMillis < recentRequests*1000 {
		return holdMillis
	}
	return max(minRecentMillis, int64(recentRequests*1000/perSecond))
}
