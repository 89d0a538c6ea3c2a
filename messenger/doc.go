// Package messenger carries typed messages between instances over WebSocket
// with CBOR.
//
// Each instance dials the peers that it calls; a connection carries the calls
// of one side and the replies to them. One task writes and one reads on each
// connection. Heartbeats find connections that a silent partition left half
// open, queues are bounded, and every call ends at its context's deadline.
package messenger
