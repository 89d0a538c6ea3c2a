// Package throttler keeps the requests that all instances together send to an endpoint
// within the limit that the endpoint names.
//
// An endpoint in need names in its answers how many requests a second it takes from all
// instances together. Each instance counts what it sends to such an endpoint and learns
// through the voters, with a delay, what the others sent. What remains of the limit is
// shared by chance: time is divided into slots, and in each slot an instance may send with
// a probability of its share of the remainder. The expected number of requests in a slot is
// therefore at most the remainder, although no instance knows what the others do in the
// same slot, and an instance with much work uses what others leave.
//
// An endpoint may also ask one instance for a pause. Its end is kept as a deadline by that
// instance alone.
package throttler
