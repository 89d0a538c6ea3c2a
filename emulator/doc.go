// Package emulator emulates the systems around figseam for tests and load runs:
// model engines with separate prefill and decode roles, plain services, the
// platform's list, and a disk. The network services implement the HTTP protocols
// of packages dialer and watcher.
//
// Engines run in real time. A prefill engine computes one prompt at a time at a
// fixed rate in tokens per second, skips the tokens in its prefix cache, and keeps
// a result for a fixed time. A decode engine produces one token for each running
// sequence per step; the duration of a step grows with the number of sequences.
// Memory is counted in pieces of a fixed number of tokens. The transfers from a prefill
// engine share its link and run one after another.
package emulator
