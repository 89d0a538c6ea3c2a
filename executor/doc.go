// Package executor runs a model request through placement, prefill, transfer and decode,
// and delivers the answer as a stream of chunks. It handles failures on the way: it
// resumes broken streams, moves stalled transfers to another decode engine, and starts
// new attempts that continue after the last delivered token.
//
// However a request ends, cancels to its engines are repeated until they confirm, and
// only then is the grant released.
package executor
