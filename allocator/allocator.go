// Package allocator tracks the memory of one decode engine: the number of memory pieces
// that each grant holds. Only memory that the owner of the engine's cell has recorded is
// counted; the engine itself still rejects requests that exceed its memory.
package allocator

import "github.com/figseam/figseam"

// Allocator tracks the grants of one engine. It is not safe for concurrent use; the cell
// that owns the engine serialises access.
type Allocator struct {
	totalPieces int
	slots       int
	usedPieces  int
	grants      map[figseam.GrantID]int
}

// New returns an allocator without grants for an engine with a number of memory pieces
// that runs at most slots requests at once.
func New(pieces, slots int) *Allocator {
	return &Allocator{totalPieces: pieces, slots: slots, grants: map[figseam.GrantID]int{}}
}

// Fits reports whether a new grant of n pieces fits.
func (a *Allocator) Fits(n int) bool {
	return len(a.grants) < a.slots && a.usedPieces+n <= a.totalPieces
}

// Reserve records a grant of n pieces and reports whether it fits. An existing grant is
// left unchanged, and Reserve returns true.
func (a *Allocator) Reserve(id figseam.GrantID, n int) bool {
	if _, ok := a.grants[id]; ok {
		return true
	}
	if !a.Fits(n) {
		return false
	}
	a.ForceReserve(id, n)
	return true
}

// ForceReserve records a grant of n pieces even if it does not fit, since the engine may
// already hold the memory: for a grant of an earlier owner, or for an attempt without a
// grant. An existing grant is resized to n pieces.
func (a *Allocator) ForceReserve(id figseam.GrantID, n int) {
	a.usedPieces += n - a.grants[id]
	a.grants[id] = n
}

// Release frees a grant. It has no effect on an unknown grant.
func (a *Allocator) Release(id figseam.GrantID) {
	a.usedPieces -= a.grants[id]
	delete(a.grants, id)
}

// Resize sets the limits, for example after a change of the configuration. Grants that no
// longer fit are kept until they are released.
func (a *Allocator) Resize(pieces, slots int) {
	a.totalPieces, a.slots = pieces, slots
}

// UsedPieces returns the number of pieces held by grants.
func (a *Allocator) UsedPieces() int { return a.usedPieces }

// TotalPieces returns the number of pieces of the engine.
func (a *Allocator) TotalPieces() int { return a.totalPieces }

// GrantCount returns the number of grants.
func (a *Allocator) GrantCount() int { return len(a.grants) }

// MaxNewGrants returns the number of further grants of n pieces that fit.
func (a *Allocator) MaxNewGrants(n int) int {
	return max(0, min(a.slots-len(a.grants), (a.totalPieces-a.usedPieces)/max(1, n)))
}
