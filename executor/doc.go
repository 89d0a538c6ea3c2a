// Package executor runs a model request through placement, prefill, transfer and decode,
// and delivers the answer as a stream of chunks. It handles failures on the way: it
// resumes broken streams, moves stalled transfers to another decode engine, and starts
// new attempts that continue after the last delivered token.
//
// If an attempt does not finish, cancel requests to its engines are repeated until the
// engines confirm. Its grant is released when the last decode engine has confirmed, or at
// once if the attempt was sent to no decode engine.
package executor
