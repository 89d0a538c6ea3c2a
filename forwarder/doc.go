// Package forwarder forwards calls to plain services.
//
// Calls on an idempotent route are retried on other endpoints. Other calls run at most
// once. If such a call has an idempotency key, it is claimed in the replicated log after
// the connection to its endpoint has been opened, and is sent once. The response is stored
// before it is returned to the caller. A call without a key needs no claim, since it
// cannot be recognised as a repetition of another call: the instance that received it
// sends it once, over one connection.
//
// Without a majority of voters, claimed calls are refused as not run. Services whose
// endpoints share a check of idempotency keys are an exception: the check itself prevents
// a second execution, so their calls are sent without a claim.
package forwarder
