package publisher

import (
	"maps"
	"slices"
	"sync"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/checker"
)

const (
	// retainedDeltas is the number of latest deltas that a store retains. A peer that is
	// further behind gets the full set.
	retainedDeltas = 512
	// maxPageObjects bounds the objects of one page of the full set.
	maxPageObjects = 2000
)

// Store is an instance's copy of the configuration. It only moves to higher versions.
// It is safe for concurrent use.
type Store struct {
	// applyMu is held while a version is applied and passed to the subscribers, so that
	// they get versions in order.
	applyMu     sync.Mutex
	subscribers []func(*figseam.Config)

	// mu guards the fields below. Readers use maps and slices after releasing mu, so these
	// are replaced and never modified.
	mu      sync.Mutex
	objects map[figseam.ObjectID][]byte
	config  *figseam.Config
	deltas  []Delta
}

// NewStore returns an empty store, whose version is 0.
func NewStore() *Store {
	return &Store{objects: map[figseam.ObjectID][]byte{}}
}

// Subscribe registers f to be called with every configuration that is applied, in order.
// It must be called before the store is used.
func (s *Store) Subscribe(f func(*figseam.Config)) {
	s.subscribers = append(s.subscribers, f)
}

// Config returns the current configuration, or nil before the first version.
func (s *Store) Config() *figseam.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Version returns the current version, or 0 before the first.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version()
}

// version is like Version. The caller holds mu.
func (s *Store) version() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// Objects returns the current version and its objects, sorted by ID.
func (s *Store) Objects() (uint64, []Object) {
	s.mu.Lock()
	version, objects := s.version(), s.objects
	s.mu.Unlock()
	return version, sortedObjects(objects)
}

// ApplyDelta applies a delta to the configuration. It does nothing and returns false if
// the delta's version does not directly follow the current version.
func (s *Store) ApplyDelta(d Delta) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	if d.Version != s.version()+1 {
		s.mu.Unlock()
		return false
	}
	objects := maps.Clone(s.objects)
	for _, o := range d.Upsert {
		objects[o.ID] = o.Body
	}
	for _, id := range d.Delete {
		delete(objects, id)
	}
	s.objects = objects
	s.config = checker.UpdateConfig(s.config, d.Version, parse(d.Upsert), d.Delete)
	s.deltas = append(s.deltas, d)
	if len(s.deltas) > retainedDeltas {
		s.deltas = slices.Clone(s.deltas[len(s.deltas)-retainedDeltas:])
	}
	config := s.config
	s.mu.Unlock()
	s.notify(config)
	return true
}

// Replace replaces the configuration by a full set of objects. It does nothing and
// returns false if version is not higher than the current version.
func (s *Store) Replace(version uint64, objects []Object) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	if version <= s.version() {
		s.mu.Unlock()
		return false
	}
	s.objects = make(map[figseam.ObjectID][]byte, len(objects))
	for _, o := range objects {
		s.objects[o.ID] = o.Body
	}
	s.config = checker.NewConfig(version, parse(objects))
	s.deltas = nil
	config := s.config
	s.mu.Unlock()
	s.notify(config)
	return true
}

func (s *Store) notify(config *figseam.Config) {
	for _, f := range s.subscribers {
		f(config)
	}
}

// parse parses objects. Publish has validated them, so faults are ignored.
func parse(objects []Object) []checker.Object {
	var parsed []checker.Object
	for _, o := range objects {
		valid, _ := checker.Parse(o.ID.String(), o.Body)
		parsed = append(parsed, valid...)
	}
	return parsed
}

// Update is a message between instances. It holds the deltas after the receiver's
// version, or a page of the full set if the receiver is too far behind.
type Update struct {
	// Version is the sender's version.
	Version uint64  `cbor:"1,keyasint"`
	Deltas  []Delta `cbor:"2,keyasint,omitempty"`
	// Objects holds the objects after the cursor, sorted by ID. NextCursor is the cursor
	// of the next page, or nil on the last page.
	Objects    []Object          `cbor:"3,keyasint,omitempty"`
	NextCursor *figseam.ObjectID `cbor:"4,keyasint,omitempty"`
	FullSet    bool              `cbor:"5,keyasint,omitempty"`
}

// UpdateSince returns the deltas that follow the version after, or the first page of the
// full set if they are not retained. If there are none, the update holds only the current
// version. If cursor is set, UpdateSince returns the page that follows the cursor.
func (s *Store) UpdateSince(after uint64, cursor *figseam.ObjectID) Update {
	s.mu.Lock()
	version, objects, deltas := s.version(), s.objects, s.deltas
	s.mu.Unlock()
	if cursor == nil && after >= version {
		return Update{Version: version}
	}
	if cursor == nil && len(deltas) > 0 && deltas[0].Version <= after+1 {
		first := int(after + 1 - deltas[0].Version)
		return Update{Version: version, Deltas: truncateDeltas(deltas[first:])}
	}
	return fullSetPage(version, objects, cursor)
}

// maxUpdateBytes bounds the object bodies of an update, so that its message stays well
// below the size limit of messages.
const maxUpdateBytes = 1 << 20

// truncateDeltas returns the longest prefix of deltas that fits into maxUpdateBytes, with
// at least one delta.
func truncateDeltas(deltas []Delta) []Delta {
	size := 0
	for i, d := range deltas {
		for _, o := range d.Upsert {
			size += len(o.Body)
		}
		if i > 0 && size > maxUpdateBytes {
			return deltas[:i]
		}
	}
	return deltas
}

// fullSetPage returns the objects after cursor, up to maxPageObjects and maxUpdateBytes,
// with at least one object if any is left.
func fullSetPage(version uint64, objects map[figseam.ObjectID][]byte, cursor *figseam.ObjectID) Update {
	u := Update{Version: version, FullSet: true}
	size := 0
	for _, o := range sortedObjects(objects) {
		if cursor != nil && compareIDs(o.ID, *cursor) <= 0 {
			continue
		}
		if size += len(o.Body); len(u.Objects) >= maxPageObjects || (size > maxUpdateBytes && len(u.Objects) > 0) {
			last := u.Objects[len(u.Objects)-1].ID
			u.NextCursor = &last
			return u
		}
		u.Objects = append(u.Objects, o)
	}
	return u
}

// History returns the deltas that this instance retains, oldest first.
func (s *Store) History() []Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.deltas)
}
