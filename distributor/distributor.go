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

// PollRequest asks a keeping instance for news.
type PollRequest struct {
	Instance   figseam.InstanceID `cbor:"1,keyasint"`
	DataCentre figseam.DataCentre `cbor:"2,keyasint"`
	// IsVoter tells that the asking instance keeps the configuration itself.
	IsVoter bool `cbor:"3,keyasint,omitempty"`
	// ConfigVersion and Digest are what the asking instance has; Epoch is the list of
	// keepers that it has.
	ConfigVersion uint64 `cbor:"4,keyasint,omitempty"`
	ListDigest    uint64 `cbor:"5,keyasint,omitempty"`
	// Subscribers are the instances that follow the asking one.
	Subscribers []figseam.InstanceID `cbor:"6,keyasint,omitempty"`
}

// PollReply is what a keeping instance tells.
type PollReply struct {
	DataCentre figseam.DataCentre `cbor:"1,keyasint"`
	// HasQuorum tells that the instance is in touch with a majority of the keepers.
	HasQuorum bool `cbor:"2,keyasint"`
	// Document is empty unless it is newer than the Request's.
	Document keeper.Document `cbor:"3,keyasint"`
	List     lister.Snapshot `cbor:"4,keyasint"`
	Voters   []Voter         `cbor:"5,keyasint,omitempty"`
	// SubscriberCount is how many instances follow any keeper, as far as is known.
	SubscriberCount int `cbor:"6,keyasint"`
}

// Voter is an instance that keeps the configuration.
type Voter struct {
	Instance   figseam.InstanceID `cbor:"1,keyasint"`
	DataCentre figseam.DataCentre `cbor:"2,keyasint"`
}

// DocumentSource is where a hub takes the configuration from.
type DocumentSource interface {
	Current() (keeper.Document, <-chan struct{})
}

// Server answers followers. It is safe for concurrent use.
type Server struct {
	self      Voter
	documents DocumentSource
	list      *lister.EndpointList
	// quorum reports whether this instance is in touch with a majority; keepers
	// returns the members of the group.
	quorum  func() bool
	keepers func() []figseam.InstanceID

	// mu guards everything below.
	mu        sync.Mutex
	followers map[figseam.InstanceID]time.Time
	places    map[figseam.InstanceID]figseam.DataCentre
}

// NewServer returns a hub.
func NewServer(self Voter, documents DocumentSource, list *lister.EndpointList, quorum func() bool, keepers func() []figseam.InstanceID) *Server {
	return &Server{
		self: self, documents: documents, list: list, quorum: quorum, keepers: keepers,
		followers: map[figseam.InstanceID]time.Time{},
		places:    map[figseam.InstanceID]figseam.DataCentre{self.Instance: self.DataCentre},
	}
}

// Poll answers a follower when there is news for it, or after a short time.
func (h *Server) Poll(ctx context.Context, r PollRequest) PollReply {
	h.note(r)
	timer := time.NewTimer(holdMillis * time.Millisecond)
	defer timer.Stop()
	for {
		document, newDocument := h.documents.Current()
		digest, newList := h.list.Digest()
		newer := document.Version > r.ConfigVersion
		if newer || digest != r.ListDigest {
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

func (h *Server) reply(r PollRequest, d keeper.Document, newer bool) PollReply {
	reply := PollReply{
		DataCentre: h.self.DataCentre, HasQuorum: h.quorum(), List: h.list.Snapshot(r.ListDigest),
		Voters: h.Voters(), SubscriberCount: h.SubscriberCount(),
	}
	if newer {
		reply.Document = d
	}
	return reply
}

func (h *Server) note(r PollRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if r.IsVoter {
		h.places[r.Instance] = r.DataCentre
	} else {
		h.followers[r.Instance] = now
	}
	for _, f := range r.Subscribers {
		h.followers[f] = now
	}
}

// MergeVoters takes over what another keeper told of the others.
func (h *Server) MergeVoters(keepers []Voter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range keepers {
		if k.DataCentre != "" {
			h.places[k.Instance] = k.DataCentre
		}
	}
}

// Voters returns the members of the group with their data centres, where known.
func (h *Server) Voters() []Voter {
	instances := h.keepers()
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Voter, 0, len(instances))
	for _, i := range instances {
		all = append(all, Voter{Instance: i, DataCentre: h.places[i]})
	}
	return all
}

// SubscriberCount returns how many instances followed any keeper lately.
func (h *Server) SubscriberCount() int { return len(h.Subscribers()) }

// Subscribers returns the instances that followed lately.
func (h *Server) Subscribers() []figseam.InstanceID {
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
