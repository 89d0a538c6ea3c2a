// Package lister keeps the latest copy of the platform's list of endpoints.
//
// The platform limits the calls of all instances together, so one instance reads the
// list and distributes it. An instance whose copy is too old reads the list itself.
package lister

import (
	"context"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/recoverer"
)

// Source reads the platform's list.
type Source interface {
	Read(ctx context.Context) ([]figseam.ListedEndpoint, error)
}

const (
	readTimeoutMillis = 1500
	// ageCheckIntervalMillis is the interval at which the age of the list is checked.
	ageCheckIntervalMillis = 100
	// minRetryDelayMillis is the shortest delay after a failed read; the longest is twice
	// as long.
	minRetryDelayMillis = 400
)

// Snapshot is the list with its age, as instances send it to each other.
type Snapshot struct {
	Digest    uint64                   `cbor:"1,keyasint"`
	AgeMillis int64                    `cbor:"2,keyasint"`
	Endpoints []figseam.ListedEndpoint `cbor:"3,keyasint,omitempty"`
	// Loaded is false until the sender has a list.
	Loaded bool `cbor:"4,keyasint,omitempty"`
	// BaseDigest, if not 0, is the digest of the list to which Endpoints and Removed are
	// the changes: endpoints that were added or modified, and IDs of those that are gone.
	BaseDigest uint64   `cbor:"6,keyasint,omitempty"`
	Removed    []string `cbor:"7,keyasint,omitempty"`
	// SuspensionMillis is the remaining time, by endpoint ID, for which endpoints are
	// listed as draining regardless of the platform's list.
	SuspensionMillis map[string]int64 `cbor:"5,keyasint,omitempty"`
}

// EndpointList is this instance's latest copy of the platform's list. It is safe for
// concurrent use.
type EndpointList struct {
	source Source
	log    zerolog.Logger
	// maxAge returns the age of the list at which this instance reads the source.
	maxAge func() time.Duration

	// mu guards everything below.
	mu          sync.Mutex
	endpoints   []figseam.ListedEndpoint
	byService   map[string][]figseam.ListedEndpoint
	byAddress   map[string]figseam.ListedEndpoint
	byID        map[string]figseam.ListedEndpoint
	digest      uint64
	history     history
	readAt      time.Time
	changed     chan struct{}
	readFailing bool
	// suspended holds the endpoints, by ID, that are listed as draining until a deadline
	// or until the platform lists them with another stage.
	suspended map[string]suspension
	// leaving holds the runs of endpoints that said in an answer to this instance that they
	// leave, with the time at which they were last listed. It is not part of the list that
	// other instances receive.
	leaving map[figseam.EndpointRun]time.Time
}

// suspension holds the end of an endpoint's suspension and the endpoint's stage at the
// start of the suspension.
type suspension struct {
	until figseam.Deadline
	stage figseam.EndpointStage
}

// New returns an empty list. maxAge returns the age of the list at which this instance
// reads the source.
func New(source Source, maxAge func() time.Duration, log zerolog.Logger) *EndpointList {
	return &EndpointList{source: source, maxAge: maxAge, log: log, changed: make(chan struct{}), suspended: map[string]suspension{}, leaving: map[figseam.EndpointRun]time.Time{}}
}

// Run reads the source whenever the list is older than maxAge allows, until ctx ends. It
// returns a channel that is closed when the reads have ended.
func (l *EndpointList) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(ageCheckIntervalMillis * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if l.Age() < l.maxAge() {
				continue
			}
			if l.readSource(ctx) {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(minRetryDelayMillis*time.Millisecond + rand.N(minRetryDelayMillis*time.Millisecond)):
			}
		}
	}()
	return ended
}

// readSource reads the source once and reports whether the read succeeded.
func (l *EndpointList) readSource(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutMillis*time.Millisecond)
	defer cancel()
	startedAt := time.Now()
	var endpoints []figseam.ListedEndpoint
	err := recoverer.Call(l.log, "read of the endpoint list", func() (err error) {
		endpoints, err = l.source.Read(ctx)
		return err
	})
	l.mu.Lock()
	wasFailing := l.readFailing
	l.readFailing = err != nil
	l.mu.Unlock()
	if err != nil {
		if !wasFailing {
			l.log.Warn().Err(err).Msg("platform list lost")
		}
		return false
	}
	if wasFailing {
		l.log.Info().Msg("platform list regained")
	}
	l.replaceIfNewer(l.markSuspended(endpoints), startedAt)
	return true
}

// Suspend lists endpoints as draining until a deadline, here and on all instances that
// merge a snapshot of this list. The suspension of an endpoint ends earlier if the
// platform lists the endpoint with another stage.
func (l *EndpointList) Suspend(ids []string, until figseam.Deadline) {
	l.mu.Lock()
	for _, id := range ids {
		l.suspended[id] = suspension{until: until, stage: stageOf(l.endpoints, id)}
	}
	// One nanosecond later, so that replaceIfNewer accepts the list.
	endpoints, readAt := slices.Clone(l.endpoints), l.readAt.Add(1)
	l.mu.Unlock()
	l.replaceIfNewer(l.markSuspended(endpoints), readAt)
}

// markSuspended sets Draining on the suspended endpoints in place and removes suspensions
// whose deadline has passed.
func (l *EndpointList) markSuspended(endpoints []figseam.ListedEndpoint) []figseam.ListedEndpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.suspended {
		if s.until.Passed() {
			delete(l.suspended, id)
		}
	}
	for i, e := range endpoints {
		if s, ok := l.suspended[e.ID]; ok && s.stage == e.Stage {
			endpoints[i].Draining = true
		}
	}
	return endpoints
}

// stageOf returns the stage of an endpoint, [figseam.EndpointStageNone] if it is not
// listed.
func stageOf(endpoints []figseam.ListedEndpoint, id string) figseam.EndpointStage {
	for _, e := range endpoints {
		if e.ID == id {
			return e.Stage
		}
	}
	return figseam.EndpointStageNone
}

// replaceIfNewer replaces the list by one that was read later. Endpoints are sorted in
// place.
func (l *EndpointList) replaceIfNewer(endpoints []figseam.ListedEndpoint, readAt time.Time) {
	figseam.SortEndpoints(endpoints)
	digest := computeDigest(endpoints)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !readAt.After(l.readAt) {
		return
	}
	l.readAt = readAt
	if digest == l.digest && l.byService != nil {
		return
	}
	l.log.Info().Int("endpoints", len(endpoints)).Int("before", len(l.endpoints)).Uint64("digest", digest).Msg("endpoint list changed")
	l.history.record(l.digest, l.endpoints, endpoints)
	l.endpoints, l.digest = endpoints, digest
	l.forgetEndedRuns()
	l.index()
	close(l.changed)
	l.changed = make(chan struct{})
}

// computeDigest returns a hash of the endpoints. It is never 0 unless encoding fails,
// since 0 is the digest before the first read.
func computeDigest(endpoints []figseam.ListedEndpoint) uint64 {
	data, err := cbor.Marshal(endpoints)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(data, uint64(len(endpoints)))) | 1
}

// Age returns the time since the list was read, or an hour if it was never read.
func (l *EndpointList) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ageLocked()
}

func (l *EndpointList) ageLocked() time.Duration {
	if l.readAt.IsZero() {
		return time.Hour
	}
	return time.Since(l.readAt)
}

// Loaded reports whether a list was read or merged.
func (l *EndpointList) Loaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byService != nil
}

// AwaitLoaded blocks until the list is loaded or ctx ends.
func (l *EndpointList) AwaitLoaded(ctx context.Context) {
	for {
		l.mu.Lock()
		loaded, changed := l.byService != nil, l.changed
		l.mu.Unlock()
		if loaded {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// ServiceEndpoints returns the endpoints of a service. The caller must not modify
// them.
func (l *EndpointList) ServiceEndpoints(name string) []figseam.ListedEndpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byService[name]
}

// ServiceNames returns the names of the services that have endpoints.
func (l *EndpointList) ServiceNames() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.byService))
	for name := range l.byService {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AcceptsWork reports whether an endpoint that was listed earlier may receive new work now:
// the same run of it is still listed, and not as draining.
func (l *EndpointList) AcceptsWork(e figseam.ListedEndpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed, ok := l.byID[e.ID]
	return ok && !listed.Draining && listed.StartedMillis == e.StartedMillis && listed.Address == e.Address
}

// HasAddress reports whether an endpoint with this address is listed.
func (l *EndpointList) HasAddress(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.byAddress[address]
	return ok
}

// Digest returns the digest of the endpoints, 0 before the first read, and a channel that
// is closed when it changes.
func (l *EndpointList) Digest() (uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest, l.changed
}

// Snapshot returns the list for an instance whose copy has the digest heldDigest. The
// endpoints are omitted if that is the digest of this list.
func (l *EndpointList) Snapshot(heldDigest uint64) Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := l.metadata()
	if snapshot.Loaded && heldDigest != l.digest {
		snapshot.Endpoints = l.endpoints
	}
	return snapshot
}

// Changes is like [EndpointList.Snapshot], but returns only the changes of the list since it
// had the digest heldDigest, if those are remembered.
func (l *EndpointList) Changes(heldDigest uint64) Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := l.metadata()
	if !snapshot.Loaded || heldDigest == l.digest {
		return snapshot
	}
	ids, ok := l.history.changedSince(heldDigest)
	if !ok || heldDigest == 0 {
		snapshot.Endpoints = l.endpoints
		return snapshot
	}
	snapshot.BaseDigest = heldDigest
	for _, e := range l.endpoints {
		if ids[e.ID] {
			snapshot.Endpoints = append(snapshot.Endpoints, e)
			delete(ids, e.ID)
		}
	}
	snapshot.Removed = slices.Sorted(maps.Keys(ids))
	return snapshot
}

// Metadata returns the snapshot without endpoints.
func (l *EndpointList) Metadata() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.metadata()
}

// metadata is Metadata for a caller that holds mu.
func (l *EndpointList) metadata() Snapshot {
	snapshot := Snapshot{Digest: l.digest, AgeMillis: l.ageLocked().Milliseconds(), Loaded: l.byService != nil}
	for id, s := range l.suspended {
		if s.until.Passed() || s.stage != stageOf(l.endpoints, id) {
			continue
		}
		if snapshot.SuspensionMillis == nil {
			snapshot.SuspensionMillis = map[string]int64{}
		}
		snapshot.SuspensionMillis[id] = s.until.RemainingMillis()
	}
	return snapshot
}

// Merge adds the suspensions in another instance's snapshot to those of this list, and
// replaces the list by the snapshot's if that was read later. Changes to another list than
// this one are ignored.
func (l *EndpointList) Merge(snapshot Snapshot) {
	if !snapshot.Loaded {
		return
	}
	readAt := time.Now().Add(-time.Duration(snapshot.AgeMillis) * time.Millisecond)
	l.mu.Lock()
	endpoints, known := l.endpointsOf(snapshot)
	l.mergeSuspensions(snapshot.SuspensionMillis, endpoints)
	sameEndpoints := l.byService != nil && snapshot.Digest == l.digest
	if sameEndpoints && readAt.After(l.readAt) {
		l.readAt = readAt
	}
	l.mu.Unlock()
	if known && !sameEndpoints {
		l.replaceIfNewer(endpoints, readAt)
	}
}

// endpointsOf returns the endpoints of a snapshot. It returns those of this list and false
// if the snapshot does not contain them: it has only their digest, or changes to another
// list. The caller holds mu.
func (l *EndpointList) endpointsOf(snapshot Snapshot) ([]figseam.ListedEndpoint, bool) {
	switch {
	case snapshot.BaseDigest != 0 && snapshot.BaseDigest == l.digest:
		return applyChanges(l.endpoints, snapshot.Endpoints, snapshot.Removed), true
	case snapshot.BaseDigest == 0 && (snapshot.Endpoints != nil || snapshot.Digest == computeDigest(nil)):
		return snapshot.Endpoints, true
	}
	return l.endpoints, false
}

// mergeSuspensions stores suspensions that are new here, because this instance may read
// the source next: the instance that suspended the endpoints may be unresponsive or
// partitioned by then. The caller holds mu.
func (l *EndpointList) mergeSuspensions(suspensionMillis map[string]int64, endpoints []figseam.ListedEndpoint) {
	for id, millis := range suspensionMillis {
		if _, ok := l.suspended[id]; !ok {
			l.suspended[id] = suspension{until: figseam.DeadlineAfterMillis(millis), stage: stageOf(endpoints, id)}
		}
	}
}
