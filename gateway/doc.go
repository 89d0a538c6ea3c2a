// Package gateway is the HTTP adapter to callers and operators.
//
// Callers of models use the OpenAI API: chat completions and completions,
// streamed or whole, and the list of models. Callers of plain services use
// /{service}/…, with Idempotency-Key. Every refusal carries the header
// Figseam-Outcome (not_run, unknown or done) and, when waiting helps,
// Retry-After. Model refusals have that API's error envelope; service refusals
// are RFC 9457 problems.
package gateway
