// Package distributor distributes the current configuration and the list of endpoints
// from the voters, which store the configuration, to all other instances.
//
// An instance subscribes to one voter by long polling: each request names the versions
// that the instance has, and the voter replies as soon as it has a newer one, or after a
// short time as a heartbeat. A change thus reaches every instance in one hop, and an
// instance fails over from a voter that is unresponsive or without a quorum to another.
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
	// longPollMillis bounds the time for which a poll waits for a newer configuration or
	// another list.
	longPollMillis = 300
	// subscriberExpiryMillis is the time after its last request for which an instance
	// counts as a subscriber.
	subscriberExpiryMillis = 20_000
	// leaderCountExpiryMillis is the time for which the leader's number of subscribers counts at
	// another voter, which polls it several times a second.
	leaderCountExpiryMillis = 2000
)

// PollRequest is a request to a voter for a newer configuration or another list.
type PollRequest struct {
	Instance   figseam.InstanceID `cbor:"1,keyasint"`
	DataCentre figseam.DataCentre `cbor:"2,keyasint"`
	// IsVoter reports whether the requesting instance is a voter itself.
	IsVoter bool `cbor:"3,keyasint,omitempty"`
	// ConfigVersion and ListDigest identify the configuration and the list that the
	// requesting instance has.
	ConfigVersion uint64 `cbor:"4,keyasint,omitempty"`
	ListDigest    uint64 `cbor:"5,keyasint,omitempty"`
	// Subscribers are the subscribers of the requesting instance, if that is a voter.
	Subscribers []figseam.InstanceID `cbor:"6,keyasint,omitempty"`
	// AcceptsChanges reports whether the requesting instance can merge the changes of a
	// list. Instances of versions before 0.5 need whole lists.
	AcceptsChanges bool `cbor:"7,keyasint,omitempty"`
	// StatusOnly requests a reply at once that holds neither a configuration nor endpoints.
	StatusOnly bool `cbor:"8,keyasint,omitempty"`
}

// PollReply is the reply of a voter.
type PollReply struct {
	DataCentre figseam.DataCentre `cbor:"1,keyasint"`
	// HasQuorum reports whether the voter is connected to a majority of the voters.
	HasQuorum bool `cbor:"2,keyasint"`
	// Document is empty unless its version is higher than the request's.
	Document keeper.Document `cbor:"3,keyasint"`
	List     lister.Snapshot `cbor:"4,keyasint"`
	Voters   []Voter         `cbor:"5,keyasint,omitempty"`
	// SubscriberCount is the number of subscribers of all voters that the replying voter
	// has recorded.
	SubscriberCount int `cbor:"6,keyasint"`
	// ConfigVersion is the version that the voter has. Versions before 0.5 do not set it.
	ConfigVersion uint64 `cbor:"7,keyasint,omitempty"`
}

// Voter is an instance that stores the configuration and votes on its changes.
type Voter struct {
	Instance   figseam.InstanceID `cbor:"1,keyasint"`
	DataCentre figseam.DataCentre `cbor:"2,keyasint"`
}

// DocumentSource provides the current configuration and a channel that is closed when a
// newer one is available.
type DocumentSource interface {
	Current() (keeper.Document, <-chan struct{})
}

// Server replies to subscribers. It is safe for concurrent use.
type Server struct {
	self      Voter
	documents DocumentSource
	list      *lister.EndpointList
	// hasQuorum reports whether this voter is connected to a majority of the voters;
	// voterIDs returns the IDs of all voters.
	hasQuorum func() bool
	voterIDs  func() []figseam.InstanceID

	// mu guards everything below.
	mu sync.Mutex
	// subscribers holds the time of each subscriber's last request to this voter, or of
	// the last report about it by another voter.
	subscribers map[figseam.InstanceID]time.Time
	dataCentres map[figseam.InstanceID]figseam.DataCentre
	// leaderCount is the number of subscribers that the leader named at leaderCountAt.
	leaderCount   int
	leaderCountAt time.Time
}

// NewServer returns the server of a voter. hasQuorum reports whether the voter is
// connected to a majority of the voters; voterIDs returns the IDs of all voters.
func NewServer(self Voter, documents DocumentSource, list *lister.EndpointList, hasQuorum func() bool, voterIDs func() []figseam.InstanceID) *Server {
	return &Server{
		self: self, documents: documents, list: list, hasQuorum: hasQuorum, voterIDs: voterIDs,
		subscribers: map[figseam.InstanceID]time.Time{},
		dataCentres: map[figseam.InstanceID]figseam.DataCentre{self.Instance: self.DataCentre},
	}
}

// Poll returns once there is a newer configuration than the request names or a list with
// another digest, after longPollMillis, or at the end of ctx. It returns at once if only
// the status is requested.
func (h *Server) Poll(ctx context.Context, r PollRequest) PollReply {
	h.recordPoll(r)
	timer := time.NewTimer(longPollMillis * time.Millisecond)
	defer timer.Stop()
	for {
		document, documentChanged := h.documents.Current()
		digest, listChanged := h.list.Digest()
		newer := document.Version > r.ConfigVersion
		if r.StatusOnly {
			return h.status(document.Version)
		}
		if newer || digest != r.ListDigest {
			return h.reply(r, document, newer)
		}
		select {
		case <-documentChanged:
		case <-listChanged:
		case <-timer.C:
			return h.reply(r, document, false)
		case <-ctx.Done():
			return h.reply(r, document, false)
		}
	}
}

func (h *Server) reply(r PollRequest, d keeper.Document, newer bool) PollReply {
	reply := h.status(d.Version)
	if r.AcceptsChanges {
		reply.List = h.list.Changes(r.ListDigest)
	} else {
		reply.List = h.list.Snapshot(r.ListDigest)
	}
	if newer {
		reply.Document = d
	}
	return reply
}

// status returns a reply without a configuration and without endpoints.
func (h *Server) status(configVersion uint64) PollReply {
	return PollReply{
		DataCentre: h.self.DataCentre, HasQuorum: h.hasQuorum(), List: h.list.Metadata(),
		Voters: h.Voters(), SubscriberCount: h.SubscriberCount(), ConfigVersion: configVersion,
	}
}

// recordPoll records the sender's data centre if the sender is a voter, and otherwise the
// sender as a subscriber. It also records the subscribers that a voter reports.
func (h *Server) recordPoll(r PollRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if r.IsVoter {
		h.dataCentres[r.Instance] = r.DataCentre
	} else {
		h.subscribers[r.Instance] = now
	}
	for _, id := range r.Subscribers {
		h.subscribers[id] = now
	}
}

// MergeReply records the data centres of the voters and the number of subscribers in a reply of
// the leader, to which all voters report theirs.
func (h *Server) MergeReply(r PollReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range r.Voters {
		if v.DataCentre != "" {
			h.dataCentres[v.Instance] = v.DataCentre
		}
	}
	h.leaderCount, h.leaderCountAt = r.SubscriberCount, time.Now()
}

// Voters returns all voters with their data centres, which are empty where unknown.
func (h *Server) Voters() []Voter {
	ids := h.voterIDs()
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Voter, 0, len(ids))
	for _, id := range ids {
		all = append(all, Voter{Instance: id, DataCentre: h.dataCentres[id]})
	}
	return all
}

// SubscriberCount returns the number of subscribers of all voters: that of the leader, or that
// of [Server.Subscribers] if it is higher or the leader has not named one recently. Instances
// divide allowances by it, so the higher number is the safe one.
func (h *Server) SubscriberCount() int {
	own := len(h.Subscribers())
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.leaderCountAt) > leaderCountExpiryMillis*time.Millisecond {
		return own
	}
	return max(own, h.leaderCount)
}

// Subscribers returns the instances that polled this voter within
// subscriberExpiryMillis, and those that other voters reported within it.
func (h *Server) Subscribers() []figseam.InstanceID {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	all := make([]figseam.InstanceID, 0, len(h.subscribers))
	for id, at := range h.subscribers {
		if now.Sub(at) > subscriberExpiryMillis*time.Millisecond {
			delete(h.subscribers, id)
			continue
		}
		all = append(all, id)
	}
	return all
}
