// Package emulator holds stand-ins for what surrounds figseam: model engines
// with separate prefill and decode roles, plain services, and the platform's
// list. They speak the protocols of packages dialer and watcher over HTTP.
//
// An engine works in real time. A prefill engine serves one prompt at a time at
// a fixed rate in tokens per second, skips what its prefix cache holds, and
// keeps a result for a fixed time. A decode engine produces one token for every
// running request in each step; a step takes longer with more of them. Memory
// is counted in pieces. A transfer occupies the prefill engine's link.
package emulator
