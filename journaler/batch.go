package journaler

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

const (
	// headerBytes is the length of a batch's header: magic number, identity's
	// hash, sequence number, payload length and checksum, 4+8+8+4+4 bytes.
	headerBytes = 28
	magic       = 0xF165EA01
	// maxBatchBytes bounds a payload, so that a damaged length is found out.
	maxBatchBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Entry is one entry of the log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// LogMillis is the log's clock at the entry.
	LogMillis int64  `cbor:"3,keyasint"`
	Kind      uint8  `cbor:"4,keyasint"`
	Command   []byte `cbor:"5,keyasint"`
}

// HardState is the term and vote that a replica must not forget.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint"`
}

// batch is what is written at once.
type batch struct {
	Identity string     `cbor:"1,keyasint,omitempty"`
	Ballot   *HardState `cbor:"2,keyasint,omitempty"`
	// CutFrom drops all earlier entries from this index on; 0 drops none.
	CutFrom uint64  `cbor:"3,keyasint,omitempty"`
	Entries []Entry `cbor:"4,keyasint,omitempty"`
}

// encodeBatch returns the batch with its header.
func encodeBatch(salt, sequence uint64, b batch) ([]byte, error) {
	payload, err := cbor.Marshal(b)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxBatchBytes {
		return nil, fmt.Errorf("batch of %d bytes is over the limit of %d", len(payload), maxBatchBytes)
	}
	data := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(data[0:], magic)
	binary.LittleEndian.PutUint64(data[4:], salt)
	binary.LittleEndian.PutUint64(data[12:], sequence)
	binary.LittleEndian.PutUint32(data[20:], uint32(len(payload)))
	data = append(data, payload...)
	binary.LittleEndian.PutUint32(data[24:], checksum(data))
	return data, nil
}

// checksum covers the header up to the checksum, and the payload.
func checksum(data []byte) uint32 {
	sum := crc32.Checksum(data[:24], castagnoli)
	return crc32.Update(sum, castagnoli, data[headerBytes:])
}

// decodeBatch reads the batch at the start of data. ok is false when it is
// damaged or of another sequence.
func decodeBatch(salt, sequence uint64, data []byte) (b batch, size int, ok bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != magic {
		return batch{}, 0, false
	}
	length := int(binary.LittleEndian.Uint32(data[20:]))
	if length > maxBatchBytes || len(data) < headerBytes+length {
		return batch{}, 0, false
	}
	data = data[:headerBytes+length]
	if binary.LittleEndian.Uint32(data[24:]) != checksum(data) {
		return batch{}, 0, false
	}
	if salt != 0 && binary.LittleEndian.Uint64(data[4:]) != salt {
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

// laterBatch returns the offset of a whole batch with a higher sequence number
// behind a damaged one, or -1.
func laterBatch(salt, sequence uint64, data []byte) int {
	for at := 1; at+headerBytes <= len(data); at++ {
		if binary.LittleEndian.Uint32(data[at:]) != magic {
			continue
		}
		if binary.LittleEndian.Uint64(data[at+12:]) <= sequence {
			continue
		}
		if _, _, ok := decodeBatch(salt, 0, data[at:]); ok {
			return at
		}
	}
	return -1
}
