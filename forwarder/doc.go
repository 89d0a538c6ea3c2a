// Package forwarder passes calls to plain services.
//
// An idempotent call is retried on another endpoint. A call that must not be
// repeated and has an idempotency key is claimed in the replicated log, with the
// connection to its endpoint already open, and sent once. Its answer is stored
// before the caller sees it. Such a call without a key cannot come again under
// any name, so it needs no claim: it is sent at most once by being sent by one
// instance over one connection.
//
// When no majority can be reached, claimed calls are refused as not run, but for
// services whose endpoints share a check of keys: there the key itself keeps the
// call from running twice.
package forwarder
