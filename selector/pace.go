package selector

import (
	"time"

	"github.com/figseam/figseam"
)

// The pace of an endpoint is how long work takes there, relative to what is expected: 2 means
// twice as long. It is learned from the endpoint's own answers, by all instances together.
//
// Load pattern: endpoints of one plain service that differ in speed, some of which slow down and
// recover within seconds. A slow endpoint gets less work, but is still used while the others are
// busier, so that its recovery is seen. Engines have no pace: their memory decides, and the work
// that they have in flight; see docs/design/pace.md.

const (
	// paceSlotMillis is the length of a slot. Observations of the present and the previous
	// slot count, so a change is followed within two slots.
	paceSlotMillis = 2500
	// noiseSlotMillis is the same for what endpoints say of their machine, which changes
	// several times a second.
	noiseSlotMillis = 300
	// minPace is the pace from which on an observation counts as slow. Smaller differences do
	// not count: all instances would choose the endpoint that seems fastest, at the same time.
	minPace = 1.5
	// An endpoint is slow if at least minSlowShare of its observations are, and at least
	// minSlowCount. Some answers of any endpoint are slow since another instance sent it work
	// at the same moment, but only a slow one gives hardly any fast answer.
	minSlowShare = 0.9
	minSlowCount = 4
	// maxPace bounds an observation: a longer one is an answer that was lost or resent.
	maxPace = 8
	// paceScale is the factor by which paces are multiplied in messages.
	paceScale = 100
)

// slotSum sums observations of the present and the previous slot.
type slotSum struct {
	slot              int64
	current, previous paceSum
}

// paceSum sums observations: their number, that of the slow ones, and the sum of the paces of
// those, times paceScale.
type paceSum struct{ count, slow, sum int }

func (s paceSum) plus(t paceSum) paceSum {
	return paceSum{count: s.count + t.count, slow: s.slow + t.slow, sum: s.sum + t.sum}
}

// pace returns the pace that the observations show; 1 unless most of them are slow.
func (s paceSum) pace() float64 {
	if s.slow < minSlowCount || float64(s.slow) < minSlowShare*float64(s.count) {
		return 1
	}
	return float64(s.sum) / paceScale / float64(s.slow)
}

func (s *slotSum) rotate(slot int64) {
	switch {
	case slot == s.slot:
		return
	case slot == s.slot+1:
		s.previous = s.current
	default:
		s.previous = paceSum{}
	}
	s.slot, s.current = slot, paceSum{}
}

func (s *slotSum) observe(pace float64, slot int64) {
	s.rotate(slot)
	s.current.count++
	if pace >= minPace {
		s.current.slow++
		s.current.sum += int(min(pace, maxPace) * paceScale)
	}
}

func (s *slotSum) total(slot int64) paceSum {
	s.rotate(slot)
	return s.current.plus(s.previous)
}

// slotOf returns the slot of a time, on the monotonic clock.
func (t *Tracker) slotOf(now time.Time, slotMillis int64) int64 {
	return now.Sub(t.began).Milliseconds()/slotMillis + 1
}

// RecordPace records that work took a time at an endpoint for which another was expected.
// queuedMillis is the work that the endpoint had before: only work that it began at once shows
// its pace, since nothing else tells a slow endpoint from a busy one. RecordPace has no effect
// for a service whose endpoints say nothing of their machines: there, all endpoints of a service
// count as equally fast.
func (t *Tracker) RecordPace(e figseam.ListedEndpoint, tookMillis, expectedMillis, queuedMillis float64) {
	if expectedMillis <= 0 || tookMillis < 0 || queuedMillis > 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.shared[e.Service] || e.Stage != figseam.EndpointStageNone {
		return
	}
	t.state(e).pace.observe(tookMillis/expectedMillis, t.slotOf(time.Now(), paceSlotMillis))
}

// recordNoise records what an endpoint of a plain service says of its machine. The caller holds mu.
func (t *Tracker) recordNoise(e figseam.ListedEndpoint, s *endpointState, percent int) {
	if percent <= 0 || e.Stage != figseam.EndpointStageNone {
		return
	}
	t.shared[e.Service] = true
	s.noise.observe(float64(percent)/100, t.slotOf(time.Now(), noiseSlotMillis))
}

// addPace adds what this instance knows of the pace to a usage that it reports.
func (t *Tracker) addPace(u figseam.EndpointUsage, s *endpointState, now time.Time) figseam.EndpointUsage {
	pace := s.pace.total(t.slotOf(now, paceSlotMillis))
	noise := s.noise.total(t.slotOf(now, noiseSlotMillis))
	u.PaceCount, u.PaceSlow, u.PaceSum = pace.count, pace.slow, pace.sum
	u.NoiseCount, u.NoiseSlow, u.NoiseSum = noise.count, noise.slow, noise.sum
	return u
}

// setPace sets the pace of a candidate from the observations of this instance and of others.
func (t *Tracker) setPace(c *Candidate, s *endpointState, remote figseam.EndpointUsage, now time.Time) {
	c.Pace = 1
	if !t.shared[c.Endpoint.Service] && remote.PaceCount == 0 && remote.NoiseCount == 0 {
		return
	}
	t.shared[c.Endpoint.Service] = true
	pace := s.pace.total(t.slotOf(now, paceSlotMillis)).plus(paceSum{count: remote.PaceCount, slow: remote.PaceSlow, sum: remote.PaceSum})
	c.Pace = pace.pace()
	noise := s.noise.total(t.slotOf(now, noiseSlotMillis)).plus(paceSum{count: remote.NoiseCount, slow: remote.NoiseSlow, sum: remote.NoiseSum})
	c.Pace = max(c.Pace, noise.pace())
}

// paceCost returns the cost in milliseconds of the pace of an endpoint: the work in flight takes
// longer there, and so does the request's own. It counts as far as it exceeds the median of the
// candidates: if most are slow, the others are rather those of which too little is known.
func paceCost(c Candidate, median float64) float64 {
	if c.Pace == 0 || median == 0 {
		return 0
	}
	return max(0, c.Pace/median-1) * (c.WorkMillis + c.OwnMillis)
}

func medianPace(candidates []Candidate) float64 {
	paces := make([]float64, 0, len(candidates))
	for _, c := range candidates {
		paces = append(paces, c.Pace)
	}
	return median(paces)
}
