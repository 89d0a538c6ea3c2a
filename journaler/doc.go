// Package journaler keeps a replica's log on disk: entries, the term and vote,
// and snapshots, all under one data folder.
//
// The folder holds segments named journal-NNN and snapshots named snapshot-NNN.
// A segment is a sequence of batches. Each batch is written and synced before
// the next, and has a header with a magic number, the folder's identity, its
// sequence number, its length and a checksum over both. So of an interrupted write only the
// last batch can be damaged: a damaged batch that nothing follows is a torn tail
// and is cut off; one that a later batch follows is a hole, which is an error
// that names file and offset.
//
// A damaged last batch that had been synced cannot be told from a torn one. It
// is cut as well; the replica may then lack what it acknowledged, which one
// replica in three may without loss.
//
// The identity is made with the folder's first segment. A folder that was
// emptied gets another identity, so a replica never speaks for the one that was
// there before.
package journaler
