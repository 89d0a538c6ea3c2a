// Package deduplicator ensures that calls to plain services that are not idempotent run at
// most once.
//
// A call is claimed before it is sent: the replicated log stores the idempotency key, the
// digest of the request, the holder of the claim and a fencing token. The response is
// stored there before it is returned to the caller. A repeated call with the same key gets
// the stored response, or a refusal that the call is in progress or, if the holder was
// lost, that it may have run.
//
// The claim is the last step before sending; by then the connection to the endpoint is
// open. This keeps the time in which a crash of the holder leaves the outcome unknown as
// short as possible. A second committed step between claim and sending would only shift
// that time, not shorten it.
//
// A claim expires [RetentionMillis] after it was made, by the clock of the log. The number
// of claims and the total size of stored responses are bounded. At the limit of claims, new
// ones are refused as not run. At the limit of bytes, the oldest responses are evicted; a
// repeated call then gets the result that the call has completed, without its response.
package deduplicator
