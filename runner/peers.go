package runner

import (
	"context"
	"sync"
	"time"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/admitter"
	"github.com/figseam/figseam/detector"
	"github.com/figseam/figseam/gateway"
	"github.com/figseam/figseam/messenger"
	"github.com/figseam/figseam/publisher"
	"github.com/figseam/figseam/replicator"
	"github.com/figseam/figseam/scheduler"
)

// Kinds of messages between instances.
const (
	kindPlace     = "cell.place"
	kindSeat      = "cell.seat"
	kindReport    = "cell.report"
	kindRenew     = "cell.renew"
	kindAnnounce  = "cell.announce"
	kindPull      = "config.pull"
	kindPush      = "config.push"
	kindSpread    = "config.spread"
	kindTake      = "account.take"
	kindProbe     = "member.probe"
	kindVote      = "log.vote"
	kindAppend    = "log.append"
	kindInstall   = "log.install"
	kindStatus    = "log.status"
	kindJoin      = "log.join"
	kindPropose   = "log.propose"
	renewMillis   = 1000
	spreadMillis  = 1500
	proposeMillis = 3000
)

// peers is the adapter from the core's ports to messages.
type peers struct {
	m       *messenger.Messenger
	resolve func(figseam.InstanceID) string
	route   func(address string) string
}

type placeRequest struct {
	Cell figseam.CellID `cbor:"1,keyasint"`
	Job  figseam.Job    `cbor:"2,keyasint"`
}

type seatRequest struct {
	Placement figseam.Placement `cbor:"1,keyasint"`
	HeldUntil figseam.Deadline  `cbor:"2,keyasint"`
}

type renewRequest struct {
	Cell figseam.CellID        `cbor:"1,keyasint"`
	Held scheduler.GrantDigest `cbor:"2,keyasint"`
}

type announceRequest struct {
	Cell figseam.CellID        `cbor:"1,keyasint"`
	Held []figseam.GrantRecord `cbor:"2,keyasint"`
}

type pullRequest struct {
	After  uint64            `cbor:"1,keyasint"`
	Cursor *figseam.ObjectID `cbor:"2,keyasint,omitempty"`
}

type spreadRequest struct {
	// Local asks for the instances of the receiver's data centre, otherwise for
	// the receiver alone.
	Local bool `cbor:"1,keyasint"`
}

type spreadReply struct {
	Versions []gateway.InstanceVersion `cbor:"1,keyasint"`
	Silent   []figseam.InstanceID      `cbor:"2,keyasint,omitempty"`
}

type nothing struct{}

func (p *peers) Place(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, job figseam.Job) (figseam.Placement, error) {
	return messenger.Call[placeRequest, figseam.Placement](ctx, p.m, p.resolve(to), kindPlace, placeRequest{Cell: cell, Job: job})
}

func (p *peers) AssignDecode(ctx context.Context, to figseam.InstanceID, placement figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	return messenger.Call[seatRequest, figseam.Placement](ctx, p.m, p.resolve(to), kindSeat, seatRequest{Placement: placement, HeldUntil: heldUntil})
}

func (p *peers) Report(to figseam.InstanceID, progress figseam.Progress) {
	messenger.Send(p.m, p.resolve(to), kindReport, progress)
}

func (p *peers) RenewLeases(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, held scheduler.GrantDigest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, renewMillis*time.Millisecond)
	defer cancel()
	return messenger.Call[renewRequest, bool](ctx, p.m, p.resolve(to), kindRenew, renewRequest{Cell: cell, Held: held})
}

func (p *peers) AnnounceGrants(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, held []figseam.GrantRecord) error {
	ctx, cancel := context.WithTimeout(ctx, renewMillis*time.Millisecond)
	defer cancel()
	_, err := messenger.Call[announceRequest, nothing](ctx, p.m, p.resolve(to), kindAnnounce, announceRequest{Cell: cell, Held: held})
	return err
}

func (p *peers) Pull(ctx context.Context, to figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (publisher.Update, error) {
	return messenger.Call[pullRequest, publisher.Update](ctx, p.m, p.resolve(to), kindPull, pullRequest{After: after, Cursor: cursor})
}

func (p *peers) Push(to figseam.InstanceID, u publisher.Update) {
	messenger.Send(p.m, p.resolve(to), kindPush, u)
}

func (p *peers) TakeToken(ctx context.Context, to figseam.InstanceID, account figseam.Account) error {
	_, err := messenger.Call[figseam.Account, nothing](ctx, p.m, p.resolve(to), kindTake, account)
	return err
}

func (p *peers) Probe(ctx context.Context, address string, probe detector.ProbeRequest) (detector.ProbeResponse, error) {
	return messenger.Call[detector.ProbeRequest, detector.ProbeResponse](ctx, p.m, p.route(address), kindProbe, probe)
}

// transport is the replicated log's adapter to messages.
type transport struct{ *peers }

func (t transport) Vote(ctx context.Context, to figseam.InstanceID, r replicator.VoteRequest) (replicator.VoteReply, error) {
	return messenger.Call[replicator.VoteRequest, replicator.VoteReply](ctx, t.m, t.resolve(to), kindVote, r)
}

func (t transport) Append(ctx context.Context, to figseam.InstanceID, r replicator.AppendRequest) (replicator.AppendReply, error) {
	return messenger.Call[replicator.AppendRequest, replicator.AppendReply](ctx, t.m, t.resolve(to), kindAppend, r)
}

func (t transport) InstallSnapshot(ctx context.Context, to figseam.InstanceID, r replicator.InstallSnapshotRequest) (replicator.AppendReply, error) {
	return messenger.Call[replicator.InstallSnapshotRequest, replicator.AppendReply](ctx, t.m, t.resolve(to), kindInstall, r)
}

func (t transport) Status(ctx context.Context, to figseam.InstanceID, r replicator.StatusRequest) (replicator.StatusReply, error) {
	return messenger.Call[replicator.StatusRequest, replicator.StatusReply](ctx, t.m, t.resolve(to), kindStatus, r)
}

func (t transport) Join(ctx context.Context, to figseam.InstanceID, r replicator.JoinRequest) (replicator.JoinReply, error) {
	return messenger.Call[replicator.JoinRequest, replicator.JoinReply](ctx, t.m, t.resolve(to), kindJoin, r)
}

func (t transport) Propose(ctx context.Context, to figseam.InstanceID, r replicator.ProposeRequest) (replicator.ProposeReply, error) {
	return messenger.Call[replicator.ProposeRequest, replicator.ProposeReply](ctx, t.m, t.resolve(to), kindPropose, r)
}

// serveCells serves the messages to the cells of this instance.
func serveCells(m *messenger.Messenger, h *scheduler.CellHost) {
	messenger.Handle(m, kindPlace, func(ctx context.Context, _ figseam.InstanceID, r placeRequest) (figseam.Placement, error) {
		return h.Place(ctx, r.Cell, r.Job)
	})
	messenger.Handle(m, kindSeat, func(ctx context.Context, _ figseam.InstanceID, r seatRequest) (figseam.Placement, error) {
		return h.AssignDecode(ctx, r.Placement, r.HeldUntil)
	})
	messenger.Handle(m, kindReport, func(_ context.Context, _ figseam.InstanceID, p figseam.Progress) (nothing, error) {
		h.Report(p)
		return nothing{}, nil
	})
	messenger.Handle(m, kindRenew, func(_ context.Context, from figseam.InstanceID, r renewRequest) (bool, error) {
		return h.RenewLeases(r.Cell, from, r.Held), nil
	})
	messenger.Handle(m, kindAnnounce, func(_ context.Context, from figseam.InstanceID, r announceRequest) (nothing, error) {
		h.AnnounceGrants(r.Cell, from, r.Held)
		return nothing{}, nil
	})
}

// serveSpread serves the messages that spread configurations, news of members
// and accounts' buckets.
func serveSpread(m *messenger.Messenger, s *publisher.Gossiper, store *publisher.Store, d *detector.Detector, a *admitter.Admitter) {
	messenger.Handle(m, kindPull, func(_ context.Context, _ figseam.InstanceID, r pullRequest) (publisher.Update, error) {
		return store.UpdateSince(r.After, r.Cursor), nil
	})
	messenger.Handle(m, kindPush, func(_ context.Context, from figseam.InstanceID, u publisher.Update) (nothing, error) {
		s.HandlePush(from, u)
		return nothing{}, nil
	})
	messenger.Handle(m, kindProbe, func(ctx context.Context, _ figseam.InstanceID, p detector.ProbeRequest) (detector.ProbeResponse, error) {
		return d.HandleProbe(ctx, p), nil
	})
	messenger.Handle(m, kindTake, func(_ context.Context, _ figseam.InstanceID, account figseam.Account) (nothing, error) {
		return nothing{}, a.TakeToken(account)
	})
}

// serveLog serves the messages to the replica of this instance.
func serveLog(m *messenger.Messenger, n *replicator.Node) {
	messenger.Handle(m, kindVote, func(_ context.Context, _ figseam.InstanceID, r replicator.VoteRequest) (replicator.VoteReply, error) {
		return n.HandleVote(r), nil
	})
	messenger.Handle(m, kindAppend, func(_ context.Context, _ figseam.InstanceID, r replicator.AppendRequest) (replicator.AppendReply, error) {
		return n.HandleAppend(r), nil
	})
	messenger.Handle(m, kindInstall, func(_ context.Context, _ figseam.InstanceID, r replicator.InstallSnapshotRequest) (replicator.AppendReply, error) {
		return n.HandleInstallSnapshot(r), nil
	})
	messenger.Handle(m, kindStatus, func(context.Context, figseam.InstanceID, replicator.StatusRequest) (replicator.StatusReply, error) {
		return n.Status(), nil
	})
	messenger.Handle(m, kindJoin, func(ctx context.Context, _ figseam.InstanceID, r replicator.JoinRequest) (replicator.JoinReply, error) {
		return n.HandleJoin(ctx, r), nil
	})
	messenger.Handle(m, kindPropose, func(ctx context.Context, _ figseam.InstanceID, r replicator.ProposeRequest) (replicator.ProposeReply, error) {
		ctx, cancel := context.WithTimeout(ctx, proposeMillis*time.Millisecond)
		defer cancel()
		return n.HandlePropose(ctx, r), nil
	})
}

// spread asks instances for their versions: one of each other data centre asks
// those around it, so that the cost does not grow with all instances.
func spread(ctx context.Context, p *peers, members *detector.MemberList) spreadReply {
	self := members.Self()
	helpers := map[figseam.DataCentre]figseam.Member{}
	for _, m := range members.Members() {
		if m.DataCentre != self.DataCentre {
			helpers[m.DataCentre] = m
		}
	}
	var (
		// mu guards total while the helpers are asked.
		mu    sync.Mutex
		tasks sync.WaitGroup
		total = spreadLocal(ctx, p, members)
	)
	for _, h := range helpers {
		tasks.Go(func() {
			r, err := askSpread(ctx, p, p.resolve(h.ID), true)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				total.Silent = append(total.Silent, h.ID)
				return
			}
			total.Versions = append(total.Versions, r.Versions...)
			total.Silent = append(total.Silent, r.Silent...)
		})
	}
	tasks.Wait()
	return total
}

// spreadLocal asks the instances of this data centre.
func spreadLocal(ctx context.Context, p *peers, members *detector.MemberList) spreadReply {
	self := members.Self()
	total := spreadReply{Versions: []gateway.InstanceVersion{{Instance: self.ID, Version: self.ConfigVersion}}}
	var (
		// mu guards total while the members are asked.
		mu    sync.Mutex
		tasks sync.WaitGroup
	)
	for _, m := range members.Members() {
		if m.DataCentre != self.DataCentre || m.ID == self.ID {
			continue
		}
		tasks.Go(func() {
			r, err := askSpread(ctx, p, p.resolve(m.ID), false)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				total.Silent = append(total.Silent, m.ID)
				return
			}
			total.Versions = append(total.Versions, r.Versions...)
		})
	}
	tasks.Wait()
	return total
}

func askSpread(ctx context.Context, p *peers, address string, local bool) (spreadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, spreadMillis*time.Millisecond)
	defer cancel()
	return messenger.Call[spreadRequest, spreadReply](ctx, p.m, address, kindSpread, spreadRequest{Local: local})
}
