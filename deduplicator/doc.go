// Package deduplicator guards calls to plain services that must not be repeated.
//
// A call is claimed before it is sent: the replicated log holds key, digest of
// the request, holder and fencing number. The answer is stored there before the
// caller sees it. The same key then gets the stored answer, or learns that the
// call is in progress, or that it may have run because its holder was lost.
//
// The claim is the last step before sending; the connection to the endpoint is
// open by then. So the time in which a holder's death leaves the outcome unknown
// is as short as it can be: a second agreed step between claim and sending would
// only move it.
//
// A claim names an hour by the log's own clock until which it is kept,
// [RetentionMillis] after it was made. The number of claims and the bytes of
// stored answers are bounded; when the claims are full, new ones are refused as
// not run, and when answers are too many the oldest bodies are dropped, after
// which a repeated key is told that the call is done.
package deduplicator
