// Package selector decides which endpoint of a service takes a request.
//
// The decision is a function of a snapshot: what this instance has under way at
// each endpoint, what endpoints said of their load in their answers, and how
// their last answers ended. It reads no clock and sends nothing. Two of the
// best-looking endpoints are compared, the first drawn by lot among equals, so
// that instances which cannot see each other do not all pick the same one.
//
// Load patterns that it answers: bursts (the least work under way is taken, and
// requests are refused before an endpoint's places are all taken), endpoints
// that fail some requests while they seem healthy (the share of failures counts
// against the endpoint, and only against what the service's other endpoints
// show), and endpoints that fall silent (work that waits unusually long without
// any answer counts against them at once).
package selector
