// Package allocator keeps the ledger of one decode engine's memory: which
// grants hold how many pieces. The ledger is exact for what its owner granted;
// the engine itself still refuses what does not fit.
package allocator

import "github.com/figseam/figseam"

// Ledger counts the grants of one engine. It is not safe for concurrent use;
// the cell that owns the engine guards it.
type Ledger struct {
	pieces int
	slots  int
	used   int
	held   map[figseam.GrantID]int
}

// NewLedger returns an empty ledger for an engine with a number of memory
// pieces, which runs at most slots requests at once.
func NewLedger(pieces, slots int) *Ledger {
	return &Ledger{pieces: pieces, slots: slots, held: map[figseam.GrantID]int{}}
}

// Fits reports whether a new grant of n pieces can be given.
func (l *Ledger) Fits(n int) bool {
	return len(l.held) < l.slots && l.used+n <= l.pieces
}

// Take gives a grant of n pieces if it fits. Taking a held grant again changes
// nothing.
func (l *Ledger) Take(id figseam.GrantID, n int) bool {
	if _, ok := l.held[id]; ok {
		return true
	}
	if !l.Fits(n) {
		return false
	}
	l.Adopt(id, n)
	return true
}

// Adopt records a grant that an earlier owner gave, whether it fits or not.
func (l *Ledger) Adopt(id figseam.GrantID, n int) {
	l.used += n - l.held[id]
	l.held[id] = n
}

// Free takes a grant back. Freeing an unknown grant changes nothing.
func (l *Ledger) Free(id figseam.GrantID) {
	l.used -= l.held[id]
	delete(l.held, id)
}

// Resize changes the limits, for example after a change of configuration.
// Grants that no longer fit stay until they are freed.
func (l *Ledger) Resize(pieces, slots int) {
	l.pieces, l.slots = pieces, slots
}

// Used returns the pieces held.
func (l *Ledger) Used() int { return l.used }

// Total returns the pieces of the engine.
func (l *Ledger) Total() int { return l.pieces }

// Grants returns the number of grants held.
func (l *Ledger) Grants() int { return len(l.held) }

// FreeSlots returns how many more requests of n pieces fit.
func (l *Ledger) FreeSlots(n int) int {
	return max(0, min(l.slots-len(l.held), (l.pieces-l.used)/max(1, n)))
}
