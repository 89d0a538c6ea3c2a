package lister

import (
	"slices"

	"github.com/figseam/figseam"
)

// maxHistory bounds the changes that a list remembers. An instance that is further behind
// receives the whole list.
const maxHistory = 64

// change is one change of the list: the digest before it, and the IDs of the endpoints
// that were added, removed or modified.
type change struct {
	fromDigest uint64
	ids        []string
}

// history holds the latest changes of a list, the newest last.
type history struct {
	changes []change
}

// record adds the change from one list to the next. Both are sorted by ID.
func (h *history) record(fromDigest uint64, before, after []figseam.ListedEndpoint) {
	if len(h.changes) >= maxHistory {
		h.changes = slices.Delete(h.changes, 0, 1)
	}
	h.changes = append(h.changes, change{fromDigest: fromDigest, ids: changedIDs(before, after)})
}

// changedSince returns the IDs of the endpoints that changed since the list had a digest.
// It reports false if that is not remembered.
func (h *history) changedSince(digest uint64) (map[string]bool, bool) {
	ids := map[string]bool{}
	for _, c := range slices.Backward(h.changes) {
		for _, id := range c.ids {
			ids[id] = true
		}
		if c.fromDigest == digest {
			return ids, true
		}
	}
	return nil, false
}

// changedIDs returns the IDs of the endpoints that are not the same in both lists, which
// are sorted by ID.
func changedIDs(before, after []figseam.ListedEndpoint) (ids []string) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || (len(before) > 0 && before[0].ID < after[0].ID):
			ids, before = append(ids, before[0].ID), before[1:]
		case len(before) == 0 || after[0].ID < before[0].ID:
			ids, after = append(ids, after[0].ID), after[1:]
		default:
			if before[0] != after[0] {
				ids = append(ids, before[0].ID)
			}
			before, after = before[1:], after[1:]
		}
	}
	return ids
}

// applyChanges returns a sorted list with the changed endpoints in place of those with
// their IDs, and without the removed ones.
func applyChanges(endpoints, changed []figseam.ListedEndpoint, removed []string) []figseam.ListedEndpoint {
	replaced := make(map[string]bool, len(changed)+len(removed))
	for _, e := range changed {
		replaced[e.ID] = true
	}
	for _, id := range removed {
		replaced[id] = true
	}
	all := make([]figseam.ListedEndpoint, 0, len(endpoints)+len(changed))
	for _, e := range endpoints {
		if !replaced[e.ID] {
			all = append(all, e)
		}
	}
	all = append(all, changed...)
	figseam.SortEndpoints(all)
	return all
}
