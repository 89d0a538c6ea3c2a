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
	// sendWindowMarginMillis is subtracted from the send window, to allow for a slow clock
	// or a paused process.
	sendWindowMarginMillis = 200
	// sendWindowMillis bounds the time between proposing a claim and sending the call.
	sendWindowMillis = 5000
	// retryDelayMillis is the delay after which a refused caller may retry.
	retryDelayMillis = 1000
)

// Deduplicator claims calls through the replicated log. It implements [figseam.Claimer] and
// is safe for concurrent use.
type Deduplicator struct {
	self                figseam.InstanceID
	proposer            figseam.Proposer
	isLost              func(figseam.InstanceID) bool
	pendingAbandonments chan command
}

// maxPendingAbandonments bounds the queue of claim commands to abandon. If the queue is
// full, the claim stays until it expires.
const maxPendingAbandonments = 4096

// New returns a deduplicator that claims calls for the holder self, which must differ for
// each run of the process. isLost reports whether a holder has been detected as lost; it
// affects only the refusals that callers get, never which calls are sent.
func New(self figseam.InstanceID, proposer figseam.Proposer, isLost func(figseam.InstanceID) bool) *Deduplicator {
	return &Deduplicator{self: self, proposer: proposer, isLost: isLost, pendingAbandonments: make(chan command, maxPendingAbandonments)}
}

// Claim implements [figseam.Claimer]. The SendDeadline of the claim is measured from the
// start of Claim, so it may have passed when Claim returns. The caller must then not send
// the call.
func (d *Deduplicator) Claim(ctx context.Context, key string, digest [32]byte) (figseam.Claim, *figseam.StoredResponse, error) {
	c := command{Operation: operationClaim, Key: key, Digest: digest[:], Holder: d.self, Nonce: uuid.NewString()}
	sendDeadline := figseam.DeadlineAfterMillis(sendWindowMillis - sendWindowMarginMillis)
	r, err := d.propose(ctx, c)
	claim := figseam.Claim{Key: key, Digest: digest, Holder: d.self, Fence: r.Fence, SendDeadline: sendDeadline}
	if err != nil {
		return figseam.Claim{}, nil, d.refuseUnconfirmed(c, err)
	}
	switch r.Verdict {
	case verdictGranted:
		return claim, nil, nil
	case verdictCompleted:
		return figseam.Claim{}, storedOrEmpty(r.Response), nil
	case verdictKeyReused:
		return figseam.Claim{}, nil, figseam.NewRefusal(explainer.IdempotencyKeyReused, "idempotency key was used before with another request")
	case verdictInProgress:
		return figseam.Claim{}, nil, d.refuseInProgress(r)
	default:
		return figseam.Claim{}, nil, figseam.NewRefusal(explainer.ClaimLimitReached, "no room for another claim").
			WithRetryAt(figseam.DeadlineAfterMillis(retryDelayMillis))
	}
}

// refuseUnconfirmed returns the refusal of a call whose claim was not confirmed. This
// instance does not send the call, so the outcome is not_run. A claim command that may
// still be applied is abandoned in the background, so that a retry by the caller can claim
// the key.
func (d *Deduplicator) refuseUnconfirmed(c command, err error) error {
	if !errors.Is(err, figseam.ErrNotProposed) {
		c.Operation = operationAbandon
		select {
		case d.pendingAbandonments <- c:
		default:
		}
	}
	return figseam.NewRefusal(explainer.NoQuorum, "claim was not agreed by a majority of voters in time").
		WithRetryAt(figseam.DeadlineAfterMillis(retryDelayMillis))
}

// Run starts a goroutine that abandons unconfirmed claim commands until ctx is cancelled.
// The returned channel is closed when the goroutine has stopped.
func (d *Deduplicator) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case c := <-d.pendingAbandonments:
				d.abandon(ctx, c)
			}
		}
	}()
	return done
}

// abandon proposes the abandonment of a claim command, with a timeout of
// abandonmentRetentionMillis.
func (d *Deduplicator) abandon(ctx context.Context, c command) {
	ctx, cancel := context.WithTimeout(ctx, abandonmentRetentionMillis*time.Millisecond)
	defer cancel()
	_, _ = d.propose(ctx, c)
}

// refuseInProgress returns the refusal of a call whose key is claimed by another call.
func (d *Deduplicator) refuseInProgress(r reply) error {
	if r.Holder != d.self && d.isLost(r.Holder) {
		return figseam.NewRefusal(explainer.PossiblyExecuted, "instance %s was lost before it stored the answer", r.Holder).
			WithOutcome(figseam.OutcomeUnknown)
	}
	return figseam.NewRefusal(explainer.KeyInProgress, "call is being carried out by instance %s", r.Holder).
		WithOutcome(figseam.OutcomeUnknown).
		WithRetryAt(figseam.DeadlineAfterMillis(retryDelayMillis))
}

// storedOrEmpty returns an empty response in place of an evicted one: status 0 means that
// the call has completed and its response is not stored.
func storedOrEmpty(r *figseam.StoredResponse) *figseam.StoredResponse {
	if r == nil {
		return &figseam.StoredResponse{}
	}
	return r
}

// TakeOver transfers an unfinished claim to this instance, or makes the claim if there is
// none. It does not check that the holder is lost. It is only safe for a service whose
// endpoints share a check of idempotency keys, since the former holder may have sent the
// call.
func (d *Deduplicator) TakeOver(ctx context.Context, key string, digest [32]byte) (figseam.Claim, error) {
	claim := command{Operation: operationClaim, Key: key, Digest: digest[:], Holder: d.self, Nonce: uuid.NewString()}
	sendDeadline := figseam.DeadlineAfterMillis(sendWindowMillis - sendWindowMarginMillis)
	r, err := d.propose(ctx, claim)
	if err == nil && r.Verdict == verdictInProgress {
		takeOver := claim
		takeOver.Operation, takeOver.Fence = operationTakeOver, r.Fence
		r, err = d.propose(ctx, takeOver)
	}
	if err != nil {
		return figseam.Claim{}, d.refuseUnconfirmed(claim, err)
	}
	if r.Verdict != verdictGranted {
		return figseam.Claim{}, figseam.NewRefusal(explainer.KeyInProgress, "claim changed hands").WithOutcome(figseam.OutcomeUnknown)
	}
	return figseam.Claim{Key: key, Digest: digest, Holder: d.self, Fence: r.Fence, SendDeadline: sendDeadline}, nil
}

// Complete implements [figseam.Claimer]. If the body exceeds [MaxResponseBytes], it stores
// only that the call has completed.
func (d *Deduplicator) Complete(ctx context.Context, claim figseam.Claim, response figseam.StoredResponse) (err error) {
	defer func() { err = eris.Wrap(err, "complete claim") }()
	if len(response.Body) > MaxResponseBytes {
		response.Body = nil
		response.Status = 0
	}
	_, err = d.propose(ctx, command{Operation: operationComplete, Key: claim.Key, Fence: claim.Fence, Response: &response})
	return err
}

// Release implements [figseam.Claimer].
func (d *Deduplicator) Release(ctx context.Context, claim figseam.Claim) (err error) {
	defer func() { err = eris.Wrap(err, "release claim") }()
	_, err = d.propose(ctx, command{Operation: operationRelease, Key: claim.Key, Fence: claim.Fence})
	return err
}

var errNoResult = errors.New("state machine returned no result")

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
