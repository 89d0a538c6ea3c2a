// Package gateway implements the HTTP interfaces for callers and operators.
//
// Callers of models use the OpenAI API: chat completions and completions, streamed or
// in one response, and the list of models. Callers of other services use /{service}/…
// with an optional Idempotency-Key header. Every refusal carries the header
// Figseam-Outcome (not_run, unknown or done) and, if a later retry can succeed,
// Retry-After. Refusals of model requests use the error envelope of the OpenAI API;
// refusals of service calls are RFC 9457 problem details. A refusal after a stream has
// started is the last event of the stream and has no headers; the connection is then closed
// without the end of the response, which is not complete.
package gateway
