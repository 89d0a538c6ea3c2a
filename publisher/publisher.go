package publisher

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/checker"
	"github.com/figseam/figseam/decoder"
	"github.com/figseam/figseam/explainer"
)

// catchUpMillis is how long a publish waits for this instance to have the
// version that the change is based on.
const catchUpMillis = 2000

// ValidationError carries the faults of a set of objects.
type ValidationError struct {
	Faults []decoder.Fault
}

// Error tells how many faults there are.
func (e *ValidationError) Error() string { return "objects have faults" }

// Publisher publishes changes. It is safe for concurrent use.
type Publisher struct {
	store    *Store
	proposer figseam.Proposer
}

// New returns a publisher that checks against store and agrees by proposer.
func New(store *Store, proposer figseam.Proposer) *Publisher {
	return &Publisher{store: store, proposer: proposer}
}

// Publish checks the set that the change leads to, then has it agreed. The error
// is a *FaultsError, a *Refusal, or leaves open whether the change was applied;
// sending it again with its number tells.
func (p *Publisher) Publish(ctx context.Context, c Change) (version uint64, err error) {
	if err := p.check(ctx, c); err != nil {
		return 0, err
	}
	body, err := cbor.Marshal(c)
	if err != nil {
		return 0, eris.Wrap(err, "encode change")
	}
	result, err := p.proposer.Propose(ctx, figseam.Command{Machine: StateMachineName, Body: body})
	if errors.Is(err, figseam.ErrNotProposed) {
		return 0, figseam.NewRefusal(explainer.NoQuorum, "change was not proposed: no majority of voters was reached in time")
	}
	if err != nil {
		return 0, eris.Wrap(err, "publish change")
	}
	return decodeOutcome(result)
}

func decodeOutcome(result []byte) (uint64, error) {
	var o ChangeResult
	if err := cbor.Unmarshal(result, &o); err != nil {
		return 0, eris.Wrap(err, "decode outcome")
	}
	switch o.Status {
	case StatusApplied:
		return o.Version, nil
	case StatusExpired:
		return o.Version, figseam.NewRefusal(explainer.ChangeRecordExpired, "outcome is no longer known; the present version is %d", o.Version).
			WithOutcome(figseam.OutcomeUnknown)
	default:
		return o.Version, figseam.NewRefusal(explainer.VersionConflict, "change was made for an earlier version; the present one is %d", o.Version)
	}
}

// check holds that the set stays sound. A change that is based on an older
// version needs none: the log will not apply it.
func (p *Publisher) check(ctx context.Context, c Change) error {
	deadline := figseam.DeadlineAfterMillis(catchUpMillis)
	for p.store.Version() < c.BaseVersion {
		if deadline.Passed() {
			return figseam.NewRefusal(explainer.NoQuorum, "instance has version %d and not %d that the change is based on", p.store.Version(), c.BaseVersion)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	version, objects := p.store.Objects()
	if version > c.BaseVersion {
		return nil
	}
	if faults := ValidateChange(objects, c); len(faults) > 0 {
		return &ValidationError{Faults: faults}
	}
	return nil
}

// ValidateChange returns the faults of the set that a change leads to.
func ValidateChange(objects []Object, c Change) []decoder.Fault {
	byID := make(map[figseam.ObjectID][]byte, len(objects))
	for _, o := range objects {
		byID[o.ID] = o.Body
	}
	var faults []decoder.Fault
	for _, o := range c.Upsert {
		byID[o.ID] = o.Body
	}
	for _, id := range c.Delete {
		delete(byID, id)
	}
	var all []checker.Object
	for _, o := range sortedObjects(byID) {
		read, bad := checker.Parse(o.ID.String(), o.Body)
		all = append(all, read...)
		faults = append(faults, bad...)
	}
	return append(faults, checker.Check(all)...)
}
