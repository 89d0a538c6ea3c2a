// Package lister keeps the newest reading of the platform's list of endpoints.
//
// One instance reads the list for all and the others are told, since the
// platform bounds the calls of all instances together. An instance whose reading
// has grown old reads the list itself.
package lister

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/figseam/figseam"
)

// Source reads the platform's list.
type Source interface {
	Read(ctx context.Context) ([]figseam.ListedEndpoint, error)
}

const (
	// readMillis bounds one reading.
	readMillis = 1500
	// tickMillis is how often the age of the reading is looked at.
	tickMillis = 100
	// pauseMillis is the least pause after a failed reading.
	pauseMillis = 400
)

// Snapshot is the list with its age, as it travels between instances.
type Snapshot struct {
	Digest    uint64                   `cbor:"1,keyasint"`
	AgeMillis int64                    `cbor:"2,keyasint"`
	Endpoints []figseam.ListedEndpoint `cbor:"3,keyasint,omitempty"`
	// Loaded is false as long as nothing was read.
	Loaded bool `cbor:"4,keyasint,omitempty"`
	// SuspensionMillis is for how much longer endpoints are listed as leaving though the
	// platform's list says otherwise, by their IDs.
	SuspensionMillis map[string]int64 `cbor:"5,keyasint,omitempty"`
}

// EndpointList keeps the newest reading. It is safe for concurrent use.
type EndpointList struct {
	source Source
	log    zerolog.Logger
	// wanted returns the age at which this instance reads the list itself.
	wanted func() time.Duration

	// mu guards everything below.
	mu        sync.Mutex
	endpoints []figseam.ListedEndpoint
	byService map[string][]figseam.ListedEndpoint
	byAddress map[string]figseam.ListedEndpoint
	digest    uint64
	readAt    time.Time
	changed   chan struct{}
	failing   bool
	// suspended endpoints are listed as leaving until the deadline, or until they are
	// listed with another stage.
	suspended map[string]suspension
}

// suspension is until when an endpoint is suspended, and which stage it had.
type suspension struct {
	until figseam.Deadline
	stage figseam.EndpointStage
}

// New returns an empty list. wanted returns the age of the reading at which the
// instance reads it itself.
func New(source Source, wanted func() time.Duration, log zerolog.Logger) *EndpointList {
	return &EndpointList{source: source, wanted: wanted, log: log, changed: make(chan struct{}), suspended: map[string]suspension{}}
}

// Run reads the list whenever the reading is older than wanted. It returns a
// channel that is closed at its end.
func (l *EndpointList) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(tickMillis * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if l.Age() < l.wanted() {
				continue
			}
			if l.read(ctx) {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(pauseMillis*time.Millisecond + rand.N(pauseMillis*time.Millisecond)):
			}
		}
	}()
	return ended
}

func (l *EndpointList) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readMillis*time.Millisecond)
	defer cancel()
	began := time.Now()
	endpoints, err := l.source.Read(ctx)
	l.mu.Lock()
	was := l.failing
	l.failing = err != nil
	l.mu.Unlock()
	if err != nil {
		if !was {
			l.log.Warn().Err(err).Msg("platform list lost")
		}
		return false
	}
	if was {
		l.log.Info().Msg("platform list regained")
	}
	l.take(l.withSuspended(endpoints), began)
	return true
}

// Suspend lists endpoints as leaving until a deadline, here and at all that are told
// of this reading. One that is listed with another stage before is back.
func (l *EndpointList) Suspend(ids []string, until figseam.Deadline) {
	l.mu.Lock()
	for _, id := range ids {
		l.suspended[id] = suspension{until: until, stage: stageIn(l.endpoints, id)}
	}
	endpoints, readAt := slices.Clone(l.endpoints), l.readAt.Add(1)
	l.mu.Unlock()
	l.take(l.withSuspended(endpoints), readAt)
}

func (l *EndpointList) withSuspended(endpoints []figseam.ListedEndpoint) []figseam.ListedEndpoint {
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

// stageIn returns the stage of an endpoint.
func stageIn(endpoints []figseam.ListedEndpoint, id string) figseam.EndpointStage {
	for _, e := range endpoints {
		if e.ID == id {
			return e.Stage
		}
	}
	return figseam.EndpointStageNone
}

// take puts a reading in place if it is newer than the one held.
func (l *EndpointList) take(endpoints []figseam.ListedEndpoint, readAt time.Time) {
	figseam.SortEndpoints(endpoints)
	digest := digestOf(endpoints)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !readAt.After(l.readAt) {
		return
	}
	l.readAt = readAt
	if digest == l.digest && l.byService != nil {
		return
	}
	l.log.Info().Int("endpoints", len(endpoints)).Int("before", len(l.endpoints)).Uint64("digest", digest).Msg("list changed")
	l.endpoints, l.digest = endpoints, digest
	l.byService = map[string][]figseam.ListedEndpoint{}
	l.byAddress = map[string]figseam.ListedEndpoint{}
	for _, e := range endpoints {
		l.byService[e.Service] = append(l.byService[e.Service], e)
		l.byAddress[e.Address] = e
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func digestOf(endpoints []figseam.ListedEndpoint) uint64 {
	data, err := cbor.Marshal(endpoints)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(data, uint64(len(endpoints)))) | 1
}

// Age returns how old the reading is; without one it is an hour.
func (l *EndpointList) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.age()
}

func (l *EndpointList) age() time.Duration {
	if l.readAt.IsZero() {
		return time.Hour
	}
	return time.Since(l.readAt)
}

// Loaded reports whether the list was ever read.
func (l *EndpointList) Loaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byService != nil
}

// AwaitLoaded returns when there is a first reading, or ctx ends.
func (l *EndpointList) AwaitLoaded(ctx context.Context) {
	for {
		l.mu.Lock()
		known, changed := l.byService != nil, l.changed
		l.mu.Unlock()
		if known {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// ServiceEndpoints returns the endpoints of a service. They must not be changed.
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

// HasAddress reports whether an endpoint has this address.
func (l *EndpointList) HasAddress(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.byAddress[address]
	return ok
}

// Digest returns the digest of the endpoints, 0 before the first reading, and a
// channel that is closed when it changes.
func (l *EndpointList) Digest() (uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.digest, l.changed
}

// Snapshot returns the list for an instance that has the one with the given
// digest, whose endpoints are then left out.
func (l *EndpointList) Snapshot(has uint64) Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Snapshot{Digest: l.digest, AgeMillis: l.age().Milliseconds(), Loaded: l.byService != nil}
	for id, s := range l.suspended {
		if s.until.Passed() || s.stage != stageIn(l.endpoints, id) {
			continue
		}
		if r.SuspensionMillis == nil {
			r.SuspensionMillis = map[string]int64{}
		}
		r.SuspensionMillis[id] = s.until.RemainingMillis()
	}
	if r.Loaded && has != l.digest {
		r.Endpoints = l.endpoints
	}
	return r
}

// Merge takes over another instance's reading if it is newer.
func (l *EndpointList) Merge(r Snapshot) {
	if !r.Loaded {
		return
	}
	readAt := time.Now().Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	l.mu.Lock()
	for id, millis := range r.SuspensionMillis {
		// Whoever reads the list next must know, also if the one that suspended the
		// endpoint is frozen or cut off by then.
		if _, ok := l.suspended[id]; !ok {
			endpoints := r.Endpoints
			if endpoints == nil {
				endpoints = l.endpoints
			}
			l.suspended[id] = suspension{until: figseam.DeadlineAfterMillis(millis), stage: stageIn(endpoints, id)}
		}
	}
	same := l.byService != nil && r.Digest == l.digest
	if same && readAt.After(l.readAt) {
		l.readAt = readAt
	}
	l.mu.Unlock()
	if same || (r.Endpoints == nil && r.Digest != digestOf(nil)) {
		return
	}
	l.take(r.Endpoints, readAt)
}
