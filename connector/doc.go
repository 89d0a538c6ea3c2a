// Package connector is an HTTP/1.1 client that sends requests to endpoints over reused
// connections.
//
// Unlike the standard library's transport it never retries a request: the endpoint may
// have run a request that was sent to it, and only the code that sends the request can
// decide whether a second run is harmless. An error states whether any byte may have been
// sent. A response is accepted only if it repeats the ID of the request, and a connection
// with bytes that belong to no request is closed.
//
// It is the only reader of answers over HTTP: [Connector] is for requests whose answers repeat
// an ID, [Transport] for callers that use the client of net/http, [ReadResponse] for a connection
// with a single request. All return only responses that are well-formed and, at the end of the
// body, complete as RFC 9112 defines it; see docs/incidents/019.md.
package connector
