// Package scheduler decides when each model request runs, and on which prefill and decode
// engine.
//
// A pool's engines of one data centre are divided into cells of up to about
// [TargetCellEngines] engines. One live instance owns each cell. It keeps the ledger of
// the cell's decode memory and the queue of jobs that wait for memory, so a placement
// needs no consensus. Owners are chosen by rendezvous hashing over the live instances of
// the data centre. Two owners at the same time reduce efficiency but do not affect
// correctness, because an engine refuses jobs that do not fit.
//
// A grant is the reservation of a prefill engine and of decode memory for one job. The
// instance that runs the job holds the grant and renews its lease.
//
// A [Cell] starts a prefill only when decode memory is free, or when it predicts that
// memory is released before the prefill result expires. The pool's early_start setting
// is the fraction of the result's lifetime that may pass before the predicted release.
// A job whose predicted first token misses its deadline is refused before it is sent to
// an engine, with a retry time that follows from the predicted lateness. Jobs without a
// deadline become due after a fixed time and are never refused for load.
//
// Every instance has a [Router], which finds the owner of a cell, places jobs in another
// data centre while that still meets the deadline, and reports the grants that this
// instance holds to their cells' owners.
package scheduler
