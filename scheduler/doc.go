// Package scheduler pairs prefill with decode: it decides when and on which
// engines each request runs.
//
// A pool's engines of one data centre are divided into cells of up to
// [CellEngines] engines. One live instance owns each cell; it keeps the ledger
// of the cell's decode memory and the queue of jobs that wait for it, so its
// decisions need no agreement. Ownership follows rendezvous hashing over the
// live instances of the data centre. Two owners for a moment cost efficiency
// and not correctness, because an engine refuses what does not fit.
//
// A [Cell] starts a prefill only when decode memory is in hand, or when it
// predicts a release before the prefill result is dropped; the pool's
// early_start sets how far ahead. A job whose predicted first token misses its
// deadline is refused before it touches an engine, with a time to retry that
// follows from the queue in front. Patient jobs age and are never refused.
//
// Every instance has a [Router], which finds the owner of a cell, passes jobs to
// another data centre when that still meets the deadline, and keeps the owners
// informed of the grants that this instance holds.
package scheduler
