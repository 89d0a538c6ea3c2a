// Package relayer carries opaque requests to endpoints and their answers back.
//
// It answers each request once: with an endpoint's answer, whole and unchanged,
// or with a refusal that is true. A request of which a byte may have left is
// never refused as not run unless the endpoint said so. One that must not be
// repeated is sent again only after the endpoint proved that it did not run it.
//
// A generation takes two steps, on a prefill engine and on a decode engine that
// fetches the result. A resumable stream that breaks goes on at another decode
// engine behind the last whole event that the caller got; any other stream that
// breaks ends the caller's connection, so that it cannot be taken for complete.
package relayer
