// Package keeper stores one document, the configuration, in the replicated log. The
// document with the highest version is current, whatever the order in which versions are
// put. Putting a version that is not higher changes nothing.
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

// stateMachineName identifies the state machine in the commands of the replicated log.
const stateMachineName = "document"

// maxDecompressedBytes bounds the size of a decompressed document. A longer one is
// truncated.
const maxDecompressedBytes = 64 << 20

// command puts a document, or reads the current one if Read is set.
type command struct {
	Read       bool   `cbor:"1,keyasint,omitempty"`
	Version    uint64 `cbor:"2,keyasint,omitempty"`
	Compressed []byte `cbor:"3,keyasint,omitempty"`
}

// Document is a version of the configuration with its compressed text.
type Document struct {
	Version    uint64 `cbor:"1,keyasint"`
	Compressed []byte `cbor:"2,keyasint"`
}

// Machine is the state machine that holds the current document. It implements
// [figseam.StateMachine].
type Machine struct {
	// mu guards everything below.
	mu      sync.Mutex
	current Document
	changed chan struct{}
}

// NewMachine returns a state machine without a document.
func NewMachine() *Machine { return &Machine{changed: make(chan struct{})} }

// Name implements [figseam.StateMachine].
func (m *Machine) Name() string { return stateMachineName }

// Apply implements [figseam.StateMachine].
func (m *Machine) Apply(entry figseam.CommittedCommand) []byte {
	var c command
	if cbor.Unmarshal(entry.Body, &c) != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Read {
		return encodeDocument(m.current)
	}
	if c.Version > m.current.Version {
		m.replace(Document{Version: c.Version, Compressed: c.Compressed})
	}
	return encodeDocument(Document{Version: m.current.Version})
}

func (m *Machine) replace(d Document) {
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
		m.replace(d)
	}
	return nil
}

// Current returns the newest document applied on this instance and a channel that is
// closed when a newer one is applied. The log may hold a newer one that is not applied
// here yet; see [Store.Read].
func (m *Machine) Current() (Document, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current, m.changed
}

func encodeDocument(d Document) []byte {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil
	}
	return data
}

// Store puts and reads documents through the replicated log. It is safe for concurrent use.
type Store struct {
	proposer figseam.Proposer
}

// NewStore returns a store that proposes its commands to proposer.
func NewStore(proposer figseam.Proposer) *Store { return &Store{proposer: proposer} }

// Put stores a document and returns the current version once a majority has the document
// on disk. After an error other than [figseam.ErrNotProposed] the document may have been
// stored.
func (k *Store) Put(ctx context.Context, version uint64, text []byte) (current uint64, err error) {
	defer func() { err = eris.Wrap(err, "put document") }()
	compressed, err := Compress(text)
	if err != nil {
		return 0, err
	}
	d, err := k.propose(ctx, command{Version: version, Compressed: compressed})
	return d.Version, err
}

// Read returns the current document. It is linearizable: the version is at least as high
// as every version whose Put returned before the call.
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
	result, err := k.proposer.Propose(ctx, figseam.Command{Machine: stateMachineName, Body: body})
	if err != nil {
		return Document{}, err
	}
	var d Document
	return d, cbor.Unmarshal(result, &d)
}

// Compress returns the text in DEFLATE format.
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

// Decompress returns the text of a compressed document, truncated to
// maxDecompressedBytes.
func Decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	defer func() { _ = r.Close() }()
	return io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
}
