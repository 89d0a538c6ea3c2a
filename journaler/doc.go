// Package journaler stores a replica's log in a data directory on disk: entries, the
// term and vote, and snapshots.
//
// The directory holds segments named journal-NNN and snapshots named snapshot-NNN. A
// segment is a sequence of batches. Each batch is written and synced before the
// next one. The header of a batch holds a magic number, a hash of the directory's
// identity, the sequence number, the length of the payload, and a checksum of header
// and payload. An interrupted write can therefore damage only the last batch. A damaged
// batch without a later one is a torn tail and is truncated; a damaged batch before an
// intact one is corruption, which is reported with the file and the offset.
//
// Damage to a last batch that had already been synced is indistinguishable from a
// torn tail, so the batch is truncated too. The replica may then lack entries that
// it acknowledged; a group of three tolerates this on one replica without losing
// data.
//
// A write that fails, for example because the disk is full, changes nothing: the journal goes on
// after the bytes that are stored. Each segment begins with everything that follows the snapshot
// for which it was created, so it supersedes the segments before it. The batches are numbered
// across segments, and a segment whose first batch is not newer than the end of the one before
// it was abandoned when its start failed.
//
// The identity is generated with the directory's first segment. An erased directory
// gets a new identity, so that a replica never acts in place of its predecessor.
package journaler
