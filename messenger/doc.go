// Package messenger exchanges messages between instances: CBOR over WebSocket.
//
// Each instance dials the peers that it calls, so a connection carries the calls of one
// side and the replies to them. One goroutine writes and one reads on each connection.
// Heartbeats detect connections that a network partition left half open, queues are
// bounded, and every call ends at its context's deadline.
package messenger
