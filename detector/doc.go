// Package detector finds out which instances and endpoints live and which are
// leaving.
//
// Instances probe one another in the manner of SWIM: each probes one instance of
// its data centre at fixed intervals, in random order, asks two others to try
// when there is no answer, then suspects it, and declares it dead unless it
// refutes the suspicion in time. Now and then it probes an instance of another
// data centre. What is learned travels on the probes, a bounded number of
// updates each, so that the cost per instance does not grow with their number.
// Digests that are exchanged at longer intervals repair what was missed.
package detector
