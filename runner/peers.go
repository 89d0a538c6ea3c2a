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

// Kinds of messages between instances, and the timeouts of calls. leaseCallTimeoutMillis
// limits calls that renew leases or announce grants. versionsTimeoutMillis limits calls
// that query versions. proposeTimeoutMillis limits the handling of a proposal.
const (
	kindPlace              = "cell.place"
	kindAssignDecode       = "cell.seat"
	kindReport             = "cell.report"
	kindRenewLeases        = "cell.renew"
	kindAnnounceGrants     = "cell.announce"
	kindPull               = "config.pull"
	kindPush               = "config.push"
	kindVersions           = "config.spread"
	kindTakeToken          = "account.take"
	kindProbe              = "member.probe"
	kindVote               = "log.vote"
	kindAppend             = "log.append"
	kindInstallSnapshot    = "log.install"
	kindStatus             = "log.status"
	kindJoin               = "log.join"
	kindLeave              = "log.leave"
	kindPropose            = "log.propose"
	leaseCallTimeoutMillis = 1000
	versionsTimeoutMillis  = 1500
	proposeTimeoutMillis   = 3000
)

// peerClient sends the calls of the scheduler, publisher, admitter and detector to other
// instances. resolve returns the address of an instance; resolveAddress returns the
// address to dial for an announced address.
type peerClient struct {
	messenger      *messenger.Messenger
	resolve        func(figseam.InstanceID) string
	resolveAddress func(address string) string
}

type placeRequest struct {
	Cell figseam.CellID `cbor:"1,keyasint"`
	Job  figseam.Job    `cbor:"2,keyasint"`
}

type assignDecodeRequest struct {
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

type versionsRequest struct {
	// WholeDataCentre requests the versions of all instances of the receiver's data
	// centre rather than of the receiver alone.
	WholeDataCentre bool `cbor:"1,keyasint"`
}

type versionsReply struct {
	Versions    []gateway.InstanceVersion `cbor:"1,keyasint"`
	Unreachable []figseam.InstanceID      `cbor:"2,keyasint,omitempty"`
}

type emptyReply struct{}

func (p *peerClient) Place(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, job figseam.Job) (figseam.Placement, error) {
	return messenger.Call[placeRequest, figseam.Placement](ctx, p.messenger, p.resolve(to), kindPlace, placeRequest{Cell: cell, Job: job})
}

func (p *peerClient) AssignDecode(ctx context.Context, to figseam.InstanceID, placement figseam.Placement, heldUntil figseam.Deadline) (figseam.Placement, error) {
	return messenger.Call[assignDecodeRequest, figseam.Placement](ctx, p.messenger, p.resolve(to), kindAssignDecode, assignDecodeRequest{Placement: placement, HeldUntil: heldUntil})
}

func (p *peerClient) ReportProgress(to figseam.InstanceID, progress figseam.Progress) {
	messenger.Send(p.messenger, p.resolve(to), kindReport, progress)
}

func (p *peerClient) RenewLeases(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, held scheduler.GrantDigest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeoutMillis*time.Millisecond)
	defer cancel()
	return messenger.Call[renewRequest, bool](ctx, p.messenger, p.resolve(to), kindRenewLeases, renewRequest{Cell: cell, Held: held})
}

func (p *peerClient) AnnounceGrants(ctx context.Context, to figseam.InstanceID, cell figseam.CellID, held []figseam.GrantRecord) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeoutMillis*time.Millisecond)
	defer cancel()
	_, err := messenger.Call[announceRequest, emptyReply](ctx, p.messenger, p.resolve(to), kindAnnounceGrants, announceRequest{Cell: cell, Held: held})
	return err
}

func (p *peerClient) Pull(ctx context.Context, to figseam.InstanceID, after uint64, cursor *figseam.ObjectID) (publisher.Update, error) {
	return messenger.Call[pullRequest, publisher.Update](ctx, p.messenger, p.resolve(to), kindPull, pullRequest{After: after, Cursor: cursor})
}

func (p *peerClient) Push(to figseam.InstanceID, u publisher.Update) {
	messenger.Send(p.messenger, p.resolve(to), kindPush, u)
}

func (p *peerClient) TakeToken(ctx context.Context, to figseam.InstanceID, account figseam.Account) error {
	_, err := messenger.Call[figseam.Account, emptyReply](ctx, p.messenger, p.resolve(to), kindTakeToken, account)
	return err
}

func (p *peerClient) Probe(ctx context.Context, address string, probe detector.ProbeRequest) (detector.ProbeReply, error) {
	return messenger.Call[detector.ProbeRequest, detector.ProbeReply](ctx, p.messenger, p.resolveAddress(address), kindProbe, probe)
}

// logTransport sends the calls of the replicated log to other replicas.
type logTransport struct{ *peerClient }

func (t logTransport) Vote(ctx context.Context, to figseam.InstanceID, r replicator.VoteRequest) (replicator.VoteReply, error) {
	return messenger.Call[replicator.VoteRequest, replicator.VoteReply](ctx, t.messenger, t.resolve(to), kindVote, r)
}

func (t logTransport) Append(ctx context.Context, to figseam.InstanceID, r replicator.AppendRequest) (replicator.AppendReply, error) {
	return messenger.Call[replicator.AppendRequest, replicator.AppendReply](ctx, t.messenger, t.resolve(to), kindAppend, r)
}

func (t logTransport) InstallSnapshot(ctx context.Context, to figseam.InstanceID, r replicator.InstallSnapshotRequest) (replicator.AppendReply, error) {
	return messenger.Call[replicator.InstallSnapshotRequest, replicator.AppendReply](ctx, t.messenger, t.resolve(to), kindInstallSnapshot, r)
}

func (t logTransport) Status(ctx context.Context, to figseam.InstanceID, r replicator.StatusRequest) (replicator.StatusReply, error) {
	return messenger.Call[replicator.StatusRequest, replicator.StatusReply](ctx, t.messenger, t.resolve(to), kindStatus, r)
}

func (t logTransport) Join(ctx context.Context, to figseam.InstanceID, r replicator.JoinRequest) (replicator.JoinReply, error) {
	return messenger.Call[replicator.JoinRequest, replicator.JoinReply](ctx, t.messenger, t.resolve(to), kindJoin, r)
}

func (t logTransport) Leave(ctx context.Context, to figseam.InstanceID, r replicator.LeaveRequest) (replicator.LeaveReply, error) {
	return messenger.Call[replicator.LeaveRequest, replicator.LeaveReply](ctx, t.messenger, t.resolve(to), kindLeave, r)
}

func (t logTransport) Propose(ctx context.Context, to figseam.InstanceID, r replicator.ProposeRequest) (replicator.ProposeReply, error) {
	return messenger.Call[replicator.ProposeRequest, replicator.ProposeReply](ctx, t.messenger, t.resolve(to), kindPropose, r)
}

// handleCellMessages registers the handlers of messages to the cells of this instance.
func handleCellMessages(m *messenger.Messenger, h *scheduler.CellHost) {
	messenger.Handle(m, kindPlace, func(ctx context.Context, _ figseam.InstanceID, r placeRequest) (figseam.Placement, error) {
		return h.Place(ctx, r.Cell, r.Job)
	})
	messenger.Handle(m, kindAssignDecode, func(ctx context.Context, _ figseam.InstanceID, r assignDecodeRequest) (figseam.Placement, error) {
		return h.AssignDecode(ctx, r.Placement, r.HeldUntil)
	})
	messenger.Handle(m, kindReport, func(_ context.Context, _ figseam.InstanceID, p figseam.Progress) (emptyReply, error) {
		h.ReportProgress(p)
		return emptyReply{}, nil
	})
	messenger.Handle(m, kindRenewLeases, func(_ context.Context, from figseam.InstanceID, r renewRequest) (bool, error) {
		return h.RenewLeases(r.Cell, from, r.Held), nil
	})
	messenger.Handle(m, kindAnnounceGrants, func(_ context.Context, from figseam.InstanceID, r announceRequest) (emptyReply, error) {
		h.AnnounceGrants(r.Cell, from, r.Held)
		return emptyReply{}, nil
	})
}

// handleInstanceMessages registers the handlers of messages that distribute configurations,
// probe members and take tokens from the accounts' token buckets.
func handleInstanceMessages(m *messenger.Messenger, g *publisher.Gossiper, store *publisher.Store, d *detector.Detector, a *admitter.Admitter) {
	messenger.Handle(m, kindPull, func(_ context.Context, _ figseam.InstanceID, r pullRequest) (publisher.Update, error) {
		return store.UpdateSince(r.After, r.Cursor), nil
	})
	messenger.Handle(m, kindPush, func(_ context.Context, from figseam.InstanceID, u publisher.Update) (emptyReply, error) {
		g.HandlePush(from, u)
		return emptyReply{}, nil
	})
	messenger.Handle(m, kindProbe, func(ctx context.Context, _ figseam.InstanceID, p detector.ProbeRequest) (detector.ProbeReply, error) {
		return d.HandleProbe(ctx, p), nil
	})
	messenger.Handle(m, kindTakeToken, func(_ context.Context, _ figseam.InstanceID, account figseam.Account) (emptyReply, error) {
		return emptyReply{}, a.TakeToken(account)
	})
}

// handleLogMessages registers the handlers of messages to the replica of this instance.
func handleLogMessages(m *messenger.Messenger, n *replicator.Node) {
	messenger.Handle(m, kindVote, func(_ context.Context, _ figseam.InstanceID, r replicator.VoteRequest) (replicator.VoteReply, error) {
		return n.HandleVote(r), nil
	})
	messenger.Handle(m, kindAppend, func(_ context.Context, _ figseam.InstanceID, r replicator.AppendRequest) (replicator.AppendReply, error) {
		return n.HandleAppend(r), nil
	})
	messenger.Handle(m, kindInstallSnapshot, func(_ context.Context, _ figseam.InstanceID, r replicator.InstallSnapshotRequest) (replicator.AppendReply, error) {
		return n.HandleInstallSnapshot(r), nil
	})
	messenger.Handle(m, kindStatus, func(context.Context, figseam.InstanceID, replicator.StatusRequest) (replicator.StatusReply, error) {
		return n.Status(), nil
	})
	messenger.Handle(m, kindJoin, func(ctx context.Context, _ figseam.InstanceID, r replicator.JoinRequest) (replicator.JoinReply, error) {
		return n.HandleJoin(ctx, r), nil
	})
	messenger.Handle(m, kindLeave, func(ctx context.Context, _ figseam.InstanceID, r replicator.LeaveRequest) (replicator.LeaveReply, error) {
		return n.HandleLeave(ctx, r), nil
	})
	messenger.Handle(m, kindPropose, func(ctx context.Context, _ figseam.InstanceID, r replicator.ProposeRequest) (replicator.ProposeReply, error) {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeoutMillis*time.Millisecond)
		defer cancel()
		return n.HandlePropose(ctx, r), nil
	})
}

// collectVersions queries the configuration versions of all instances. In each other data
// centre, one delegate queries the instances of its data centre, so that the number of
// calls made here does not grow with the total number of instances.
func collectVersions(ctx context.Context, p *peerClient, members *detector.MemberList) versionsReply {
	self := members.Self()
	delegates := map[figseam.DataCentre]figseam.Member{}
	for _, m := range members.Members() {
		if m.DataCentre != self.DataCentre {
			delegates[m.DataCentre] = m
		}
	}
	var (
		// mu guards total while the delegates are queried.
		mu    sync.Mutex
		tasks sync.WaitGroup
		total = collectLocalVersions(ctx, p, members)
	)
	for _, delegate := range delegates {
		tasks.Go(func() {
			r, err := queryVersions(ctx, p, p.resolve(delegate.ID), true)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				total.Unreachable = append(total.Unreachable, delegate.ID)
				return
			}
			total.Versions = append(total.Versions, r.Versions...)
			total.Unreachable = append(total.Unreachable, r.Unreachable...)
		})
	}
	tasks.Wait()
	return total
}

// collectLocalVersions queries the configuration versions of the instances in this data
// centre.
func collectLocalVersions(ctx context.Context, p *peerClient, members *detector.MemberList) versionsReply {
	self := members.Self()
	total := versionsReply{Versions: []gateway.InstanceVersion{{Instance: self.ID, Version: self.ConfigVersion}}}
	var (
		// mu guards total while the members are queried.
		mu    sync.Mutex
		tasks sync.WaitGroup
	)
	for _, m := range members.Members() {
		if m.DataCentre != self.DataCentre || m.ID == self.ID {
			continue
		}
		tasks.Go(func() {
			r, err := queryVersions(ctx, p, p.resolve(m.ID), false)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				total.Unreachable = append(total.Unreachable, m.ID)
				return
			}
			total.Versions = append(total.Versions, r.Versions...)
		})
	}
	tasks.Wait()
	return total
}

func queryVersions(ctx context.Context, p *peerClient, address string, wholeDataCentre bool) (versionsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeoutMillis*time.Millisecond)
	defer cancel()
	return messenger.Call[versionsRequest, versionsReply](ctx, p.messenger, address, kindVersions, versionsRequest{WholeDataCentre: wholeDataCentre})
}
