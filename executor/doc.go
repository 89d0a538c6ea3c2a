// Package executor carries one model request through placement, prefill,
// transfer and decode to a stream of chunks, and repairs what breaks on the way:
// it resumes broken streams, moves stalled transfers, and starts new attempts
// behind what the caller already has.
//
// Whatever way a request ends, its engines are told to free its memory until
// they confirm, and only then is the grant given back.
package executor
