package detector

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
)

const (
	// probeIntervalMillis is the delay between two probe rounds of an instance.
	probeIntervalMillis = 500
	// probeTimeoutMillis bounds a probe of an instance of this data centre.
	// remoteProbeTimeoutMillis bounds a probe of an instance of another data centre, and
	// every comparison of digests.
	probeTimeoutMillis       = 300
	remoteProbeTimeoutMillis = 1000
	// indirectProbes is the number of indirect probes after a failed probe.
	indirectProbes = 2
	// roundsPerRemoteProbe is the number of rounds per probe of another data centre.
	roundsPerRemoteProbe = 4
	// roundsPerSync is the number of rounds per comparison of digests.
	roundsPerSync = 20
	// roundsPerSeedSync is the number of rounds per check of a seed.
	roundsPerSeedSync = 6
)

// ProbeRequest is a probe. It carries membership updates to the receiver.
type ProbeRequest struct {
	Updates []figseam.Member `cbor:"1,keyasint"`
	// Digest is the digest of the sender's member list, or 0. The receiver returns its full
	// list if its own digest differs.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Target is the instance that the receiver is to probe on behalf of the sender, or empty.
	Target figseam.InstanceID `cbor:"3,keyasint,omitempty"`
}

// ProbeReply is the response to a [ProbeRequest]. It carries membership updates to the
// sender of the probe.
type ProbeReply struct {
	Updates []figseam.Member `cbor:"1,keyasint"`
	// TargetReached reports whether the target of an indirect probe responded.
	TargetReached bool `cbor:"2,keyasint,omitempty"`
}

// Prober sends probes.
type Prober interface {
	// Probe sends a probe to the instance at an address and waits for the response.
	Probe(ctx context.Context, address string, p ProbeRequest) (ProbeReply, error)
}

// Detector probes other instances and responds to their probes.
type Detector struct {
	members    *MemberList
	prober     Prober
	seeds      []string
	log        zerolog.Logger
	probeQueue []figseam.Member
	round      int
}

// New returns a detector that joins the other instances through the addresses in seeds.
func New(members *MemberList, prober Prober, seeds []string, log zerolog.Logger) *Detector {
	return &Detector{members: members, prober: prober, seeds: seeds, log: log}
}

// Run starts to probe other instances in the background, until ctx is done. The returned
// channel is closed when it has stopped.
func (d *Detector) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, seed := range d.seeds {
			d.syncWith(ctx, seed)
		}
		ticker := time.NewTicker(milliseconds(probeIntervalMillis))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			d.members.expire()
			d.members.trimEndedRuns()
			d.runRound(ctx)
		}
	}()
	return done
}

// runRound sends the probes of one round.
func (d *Detector) runRound(ctx context.Context) {
	d.round++
	if m, ok := d.nextLocal(); ok {
		d.probe(ctx, m)
	}
	if d.round%roundsPerRemoteProbe == 0 {
		if m, ok := d.randomMember(false); ok {
			d.probeRemote(ctx, m)
		}
	}
	if d.round%roundsPerSync == 0 {
		if m, ok := d.randomMember(rand.IntN(2) == 0); ok {
			d.syncWith(ctx, m.Address)
		}
	}
	if d.round%roundsPerSeedSync == 0 {
		d.syncWithSeed(ctx)
	}
}

// nextLocal returns the next instance of this data centre to probe. Each pass over the
// instances has a new random order.
func (d *Detector) nextLocal() (figseam.Member, bool) {
	for range 2 {
		for len(d.probeQueue) > 0 {
			m := d.probeQueue[0]
			d.probeQueue = d.probeQueue[1:]
			if current, ok := d.members.Find(m.ID); ok {
				return current, true
			}
		}
		d.probeQueue = d.otherMembers(true)
		rand.Shuffle(len(d.probeQueue), func(i, j int) { d.probeQueue[i], d.probeQueue[j] = d.probeQueue[j], d.probeQueue[i] })
	}
	return figseam.Member{}, false
}

// otherMembers returns the other members of this data centre if local is set, else the
// members of all other data centres.
func (d *Detector) otherMembers(local bool) []figseam.Member {
	self := d.members.Self()
	var found []figseam.Member
	for _, m := range d.members.Members() {
		if m.ID != self.ID && (m.DataCentre == self.DataCentre) == local {
			found = append(found, m)
		}
	}
	return found
}

func (d *Detector) randomMember(local bool) (figseam.Member, bool) {
	all := d.otherMembers(local)
	if len(all) == 0 {
		return figseam.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

func (d *Detector) probe(ctx context.Context, m figseam.Member) {
	if d.exchange(ctx, m.Address, probeTimeoutMillis, ProbeRequest{Updates: d.members.pendingUpdates()}) || d.probeIndirectly(ctx, m) || ctx.Err() != nil {
		return
	}
	d.markUnresponsive(m)
}

func (d *Detector) probeRemote(ctx context.Context, m figseam.Member) {
	if d.exchange(ctx, m.Address, remoteProbeTimeoutMillis, ProbeRequest{Updates: d.members.pendingUpdates()}) || ctx.Err() != nil {
		return
	}
	d.markUnresponsive(m)
}

// markUnresponsive records that a member did not respond: it becomes suspect. A leaving
// instance is declared dead at once, since the suspect state does not override leaving.
func (d *Detector) markUnresponsive(m figseam.Member) {
	d.log.Warn().Str("instance", string(m.ID)).Msg("instance did not respond to probes")
	d.members.raiseState(m.ID, figseam.InstanceSuspect)
	if m.State == figseam.InstanceLeaving {
		d.members.raiseState(m.ID, figseam.InstanceDead)
	}
}

// exchange sends a probe and merges the updates of the response. It reports whether there
// was a response within the timeout.
func (d *Detector) exchange(ctx context.Context, address string, timeoutMillis int64, p ProbeRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(timeoutMillis))
	defer cancel()
	response, err := d.prober.Probe(ctx, address, p)
	if err != nil {
		return false
	}
	d.members.merge(response.Updates)
	return true
}

// probeIndirectly requests indirect probes of a member from other instances of this data
// centre. It reports whether any of them reached the member.
func (d *Detector) probeIndirectly(ctx context.Context, m figseam.Member) bool {
	candidates := d.otherMembers(true)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	requested, results := 0, make(chan bool, indirectProbes)
	for _, helper := range candidates {
		if helper.ID == m.ID || requested == indirectProbes {
			continue
		}
		requested++
		go func() { results <- d.requestProbe(ctx, helper, m.ID) }()
	}
	reached := false
	for range requested {
		reached = <-results || reached
	}
	return reached
}

// requestProbe requests an indirect probe of target from helper and reports whether the
// target responded. The timeout allows for both probes.
func (d *Detector) requestProbe(ctx context.Context, helper figseam.Member, target figseam.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(2*probeTimeoutMillis))
	defer cancel()
	response, err := d.prober.Probe(ctx, helper.Address, ProbeRequest{Target: target})
	return err == nil && response.TargetReached
}

// syncWith sends the digest of the member list to an instance, and merges the full list
// that the instance returns if the digests differ.
func (d *Detector) syncWith(ctx context.Context, address string) {
	d.exchange(ctx, address, remoteProbeTimeoutMillis, ProbeRequest{Updates: d.members.pendingUpdates(), Digest: d.members.digest()})
}

// syncWithSeed selects a random seed and, if no member has its address, synchronises with
// it. This merges the member lists again after a partition in which each side has declared
// the other dead.
func (d *Detector) syncWithSeed(ctx context.Context) {
	if len(d.seeds) == 0 {
		return
	}
	seed := d.seeds[rand.IntN(len(d.seeds))]
	for _, m := range d.members.Members() {
		if m.Address == seed {
			return
		}
	}
	d.syncWith(ctx, seed)
}

// HandleProbe processes a probe of another instance and returns the response.
func (d *Detector) HandleProbe(ctx context.Context, p ProbeRequest) ProbeReply {
	d.members.merge(p.Updates)
	if p.Target != "" {
		m, ok := d.members.Find(p.Target)
		reached := ok && d.exchange(ctx, m.Address, probeTimeoutMillis, ProbeRequest{Updates: d.members.pendingUpdates()})
		return ProbeReply{TargetReached: reached}
	}
	if p.Digest != 0 && p.Digest != d.members.digest() {
		return ProbeReply{Updates: d.members.fullList()}
	}
	return ProbeReply{Updates: d.members.pendingUpdates()}
}
