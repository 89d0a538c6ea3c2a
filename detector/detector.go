package detector

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
)

const (
	// probeMillis is the time between two probes of an instance.
	probeMillis = 500
	// answerMillis is how long a probed instance of this data centre has to
	// answer, farMillis one of another data centre.
	answerMillis = 300
	farMillis    = 1000
	// helpers is how many instances are asked to try when a probe fails.
	helpers = 2
	// farEvery is how many rounds lie between two probes of another data centre.
	farEvery = 4
	// syncEvery is how many rounds lie between two comparisons of digests.
	syncEvery = 20
	// seedEvery is how many rounds lie between two looks at a seed.
	seedEvery = 6
)

// ProbeRequest carries news to an instance; Answer carries news back.
type ProbeRequest struct {
	Updates []figseam.Member `cbor:"1,keyasint"`
	// Digest sums up the sender's list when All is wanted if it differs.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Target asks the receiver to probe that instance for the sender.
	Target figseam.InstanceID `cbor:"3,keyasint,omitempty"`
}

// ProbeResponse answers a Probe.
type ProbeResponse struct {
	Updates []figseam.Member `cbor:"1,keyasint"`
	// TargetReached tells whether the target of an indirect probe answered.
	TargetReached bool `cbor:"2,keyasint,omitempty"`
}

// Prober carries probes to addresses.
type Prober interface {
	Probe(ctx context.Context, address string, p ProbeRequest) (ProbeResponse, error)
}

// Detector probes other instances and answers their probes.
type Detector struct {
	members *MemberList
	prober  Prober
	seeds   []string
	log     zerolog.Logger
	ring    []figseam.Member
	round   int
}

// New returns a detector that starts from seed addresses.
func New(members *MemberList, prober Prober, seeds []string, log zerolog.Logger) *Detector {
	return &Detector{members: members, prober: prober, seeds: seeds, log: log}
}

// Run probes until ctx ends. It returns a channel that is closed at the end.
func (d *Detector) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, seed := range d.seeds {
			d.sync(ctx, seed)
		}
		ticker := time.NewTicker(after(probeMillis))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			d.members.expire()
			d.members.trimDeparted()
			d.step(ctx)
		}
	}()
	return done
}

// step makes the probes of one round.
func (d *Detector) step(ctx context.Context) {
	d.round++
	if m, ok := d.next(); ok {
		d.probe(ctx, m)
	}
	if d.round%farEvery == 0 {
		if m, ok := d.random(false); ok {
			d.probeFar(ctx, m)
		}
	}
	if d.round%syncEvery == 0 {
		if m, ok := d.random(rand.IntN(2) == 0); ok {
			d.sync(ctx, m.Address)
		}
	}
	if d.round%seedEvery == 0 {
		d.lookAtSeed(ctx)
	}
}

// next returns the next instance of this data centre, in an order that is
// shuffled for each pass.
func (d *Detector) next() (figseam.Member, bool) {
	for range 2 {
		for len(d.ring) > 0 {
			m := d.ring[0]
			d.ring = d.ring[1:]
			if current, ok := d.members.Find(m.ID); ok {
				return current, true
			}
		}
		d.ring = d.others(true)
		rand.Shuffle(len(d.ring), func(i, j int) { d.ring[i], d.ring[j] = d.ring[j], d.ring[i] })
	}
	return figseam.Member{}, false
}

// others returns the other members, of this data centre or of all others.
func (d *Detector) others(local bool) []figseam.Member {
	self := d.members.Self()
	var found []figseam.Member
	for _, m := range d.members.Members() {
		if m.ID != self.ID && (m.DataCentre == self.DataCentre) == local {
			found = append(found, m)
		}
	}
	return found
}

func (d *Detector) random(local bool) (figseam.Member, bool) {
	all := d.others(local)
	if len(all) == 0 {
		return figseam.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

func (d *Detector) probe(ctx context.Context, m figseam.Member) {
	if d.tell(ctx, m.Address, answerMillis, ProbeRequest{Updates: d.members.news()}) || d.askHelpers(ctx, m) || ctx.Err() != nil {
		return
	}
	d.suspect(m)
}

func (d *Detector) probeFar(ctx context.Context, m figseam.Member) {
	if d.tell(ctx, m.Address, farMillis, ProbeRequest{Updates: d.members.news()}) || ctx.Err() != nil {
		return
	}
	d.suspect(m)
}

func (d *Detector) suspect(m figseam.Member) {
	d.log.Warn().Str("instance", string(m.ID)).Msg("instance does not answer")
	d.members.mark(m.ID, figseam.InstanceSuspect)
	if m.State == figseam.InstanceLeaving {
		d.members.mark(m.ID, figseam.InstanceDead)
	}
}

func (d *Detector) tell(ctx context.Context, address string, limit int64, p ProbeRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, after(limit))
	defer cancel()
	answer, err := d.prober.Probe(ctx, address, p)
	if err != nil {
		return false
	}
	d.members.merge(answer.Updates)
	return true
}

// askHelpers lets other instances try a member that did not answer.
func (d *Detector) askHelpers(ctx context.Context, m figseam.Member) bool {
	candidates := d.others(true)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	asked, reached := 0, make(chan bool, helpers)
	for _, h := range candidates {
		if h.ID == m.ID || asked == helpers {
			continue
		}
		asked++
		go func() { reached <- d.ask(ctx, h, m.ID) }()
	}
	found := false
	for range asked {
		found = <-reached || found
	}
	return found
}

func (d *Detector) ask(ctx context.Context, helper figseam.Member, target figseam.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, after(2*answerMillis))
	defer cancel()
	answer, err := d.prober.Probe(ctx, helper.Address, ProbeRequest{Target: target})
	return err == nil && answer.TargetReached
}

// sync compares digests with an instance and merges its whole list if they
// differ.
func (d *Detector) sync(ctx context.Context, address string) {
	d.tell(ctx, address, farMillis, ProbeRequest{Updates: d.members.news(), Digest: d.members.digest()})
}

// lookAtSeed tries a seed that is not among the members, so that instances find
// one another again after a partition.
func (d *Detector) lookAtSeed(ctx context.Context) {
	if len(d.seeds) == 0 {
		return
	}
	seed := d.seeds[rand.IntN(len(d.seeds))]
	for _, m := range d.members.Members() {
		if m.Address == seed {
			return
		}
	}
	d.sync(ctx, seed)
}

// HandleProbe answers another instance.
func (d *Detector) HandleProbe(ctx context.Context, p ProbeRequest) ProbeResponse {
	d.members.merge(p.Updates)
	if p.Target != "" {
		m, ok := d.members.Find(p.Target)
		reached := ok && d.tell(ctx, m.Address, answerMillis, ProbeRequest{Updates: d.members.news()})
		return ProbeResponse{TargetReached: reached}
	}
	if p.Digest != 0 && p.Digest != d.members.digest() {
		return ProbeResponse{Updates: d.members.all()}
	}
	return ProbeResponse{Updates: d.members.news()}
}
