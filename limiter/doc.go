// Package limiter bounds the memory that bytes from other processes can occupy: the heads
// of messages, and the bodies that are buffered before they are passed on.
//
// Load pattern: a peer that never stops sending, in a head or in a body, and many peers
// that each send as much as is allowed.
package limiter
