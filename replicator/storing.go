package replicator

import (
	"time"

	"github.com/figseam/figseam/journaler"
)

const (
	// diskRetryMillis is the interval between two attempts to write to a disk that refused a
	// write.
	diskRetryMillis = 200
	// handoverMillis is the time for which a replica whose disk accepts writes again leaves the
	// lead to others. A disk with little room accepts votes and refuses commands, so its
	// replica would win elections and step down in turn.
	handoverMillis = 2 * electionTimeoutMaxMillis
	// snapshotRetryMillis is the time after a snapshot that failed before the next one is
	// tried or received. Until then the log grows.
	snapshotRetryMillis = 1000
)

// stored records the result of a write to the journal and reports whether it succeeded. After a
// failure the replica steps down. The caller holds mu.
func (n *Node) stored(err error) bool {
	if err == nil {
		if n.diskError != nil {
			n.diskError = nil
			n.electionDeadline = time.Now().Add(handoverMillis * time.Millisecond)
			n.log.Info().Msg("the disk accepts writes again")
		}
		return true
	}
	if n.diskError == nil {
		n.log.Error().Err(err).Str("replica_role", n.role.String()).Msg("the disk refuses writes, the replica does not take part until it accepts them")
	}
	n.diskError = err
	n.diskRetry = time.Now().Add(diskRetryMillis * time.Millisecond)
	if n.role != follower {
		n.stepDown()
	}
	return false
}

// retryDisk writes the current term and vote once more if the disk refused the last write, since
// without commands there may be nothing else to write.
func (n *Node) retryDisk() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.diskError != nil && n.stopCause == nil && !time.Now().Before(n.diskRetry) {
		n.saveHardState(n.term, n.votedFor)
	}
}

// DiskError returns the error of the last write to the journal, or nil if it succeeded.
func (n *Node) DiskError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.diskError
}

// saveHardState stores a term and vote on disk before the replica acts on them. It
// reports whether that succeeded. The caller holds mu.
func (n *Node) saveHardState(term uint64, votedFor string) bool {
	if n.stopCause != nil {
		return false
	}
	if !n.stored(n.journal.SaveHardState(journaler.HardState{Term: term, Vote: votedFor})) {
		return false
	}
	n.term, n.votedFor = term, votedFor
	return true
}

// saveSnapshot stores a snapshot with the entries that follow it and reports whether that
// succeeded. A failure does not concern the entries: they may be stored although there is no
// room for a snapshot. The caller holds mu.
func (n *Node) saveSnapshot(s journaler.Snapshot, following []journaler.Entry) bool {
	if err := n.journal.SaveSnapshot(s, following); err != nil {
		n.snapshotRetry = time.Now().Add(snapshotRetryMillis * time.Millisecond)
		n.log.Warn().Err(err).Uint64("index", s.Index).Msg("the disk refuses a snapshot")
		return false
	}
	if files := n.journal.ObsoleteFiles(); files > 0 {
		n.log.Warn().Int("files", files).Msg("the disk refuses to remove old files of the journal")
	}
	return true
}
