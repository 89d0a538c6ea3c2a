// Package detector detects which instances are alive, leaving or failed, and which
// endpoints are live, draining or down.
//
// Failure detection of instances follows the SWIM protocol. At fixed intervals, each
// instance probes one instance of its data centre, in random order. If there is no
// response, it requests indirect probes from two other instances. If these fail as well,
// the instance is suspected, and declared dead unless it refutes the suspicion in time.
// Instances of other data centres are probed less often. Membership updates are piggybacked
// on the probes, a bounded number per message, so that the cost per instance does not grow
// with the number of instances. At longer intervals, instances compare digests of their
// member lists to repair updates that were lost.
package detector
