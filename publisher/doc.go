// Package publisher keeps the published configuration: the agreed sequence of
// versions, every instance's copy of it, and its spread to all instances.
//
// A change names the version that it is based on and has a change number of its
// own. The replicated log applies it only to that version, so of operators who
// race one another one wins and the others learn of the conflict. A change that
// is sent again gets its first outcome for the next [KeptChanges] versions;
// after that the answer says that the outcome is forgotten.
//
// Replicas learn of a version from the log and push it to a few instances of
// their data centre, which push it on. Instances also pull from a peer that
// tells of a higher version. A copy only ever moves to higher versions.
package publisher
