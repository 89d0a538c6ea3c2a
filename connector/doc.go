// Package connector exchanges HTTP/1.1 requests and answers with endpoints over
// connections that it keeps.
//
// Unlike the standard library's transport it never repeats a request on its own:
// an endpoint that was sent a request may have run it, and only the caller of
// this package knows what that means. An error tells whether any byte may have
// left. An answer is taken for the request's own only if it names the request;
// a connection with a byte that belongs to no request is closed.
package connector
