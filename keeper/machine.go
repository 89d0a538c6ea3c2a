// Package keeper holds one document, a configuration, in the replicated log: the
// highest version that was ever put is in force, whatever the order in which
// versions arrive. Putting a version that is not higher changes nothing.
package keeper

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
)

// machineName names the state machine in commands.
const machineName = "document"

// maxDocumentBytes bounds an unpacked document.
const maxDocumentBytes = 64 << 20

// command puts a document, or reads the newest one when Read is set.
type command struct {
	Read    bool   `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Packed  []byte `cbor:"3,keyasint,omitempty"`
}

// Document is a version with its packed text.
type Document struct {
	Version    uint64 `cbor:"1,keyasint"`
	Compressed []byte `cbor:"2,keyasint"`
}

// Machine is the state machine. It implements [figseam.StateMachine].
type Machine struct {
	// mu guards everything below.
	mu      sync.Mutex
	current Document
	changed chan struct{}
}

// NewMachine returns a machine without a document.
func NewMachine() *Machine { return &Machine{changed: make(chan struct{})} }

// Name implements [figseam.StateMachine].
func (m *Machine) Name() string { return machineName }

// Apply implements [figseam.StateMachine].
func (m *Machine) Apply(entry figseam.CommittedCommand) []byte {
	var c command
	if cbor.Unmarshal(entry.Body, &c) != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Read {
		return encode(m.current)
	}
	if c.Version > m.current.Version {
		m.set(Document{Version: c.Version, Compressed: c.Packed})
	}
	return encode(Document{Version: m.current.Version})
}

func (m *Machine) set(d Document) {
	m.current = d
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot implements [figseam.StateMachine].
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cbor.Marshal(m.current)
}

// Restore implements [figseam.StateMachine].
func (m *Machine) Restore(snapshot []byte) error {
	var d Document
	if err := cbor.Unmarshal(snapshot, &d); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Version > m.current.Version {
		m.set(d)
	}
	return nil
}

// Current returns the newest document applied here and a channel that is closed
// when there is a newer one. Others may have been put elsewhere.
func (m *Machine) Current() (Document, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.changed
}

func encode(d Document) []byte {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil
	}
	return data
}

// Store puts and reads documents through the log. It is safe for concurrent use.
type Store struct {
	proposer figseam.Proposer
}

// NewStore returns a keeper.
func NewStore(proposer figseam.Proposer) *Store { return &Store{proposer: proposer} }

// Put stores a document and returns once a majority has it on disk. It returns
// the version in force. Unless the error is ErrNotProposed the document may be
// stored all the same.
func (k *Store) Put(ctx context.Context, version uint64, text []byte) (inForce uint64, err error) {
	defer func() { err = eris.Wrap(err, "put document") }()
	packed, err := Compress(text)
	if err != nil {
		return 0, err
	}
	d, err := k.propose(ctx, command{Version: version, Packed: packed})
	return d.Version, err
}

// Read returns the newest document: no version that was put before the call is
// missing.
func (k *Store) Read(ctx context.Context) (version uint64, text []byte, err error) {
	defer func() { err = eris.Wrap(err, "read document") }()
	d, err := k.propose(ctx, command{Read: true})
	if err != nil || d.Version == 0 {
		return 0, nil, err
	}
	text, err = Decompress(d.Compressed)
	return d.Version, text, err
}

func (k *Store) propose(ctx context.Context, c command) (Document, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return Document{}, err
	}
	result, err := k.proposer.Propose(ctx, figseam.Command{Machine: machineName, Body: body})
	if err != nil {
		return Document{}, err
	}
	var d Document
	return d, cbor.Unmarshal(result, &d)
}

// Compress compresses a text.
func Compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decompress returns the text of a document.
func Decompress(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = r.Close() }()
	return io.ReadAll(io.LimitReader(r, maxDocumentBytes))
}
