// Package replicator is figseam's replicated log, in the style of Raft: a
// majority of voters agrees on a sequence of commands, which every replica
// applies to the same state machines.
//
// A replica is named by the identity of its data folder and not by its instance.
// An emptied folder is a new replica: it joins as a learner and cannot vote on
// behalf of what was there before. The leader makes it a voter once it has
// caught up, and only then removes the replica that it replaces; one voter
// changes at a time, and only after an entry of the leader's own term is
// committed.
//
// A candidate first asks for votes that bind nobody, and nobody votes against a
// leader that was heard of lately, so an isolated replica that returns deposes
// nobody. A leader that a majority does not answer steps down.
//
// Every replica guards its state by one mutex and holds it while it syncs the
// journal. Commands that arrive meanwhile are synced together. One task sends to
// each peer, one applies, one watches the time.
package replicator
