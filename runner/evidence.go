package runner

import (
	"context"
	"math/rand/v2"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/detector"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/quarantiner"
)

// evidenceIntervalMillis is the interval at which an instance sends others the new evidence
// against prompts that crash engines.
const evidenceIntervalMillis = 100

// evidenceGossiper sends the evidence of an instance to others. It must not be used
// concurrently.
type evidenceGossiper struct {
	quarantine  *quarantiner.Quarantine
	broadcaster *quarantiner.Broadcaster
	members     *detector.MemberList
	messenger   *messenger.Messenger
	resolve     func(figseam.InstanceID) string
}

// send sends new evidence to all instances of the data centre and to one of each other data
// centre, which passes it on. At intervals it sends all evidence to a random instance, since
// messages may be lost.
func (g *evidenceGossiper) send(context.Context) {
	evidence, whole := g.broadcaster.Next()
	if whole {
		g.quarantine.EvictExpired()
	}
	if len(evidence) == 0 {
		return
	}
	targets := g.targets()
	if whole && len(targets) > 0 {
		targets = []figseam.InstanceID{targets[rand.IntN(len(targets))]}
	}
	for _, id := range targets {
		messenger.Send(g.messenger, g.resolve(id), kindPeerEvidence, evidence)
	}
}

// targets returns the other instances of the data centre and a random one of each other data
// centre.
func (g *evidenceGossiper) targets() []figseam.InstanceID {
	self := g.members.Self()
	var targets []figseam.InstanceID
	remote := map[figseam.DataCentre][]figseam.InstanceID{}
	for _, m := range g.members.Members() {
		switch {
		case m.ID == self.ID:
		case m.DataCentre == self.DataCentre:
			targets = append(targets, m.ID)
		default:
			remote[m.DataCentre] = append(remote[m.DataCentre], m.ID)
		}
	}
	for _, ids := range remote {
		targets = append(targets, ids[rand.IntN(len(ids))])
	}
	return targets
}

// handleEvidence registers the handler of evidence that other instances send.
func handleEvidence(m *messenger.Messenger, q *quarantiner.Quarantine) {
	messenger.Handle(m, kindPeerEvidence, func(_ context.Context, _ figseam.InstanceID, all []quarantiner.Evidence) (emptyReply, error) {
		q.Merge(all)
		return emptyReply{}, nil
	})
}
