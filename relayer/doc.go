// Package relayer relays opaque requests to endpoints and their responses to callers.
//
// Each request gets exactly one response: either an endpoint's complete and unchanged
// response, or a refusal. A refusal states that the request did not run only if none of
// its bytes can have been sent, or if the endpoint reported that it did not run the
// request. A request that must not be repeated is retried only in these two cases.
//
// A generation has two stages: a prefill engine computes the KV cache of the prompt, and a
// decode engine fetches it and streams the response. When a resumable stream breaks, the
// same or another decode engine continues it after the last complete event that was sent
// to the caller. When any other stream breaks, the caller's connection is closed, so that
// the partial response cannot be taken for a complete one.
package relayer
