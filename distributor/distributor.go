// Package distributor brings the configuration in force and the list of
// endpoints from the instances that keep them to all others.
//
// An instance follows one of the keeping instances: it asks for what is newer
// than what it has, and the answer comes as soon as there is something, or after
// a short time as a sign of life. So a change spreads in one step, and a silent
// or isolated keeper is left for another one.
package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/keeper"
	"github.com/figseam/figseam/lister"
)

const (
	// holdMillis is how long a request without news is held.
	holdMillis = 300
	// followerMillis is how long an instance counts after its last request.
	followerMillis = 20_000
)

// Request asks a keeping instance for news.
type Request struct {
	Instance   figseam.InstanceID `cbor:"1,keyasint"`
	DataCentre figseam.DataCentre `cbor:"2,keyasint"`
	// Keeps tells that the asking instance keeps the configuration itself.
	Keeps bool `cbor:"3,keyasint,omitempty"`
	// Version and Digest are what the asking instance has; Epoch is the list of
	// keepers that it has.
	Version uint64 `cbor:"4,keyasint,omitempty"`
	Digest  uint64 `cbor:"5,keyasint,omitempty"`
	// Followers are the instances that follow the asking one.
	Followers []figseam.InstanceID `cbor:"6,keyasint,omitempty"`
}

// Reply is what a keeping instance tells.
type Reply struct {
	DataCentre figseam.DataCentre `cbor:"1,keyasint"`
	// Quorum tells that the instance is in touch with a majority of the keepers.
	Quorum bool `cbor:"2,keyasint"`
	// Document is empty unless it is newer than the Request's.
	Document keeper.Document `cbor:"3,keyasint"`
	List     lister.Reading  `cbor:"4,keyasint"`
	Keepers  []Keeper        `cbor:"5,keyasint,omitempty"`
	// Followers is how many instances follow any keeper, as far as is known.
	Followers int `cbor:"6,keyasint"`
}

// Keeper is an instance that keeps the configuration.
type Keeper struct {
	Instance   figseam.InstanceID `cbor:"1,keyasint"`
	DataCentre figseam.DataCentre `cbor:"2,keyasint"`
}

// Documents is where a hub takes the configuration from.
type Documents interface {
	Current() (keeper.Document, <-chan struct{})
}

// Hub answers followers. It is safe for concurrent use.
type Hub struct {
	self      Keeper
	documents Documents
	list      *lister.List
	// quorum reports whether this instance is in touch with a majority; keepers
	// returns the members of the group.
	quorum  func() bool
	keepers func() []figseam.InstanceID

	// mu guards everything below.
	mu        sync.Mutex
	followers map[figseam.InstanceID]time.Time
	places    map[figseam.InstanceID]figseam.DataCentre
}

// NewHub returns a hub.
func NewHub(self Keeper, documents Documents, list *lister.List, quorum func() bool, keepers func() []figseam.InstanceID) *Hub {
	return &Hub{
		self: self, documents: documents, list: list, quorum: quorum, keepers: keepers,
		followers: map[figseam.InstanceID]time.Time{},
		places:    map[figseam.InstanceID]figseam.DataCentre{self.Instance: self.DataCentre},
	}
}

// Follow answers a follower when there is news for it, or after a short time.
func (h *Hub) Follow(ctx context.Context, r Request) Reply {
	h.note(r)
	timer := time.NewTimer(holdMillis * time.Millisecond)
	defer timer.Stop()
	for {
		document, newDocument := h.documents.Current()
		digest, newList := h.list.Digest()
		newer := document.Version > r.Version
		if newer || digest != r.Digest {
			return h.reply(r, document, newer)
		}
		select {
		case <-newDocument:
		case <-newList:
		case <-timer.C:
			return h.reply(r, document, false)
		case <-ctx.Done():
			return h.reply(r, document, false)
		}
	}
}

func (h *Hub) reply(r Request, d keeper.Document, newer bool) Reply {
	reply := Reply{
		DataCentre: h.self.DataCentre, Quorum: h.quorum(), List: h.list.Reading(r.Digest),
		Keepers: h.Keepers(), Followers: h.Count(),
	}
	if newer {
		reply.Document = d
	}
	return reply
}

func (h *Hub) note(r Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if r.Keeps {
		h.places[r.Instance] = r.DataCentre
	} else {
		h.followers[r.Instance] = now
	}
	for _, f := range r.Followers {
		h.followers[f] = now
	}
}

// Merge takes over what another keeper told of the others.
func (h *Hub) Merge(keepers []Keeper) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range keepers {
		if k.DataCentre != "" {
			h.places[k.Instance] = k.DataCentre
		}
	}
}

// Keepers returns the members of the group with their data centres, where known.
func (h *Hub) Keepers() []Keeper {
	instances := h.keepers()
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Keeper, 0, len(instances))
	for _, i := range instances {
		all = append(all, Keeper{Instance: i, DataCentre: h.places[i]})
	}
	return all
}

// Count returns how many instances followed any keeper lately.
func (h *Hub) Count() int { return len(h.Followers()) }

// Followers returns the instances that followed lately.
func (h *Hub) Followers() []figseam.InstanceID {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	all := make([]figseam.InstanceID, 0, len(h.followers))
	for i, at := range h.followers {
		if now.Sub(at) > followerMillis*time.Millisecond {
			delete(h.followers, i)
			continue
		}
		all = append(all, i)
	}
	return all
}
