package figseam

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token, for estimates.
	BytesPerToken = 4
	// PrefixBlockTokens is how many tokens one block of the prefix cache holds.
	PrefixBlockTokens = 256
	// MaxPrefixBlocks bounds the hashes carried with a job.
	MaxPrefixBlocks = 64
)

// EstimateTokens returns the estimated number of tokens of a text, at least 1.
func EstimateTokens(text string) int {
	return max(1, (len(text)+BytesPerToken-1)/BytesPerToken)
}

// PrefixBlocks returns the chained hashes of the whole blocks of a prompt. Two
// prompts share their first n blocks exactly when their first n hashes agree.
func PrefixBlocks(prompt string) []uint64 {
	const blockBytes = PrefixBlockTokens * BytesPerToken
	n := min(len(prompt)/blockBytes, MaxPrefixBlocks)
	blocks := make([]uint64, 0, n)
	var chain [8]byte
	for i := range n {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(chain[:])
		_, _ = d.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		sum := d.Sum64()
		binary.LittleEndian.PutUint64(chain[:], sum)
		blocks = append(blocks, sum)
	}
	return blocks
}
