package publisher

import (
	"maps"
	"slices"
	"sync"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/checker"
)

const (
	// keptDeltas is how far a peer may be behind to be sent deltas and not the
	// whole set.
	keptDeltas = 512
	// pageObjects is how many objects one page of the whole set holds.
	pageObjects = 2000
)

// Store is an instance's copy of the configuration. It only moves to higher
// versions. Its methods are safe for concurrent use.
type Store struct {
	// changing is held while a version is put in force, so that watchers see
	// versions in order.
	changing sync.Mutex
	watchers []func(*figseam.Config)

	// mu guards everything below. Maps and slices that were handed out are
	// replaced and never changed.
	mu      sync.Mutex
	objects map[figseam.ObjectID][]byte
	config  *figseam.Config
	deltas  []Delta
}

// NewStore returns a store without any version.
func NewStore() *Store {
	return &Store{objects: map[figseam.ObjectID][]byte{}}
}

// Subscribe calls f with every configuration that comes into force, in order. It
// must be called before the store is used.
func (s *Store) Subscribe(f func(*figseam.Config)) {
	s.watchers = append(s.watchers, f)
}

// Config returns the configuration in force, or nil before the first.
func (s *Store) Config() *figseam.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Version returns the version in force, 0 before the first.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version()
}

func (s *Store) version() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// Objects returns the version in force and its objects, ordered by name.
func (s *Store) Objects() (uint64, []Object) {
	s.mu.Lock()
	version, objects := s.version(), s.objects
	s.mu.Unlock()
	return version, sortedObjects(objects)
}

// ApplyDelta puts the next version in force. It reports false when the delta
// does not follow the present version.
func (s *Store) ApplyDelta(d Delta) bool {
	s.changing.Lock()
	defer s.changing.Unlock()
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
	if len(s.deltas) > keptDeltas {
		s.deltas = slices.Clone(s.deltas[len(s.deltas)-keptDeltas:])
	}
	config := s.config
	s.mu.Unlock()
	s.announce(config)
	return true
}

// Replace puts a whole version in force if it is higher than the present one.
func (s *Store) Replace(version uint64, objects []Object) bool {
	s.changing.Lock()
	defer s.changing.Unlock()
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
	s.announce(config)
	return true
}

func (s *Store) announce(config *figseam.Config) {
	for _, f := range s.watchers {
		f(config)
	}
}

// parse reads objects that were checked before they were published.
func parse(objects []Object) []checker.Object {
	var parsed []checker.Object
	for _, o := range objects {
		read, _ := checker.Parse(o.ID.String(), o.Body)
		parsed = append(parsed, read...)
	}
	return parsed
}

// Update is what one instance sends another: deltas that follow the reader's
// version, or a page of the whole set when it is too far behind.
type Update struct {
	// Version is the sender's version.
	Version uint64  `cbor:"1,keyasint"`
	Deltas  []Delta `cbor:"2,keyasint,omitempty"`
	// Objects holds objects behind the cursor, in order; Next is the cursor of the
	// next page, and nil after the last.
	Objects    []Object          `cbor:"3,keyasint,omitempty"`
	NextCursor *figseam.ObjectID `cbor:"4,keyasint,omitempty"`
	FullSet    bool              `cbor:"5,keyasint,omitempty"`
}

// UpdateSince returns what a reader at version after lacks. With cursor set it goes on
// with the pages of the whole set.
func (s *Store) UpdateSince(after uint64, cursor *figseam.ObjectID) Update {
	s.mu.Lock()
	version, objects, deltas := s.version(), s.objects, s.deltas
	s.mu.Unlock()
	if cursor == nil && after >= version {
		return Update{Version: version}
	}
	if cursor == nil && len(deltas) > 0 && deltas[0].Version <= after+1 {
		first := int(after + 1 - deltas[0].Version)
		return Update{Version: version, Deltas: limit(deltas[first:])}
	}
	return page(version, objects, cursor)
}

// maxUpdateBytes keeps an update well below a message's limit.
const maxUpdateBytes = 1 << 20

func limit(deltas []Delta) []Delta {
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

func page(version uint64, objects map[figseam.ObjectID][]byte, cursor *figseam.ObjectID) Update {
	u := Update{Version: version, FullSet: true}
	size := 0
	for _, o := range sortedObjects(objects) {
		if cursor != nil && compareIDs(o.ID, *cursor) <= 0 {
			continue
		}
		if size += len(o.Body); len(u.Objects) >= pageObjects || (size > maxUpdateBytes && len(u.Objects) > 0) {
			last := u.Objects[len(u.Objects)-1].ID
			u.NextCursor = &last
			return u
		}
		u.Objects = append(u.Objects, o)
	}
	return u
}

// History returns the latest changes that this instance has seen, oldest first.
func (s *Store) History() []Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.deltas)
}
