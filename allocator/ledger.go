// Package allocator keeps the ledger of one decode engine's memory: which
// grants hold how many pieces. The ledger is exact for what its owner granted;
// the engine itself still refuses what does not fit.
package allocator

import "github.com/figseam/figseam"

// Allocator counts the grants of one engine. It is not safe for concurrent use;
// the cell that owns the engine guards it.
type Allocator struct {
	pieces int
	slots  int
	used   int
	held   map[figseam.GrantID]int
}

// New returns an empty ledger for an engine with a number of memory
// pieces, which runs at most slots requests at once.
func New(pieces, slots int) *Allocator {
	return &Allocator{pieces: pieces, slots: slots, held: map[figseam.GrantID]int{}}
}

// Fits reports whether a new grant of n pieces can be given.
func (l *Allocator) Fits(n int) bool {
	return len(l.held) < l.slots && l.used+n <= l.pieces
}

// Reserve gives a grant of n pieces if it fits. Taking a held grant again changes
// nothing.
func (l *Allocator) Reserve(id figseam.GrantID, n int) bool {
	if _, ok := l.held[id]; ok {
		return true
	}
	if !l.Fits(n) {
		return false
	}
	l.ForceReserve(id, n)
	return true
}

// ForceReserve records a grant that an earlier owner gave, whether it fits or not.
func (l *Allocator) ForceReserve(id figseam.GrantID, n int) {
	l.used += n - l.held[id]
	l.held[id] = n
}

// Release takes a grant back. Freeing an unknown grant changes nothing.
func (l *Allocator) Release(id figseam.GrantID) {
	l.used -= l.held[id]
	delete(l.held, id)
}

// Resize changes the limits, for example after a change of configuration.
// Grants that no longer fit stay until they are freed.
func (l *Allocator) Resize(pieces, slots int) {
	l.pieces, l.slots = pieces, slots
}

// UsedPieces returns the pieces held.
func (l *Allocator) UsedPieces() int { return l.used }

// TotalPieces returns the pieces of the engine.
func (l *Allocator) TotalPieces() int { return l.pieces }

// GrantCount returns the number of grants held.
func (l *Allocator) GrantCount() int { return len(l.held) }

// MaxNewGrants returns how many more requests of n pieces fit.
func (l *Allocator) MaxNewGrants(n int) int {
	return max(0, min(l.slots-len(l.held), (l.pieces-l.used)/max(1, n)))
}
