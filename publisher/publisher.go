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

// FaultsError carries the faults of a set of objects.
type FaultsError struct {
	Faults []decoder.Fault
}

// Error tells how many faults there are.
func (e *FaultsError) Error() string { return "objects have faults" }

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
	result, err := p.proposer.Propose(ctx, figseam.Command{Machine: MachineName, Body: body})
	if errors.Is(err, figseam.ErrNotProposed) {
		return 0, figseam.Refuse(explainer.NoMajority, "change was not proposed: no majority of voters was reached in time")
	}
	if err != nil {
		return 0, eris.Wrap(err, "publish change")
	}
	return decodeOutcome(result)
}

func decodeOutcome(result []byte) (uint64, error) {
	var o Outcome
	if err := cbor.Unmarshal(result, &o); err != nil {
		return 0, eris.Wrap(err, "decode outcome")
	}
	switch o.Verdict {
	case VerdictApplied:
		return o.Version, nil
	case VerdictForgotten:
		return o.Version, figseam.Refuse(explainer.ChangeForgotten, "outcome is no longer known; the present version is %d", o.Version).
			WithOutcome(figseam.OutcomeUnknown)
	default:
		return o.Version, figseam.Refuse(explainer.VersionConflict, "change was made for an earlier version; the present one is %d", o.Version)
	}
}

// check holds that the set stays sound. A change that is based on an older
// version needs none: the log will not apply it.
func (p *Publisher) check(ctx context.Context, c Change) error {
	deadline := figseam.DeadlineAfterMillis(catchUpMillis)
	for p.store.Version() < c.Base {
		if deadline.Passed() {
			return figseam.Refuse(explainer.NoMajority, "instance has version %d and not %d that the change is based on", p.store.Version(), c.Base)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	version, objects := p.store.Objects()
	if version > c.Base {
		return nil
	}
	if faults := CheckChange(objects, c); len(faults) > 0 {
		return &FaultsError{Faults: faults}
	}
	return nil
}

// CheckChange returns the faults of the set that a change leads to.
func CheckChange(objects []Object, c Change) []decoder.Fault {
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
		read, bad := checker.Read(o.ID.String(), o.Body)
		all = append(all, read...)
		faults = append(faults, bad...)
	}
	return append(faults, checker.Check(all)...)
}
