// Package publisher manages the published configuration: the committed sequence of
// versions, the copy that each instance holds, and its distribution to all instances by
// gossip.
//
// A change carries a unique ID and the version that it is based on. The replicated log
// applies it only to that version, so of several concurrent changes one is applied and
// the others get a conflict. A change that is sent again gets its first result for the
// next [RetainedChanges] versions; after that, the result reports that the record has
// expired.
//
// Replicas of the log apply a version first and push it to a few instances of their data
// centre, which push it to others in turn. Instances also pull from peers that report a
// higher version. A copy only ever moves to higher versions.
package publisher
