// Package selector decides which endpoint of a service receives a request.
//
// The decision is a function of a snapshot: the requests that this and other instances
// have in flight at each endpoint, the load that endpoints report in their responses, and
// the outcomes of recent requests. The function reads no clock and sends nothing. A small
// random cost separates equal endpoints, so that instances that cannot reach each other do
// not all choose the same one.
//
// Load patterns that it handles: bursts (the endpoint with the least work in flight is
// chosen, and requests are refused before the capacity of an endpoint is exhausted),
// endpoints that fail some requests while they seem healthy (a failure rate counts against
// an endpoint as far as it exceeds the median of the service), and endpoints that stop
// responding (requests in flight that wait unusually long for a response count against
// the endpoint at once).
package selector
