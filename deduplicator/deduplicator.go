package deduplicator

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

const (
	// sendMarginMillis is taken off the time in which a holder may send, for a
	// clock that runs slow or a process that is stopped.
	sendMarginMillis = 200
	// sendMillis is how long after its claim was proposed a holder may still send.
	sendMillis = 5000
	// retryMillis is what a caller is told to wait while a key is in progress.
	retryMillis = 1000
)

// Deduplicator claims calls in the replicated log. It implements
// [figseam.Claimer] and is safe for concurrent use.
type Deduplicator struct {
	self      figseam.InstanceID
	proposer  figseam.Proposer
	lost      func(figseam.InstanceID) bool
	abandoned chan command
}

// abandonedQueue bounds the claims that wait to be abandoned.
const abandonedQueue = 4096

// New returns a deduplicator for a holder, which must be another one after each
// start of the process. lost tells which holders are known
// to be dead; it only changes what a caller is told, never what is sent.
func New(self figseam.InstanceID, proposer figseam.Proposer, lost func(figseam.InstanceID) bool) *Deduplicator {
	return &Deduplicator{self: self, proposer: proposer, lost: lost, abandoned: make(chan command, abandonedQueue)}
}

// Claim implements [figseam.Claimer]. A claim whose agreement came too late to
// send in time is released and refused as not run.
func (d *Deduplicator) Claim(ctx context.Context, key string, digest [32]byte) (figseam.Claim, *figseam.StoredResponse, error) {
	c := command{Operation: operationClaim, Key: key, Digest: digest[:], Holder: d.self, Nonce: uuid.NewString()}
	sendBy := figseam.DeadlineAfterMillis(sendMillis - sendMarginMillis)
	r, err := d.propose(ctx, c)
	claim := figseam.Claim{Key: key, Digest: digest, Holder: d.self, Fence: r.Fence, SendDeadline: sendBy}
	if err != nil {
		return figseam.Claim{}, nil, d.unclaimed(c, err)
	}
	switch r.Verdict {
	case verdictGranted:
		return claim, nil, nil
	case verdictDone:
		return figseam.Claim{}, storedOrGone(r.Answer), nil
	case verdictKeyReused:
		return figseam.Claim{}, nil, figseam.NewRefusal(explainer.IdempotencyKeyReused, "idempotency key was used before with another request")
	case verdictInProgress:
		return figseam.Claim{}, nil, d.inProgress(r)
	default:
		return figseam.Claim{}, nil, figseam.NewRefusal(explainer.ClaimLimitReached, "no room for another claim").
			WithRetryAt(figseam.DeadlineAfterMillis(retryMillis))
	}
}

// unclaimed refuses a call whose claim was not confirmed. This instance never
// sends it, so it does not run. A claim command that may still be applied is
// abandoned in the background, so that the caller's next try finds the key free.
func (d *Deduplicator) unclaimed(c command, err error) error {
	if !errors.Is(err, figseam.ErrNotProposed) {
		c.Operation = operationAbandon
		select {
		case d.abandoned <- c:
		default:
		}
	}
	return figseam.NewRefusal(explainer.NoQuorum, "claim was not agreed by a majority of voters in time").
		WithRetryAt(figseam.DeadlineAfterMillis(retryMillis))
}

// Run abandons claims whose fate is not known, until ctx ends. It returns a
// channel that is closed at the end.
func (d *Deduplicator) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case c := <-d.abandoned:
				d.abandon(ctx, c)
			}
		}
	}()
	return done
}

func (d *Deduplicator) abandon(ctx context.Context, c command) {
	ctx, cancel := context.WithTimeout(ctx, abandonedMillis*time.Millisecond)
	defer cancel()
	_, _ = d.propose(ctx, c)
}

func (d *Deduplicator) inProgress(r reply) error {
	if r.Holder != d.self && d.lost(r.Holder) {
		return figseam.NewRefusal(explainer.PossiblyExecuted, "instance %s was lost before it stored the answer", r.Holder).
			WithOutcome(figseam.OutcomeUnknown)
	}
	return figseam.NewRefusal(explainer.KeyInProgress, "call is being carried out by instance %s", r.Holder).
		WithOutcome(figseam.OutcomeUnknown).
		WithRetryAt(figseam.DeadlineAfterMillis(retryMillis))
}

func storedOrGone(a *figseam.StoredResponse) *figseam.StoredResponse {
	if a == nil {
		return &figseam.StoredResponse{}
	}
	return a
}

// TakeOver gives an unfinished claim of a lost holder to this instance. It is
// only safe for a service whose endpoints share a check of keys.
func (d *Deduplicator) TakeOver(ctx context.Context, key string, digest [32]byte) (figseam.Claim, error) {
	probe := command{Operation: operationClaim, Key: key, Digest: digest[:], Holder: d.self, Nonce: uuid.NewString()}
	sendBy := figseam.DeadlineAfterMillis(sendMillis - sendMarginMillis)
	r, err := d.propose(ctx, probe)
	if err == nil && r.Verdict == verdictInProgress {
		c := probe
		c.Operation, c.Fence = operationTakeOver, r.Fence
		r, err = d.propose(ctx, c)
	}
	if err != nil {
		return figseam.Claim{}, d.unclaimed(probe, err)
	}
	if r.Verdict != verdictGranted {
		return figseam.Claim{}, figseam.NewRefusal(explainer.KeyInProgress, "claim changed hands").WithOutcome(figseam.OutcomeUnknown)
	}
	return figseam.Claim{Key: key, Digest: digest, Holder: d.self, Fence: r.Fence, SendDeadline: sendBy}, nil
}

// Complete implements [figseam.Claimer].
func (d *Deduplicator) Complete(ctx context.Context, claim figseam.Claim, answer figseam.StoredResponse) (err error) {
	defer func() { err = eris.Wrap(err, "settle claim") }()
	if len(answer.Body) > MaxResponseBytes {
		answer.Body = nil
		answer.Status = 0
	}
	_, err = d.propose(ctx, command{Operation: operationSettle, Key: claim.Key, Fence: claim.Fence, Answer: &answer})
	return err
}

// Release implements [figseam.Claimer].
func (d *Deduplicator) Release(ctx context.Context, claim figseam.Claim) (err error) {
	defer func() { err = eris.Wrap(err, "release claim") }()
	_, err = d.propose(ctx, command{Operation: operationRelease, Key: claim.Key, Fence: claim.Fence})
	return err
}

var errNoResult = errors.New("state machine gave no result")

func (d *Deduplicator) propose(ctx context.Context, c command) (reply, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return reply{}, err
	}
	result, err := d.proposer.Propose(ctx, figseam.Command{Machine: StateMachineName, Body: body})
	if err != nil {
		return reply{}, err
	}
	if len(result) == 0 {
		return reply{}, errNoResult
	}
	var r reply
	return r, cbor.Unmarshal(result, &r)
}
