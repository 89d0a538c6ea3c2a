package journaler

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	// headerBytes is the length of a batch's header: magic number, hash of the
	// identity, sequence number, payload length and checksum, 4+8+8+4+4 bytes.
	headerBytes = 28
	batchMagic  = 0xF165EA01
	// maxPayloadBytes is the maximum length of a payload. A greater length in a header
	// is damage.
	maxPayloadBytes = 64 << 20
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Entry is an entry of the log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// LogMillis is the log's clock at the entry, in milliseconds.
	LogMillis int64  `cbor:"3,keyasint"`
	Kind      uint8  `cbor:"4,keyasint"`
	Command   []byte `cbor:"5,keyasint"`
}

// HardState is the state that a replica must store before it acts on it.
type HardState struct {
	// Term is the current term.
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the identity of the replica voted for in this term, or empty.
	Vote string `cbor:"2,keyasint"`
}

// batch is the unit of writing: it is appended and synced as a whole.
type batch struct {
	Identity  string     `cbor:"1,keyasint,omitempty"`
	HardState *HardState `cbor:"2,keyasint,omitempty"`
	// TruncateFrom removes the entries of earlier batches from this index on; 0
	// removes none.
	TruncateFrom uint64  `cbor:"3,keyasint,omitempty"`
	Entries      []Entry `cbor:"4,keyasint,omitempty"`
}

// encodeBatch returns the header and the payload of a batch.
func encodeBatch(identityHash, sequence uint64, b batch) ([]byte, error) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxPayloadBytes {
		return nil, fmt.Errorf("batch of %d bytes is over the limit of %d", len(payload), maxPayloadBytes)
	}
	data := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(data[0:], batchMagic)
	binary.LittleEndian.PutUint64(data[4:], identityHash)
	binary.LittleEndian.PutUint64(data[12:], sequence)
	binary.LittleEndian.PutUint32(data[20:], uint32(len(payload)))
	data = append(data, payload...)
	binary.LittleEndian.PutUint32(data[24:], checksum(data))
	return data, nil
}

// checksum returns the checksum of the payload and of the header before the checksum
// field.
func checksum(data []byte) uint32 {
	sum := crc32.Checksum(data[:24], castagnoliTable)
	return crc32.Update(sum, castagnoliTable, data[headerBytes:])
}

// decodeBatch decodes the batch at the start of data and returns its size in bytes.
// ok is false if the batch is damaged, or has another identity hash or sequence
// number than given; 0 matches any.
func decodeBatch(identityHash, sequence uint64, data []byte) (b batch, size int, ok bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != batchMagic {
		return batch{}, 0, false
	}
	payloadBytes := int(binary.LittleEndian.Uint32(data[20:]))
	if payloadBytes > maxPayloadBytes || len(data) < headerBytes+payloadBytes {
		return batch{}, 0, false
	}
	data = data[:headerBytes+payloadBytes]
	if binary.LittleEndian.Uint32(data[24:]) != checksum(data) {
		return batch{}, 0, false
	}
	if identityHash != 0 && binary.LittleEndian.Uint64(data[4:]) != identityHash {
		return batch{}, 0, false
	}
	if sequence != 0 && binary.LittleEndian.Uint64(data[12:]) != sequence {
		return batch{}, 0, false
	}
	if cbor.Unmarshal(data[headerBytes:], &b) != nil {
		return batch{}, 0, false
	}
	return b, len(data), true
}

// findLaterBatch returns the offset of an intact batch after a damaged one at the
// start of data, or -1. Its sequence number must be higher than the given one.
func findLaterBatch(identityHash, sequence uint64, data []byte) int {
	for offset := 1; offset+headerBytes <= len(data); offset++ {
		if binary.LittleEndian.Uint32(data[offset:]) != batchMagic {
			continue
		}
		if binary.LittleEndian.Uint64(data[offset+12:]) <= sequence {
			continue
		}
		if _, _, ok := decodeBatch(identityHash, 0, data[offset:]); ok {
			return offset
		}
	}
	return -1
}
