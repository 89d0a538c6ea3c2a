package aggregator

import (
	"time"

	"github.com/figseam/figseam"
)

// An instance that changes its voter is in the sums of both until its report to the one before
// has expired there. It tells the new voter what it reported to the one before, and the new
// voter takes that out of its own sum for as long.
//
// Load pattern: voters that stop or are cut off while engines are nearly full, so that load
// that is counted twice leads to refusals.

// EarlierReport is the last report of an instance to its previous voter.
type EarlierReport struct {
	Voter figseam.InstanceID `cbor:"1,keyasint"`
	// Epoch is that of the voter's last [Sum].
	Epoch uint64 `cbor:"2,keyasint"`
	Load  Load   `cbor:"3,keyasint"`
	// RemainingMillis is the time until the report expires.
	RemainingMillis int64 `cbor:"4,keyasint"`
}

// ReportLog remembers the reports of an instance to its last two voters. It must not be used
// concurrently.
type ReportLog struct {
	last, before sentReport
}

type sentReport struct {
	voter     figseam.InstanceID
	epoch     uint64
	load      Load
	expiresAt time.Time
	// balancedUntil is the time until which the voter takes an earlier report out of its sum
	// that no longer counts elsewhere, so that this report adds nothing.
	balancedUntil time.Time
}

func (r sentReport) counts(now time.Time) bool { return r.voter != "" && now.Before(r.expiresAt) }

// Record records a report that a voter answered with a sum of the given epoch.
func (l *ReportLog) Record(voter figseam.InstanceID, epoch uint64, load Load) {
	now := time.Now()
	if l.last.voter != voter {
		replaced := l.before
		l.before = l.last
		if replaced.voter == voter && replaced.counts(now) {
			l.before.balancedUntil = replaced.expiresAt
		}
	}
	l.last = sentReport{voter: voter, epoch: epoch, load: load, expiresAt: now.Add(maxReportAgeMillis * time.Millisecond)}
}

// Earlier returns the report that still counts at another voter than the given one, to which
// the next report goes; nil if there is none.
func (l *ReportLog) Earlier(voter figseam.InstanceID) *EarlierReport {
	now := time.Now()
	earlier := l.before
	if l.last.voter != voter {
		earlier = l.last
		if l.before.voter == voter && l.before.counts(now) {
			return nil
		}
	}
	if !earlier.counts(now) || now.Before(earlier.balancedUntil) {
		return nil
	}
	return &EarlierReport{Voter: earlier.voter, Epoch: earlier.epoch, Load: earlier.load, RemainingMillis: earlier.expiresAt.Sub(now).Milliseconds()}
}

// movedReport is an earlier report, which is taken out of the sum while it is applied.
type movedReport struct {
	voter     figseam.InstanceID
	epoch     uint64
	load      Load
	expiresAt time.Time
	applied   bool
}

// recordMove records the earlier report of an instance. The caller holds mu.
func (s *Store) recordMove(id figseam.InstanceID, e *EarlierReport, now time.Time) {
	old, known := s.moves[id]
	if known && e != nil && old.voter == e.Voter && old.epoch == e.Epoch {
		return
	}
	if known {
		s.setMoveApplied(id, false)
		delete(s.moves, id)
	}
	if e == nil || e.RemainingMillis <= 0 || e.Epoch == 0 {
		return
	}
	remaining := min(e.RemainingMillis, maxReportAgeMillis)
	m := movedReport{voter: e.Voter, epoch: e.Epoch, load: e.Load, expiresAt: now.Add(time.Duration(remaining) * time.Millisecond)}
	m.load.Instances = 1
	s.moves[id] = m
	s.setMoveApplied(id, s.voters[m.voter].epoch == m.epoch)
}

// setMoveApplied takes the earlier report of an instance out of the sum, or counts it again.
// The caller holds mu.
func (s *Store) setMoveApplied(id figseam.InstanceID, applied bool) {
	m := s.moves[id]
	if m.applied == applied {
		return
	}
	m.applied = applied
	s.moves[id] = m
	if applied {
		s.applyLocal(subtract(Load{}, m.load))
		return
	}
	s.applyLocal(subtract(m.load, Load{}))
}

// updateMoves applies the moves from a voter as long as this store has the sum of the same run of
// it, which contains the earlier reports. The caller holds mu.
func (s *Store) updateMoves(voter figseam.InstanceID) {
	for id, m := range s.moves {
		if m.voter == voter {
			s.setMoveApplied(id, s.voters[voter].epoch == m.epoch)
		}
	}
}

// dropExpiredMoves drops the moves whose reports have expired. The caller holds mu.
func (s *Store) dropExpiredMoves(now time.Time) {
	for id, m := range s.moves {
		if !now.Before(m.expiresAt) {
			s.setMoveApplied(id, false)
			delete(s.moves, id)
		}
	}
}

// applyLocal adds a difference to the sum of the instances that report here, and so to that of
// all. The caller holds mu.
func (s *Store) applyLocal(difference *Total) {
	s.local.addTotal(difference)
	s.applyDifference(difference)
}
