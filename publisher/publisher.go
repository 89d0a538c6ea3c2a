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

// catchUpTimeoutMillis bounds the time for which Publish waits until this instance has
// reached the version that the change is based on.
const catchUpTimeoutMillis = 2000

// ValidationError lists the faults of a set of configuration objects.
type ValidationError struct {
	Faults []decoder.Fault
}

// Error implements error. The text does not include the faults.
func (e *ValidationError) Error() string { return "objects have faults" }

// Publisher validates and proposes changes. It is safe for concurrent use.
type Publisher struct {
	store    *Store
	proposer figseam.Proposer
}

// New returns a publisher that validates changes against the objects of store and
// submits them to proposer.
func New(store *Store, proposer figseam.Proposer) *Publisher {
	return &Publisher{store: store, proposer: proposer}
}

// Publish validates the set of objects that results from a change, proposes the change to
// the replicated log and returns the version that the change created. After an error other
// than a *ValidationError or *figseam.Refusal, the change may or may not have been
// applied; sending it again with the same ID returns its result.
func (p *Publisher) Publish(ctx context.Context, c Change) (version uint64, err error) {
	if err := p.validate(ctx, c); err != nil {
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
	return decodeResult(result)
}

func decodeResult(result []byte) (uint64, error) {
	var r ChangeResult
	if err := cbor.Unmarshal(result, &r); err != nil {
		return 0, eris.Wrap(err, "decode outcome")
	}
	switch r.Status {
	case StatusApplied:
		return r.Version, nil
	case StatusExpired:
		return r.Version, figseam.NewRefusal(explainer.ChangeRecordExpired, "outcome is no longer known; the present version is %d", r.Version).
			WithOutcome(figseam.OutcomeUnknown)
	default:
		return r.Version, figseam.NewRefusal(explainer.VersionConflict, "change was made for an earlier version; the present one is %d", r.Version)
	}
}

// validate waits until this instance has reached the version that the change is based
// on, and returns a *ValidationError if the change leads to an invalid set of objects. A
// change that is based on an older version is not validated, since the log does not
// apply it.
func (p *Publisher) validate(ctx context.Context, c Change) error {
	deadline := figseam.DeadlineAfterMillis(catchUpTimeoutMillis)
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

// ValidateChange returns the faults of the set of objects that results from applying c
// to objects.
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
		parsed, objectFaults := checker.Parse(o.ID.String(), o.Body)
		all = append(all, parsed...)
		faults = append(faults, objectFaults...)
	}
	return append(faults, checker.Check(all)...)
}
