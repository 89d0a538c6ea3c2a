// Package replicator implements a replicated log based on Raft: a majority of
// voters agrees on a sequence of commands, and every replica applies them to the
// same state machines.
//
// A replica is identified by the identity of its data directory, not by its
// instance. An erased directory therefore becomes a new replica, which joins as a
// learner and cannot vote in place of its predecessor. The leader promotes the
// learner to a voter once it has caught up, and only then removes the
// predecessor. Membership changes one voter at a time, and only after the previous
// change and an entry of the leader's own term are committed. With dynamic
// membership, any replica may join, and the leader removes unresponsive voters in
// excess of the target number.
//
// Elections start with a pre-vote, and voters refuse candidates while they are in
// contact with a leader, so an isolated replica does not disrupt the group when
// it reconnects. A leader that receives no replies from a majority steps down.
//
// A disk may refuse writes for a while, for example because it is full. The journal then is as
// before the write, and so is the replica. It hands over the lead and does not answer the leader,
// so that it counts neither as caught up nor as responding, until a write succeeds.
//
// One mutex guards the log and the role of a replica and is held while the
// journal is synced; commands that arrive in the meantime are written and synced
// as one batch. A second mutex guards the state machines. A replica runs one
// goroutine for each peer that it replicates to, and one each for writing
// batches, applying entries, election timing and membership changes.
package replicator
