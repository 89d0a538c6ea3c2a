package figseam

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimated mean length of a token.
	BytesPerToken = 4
	// PrefixBlockTokens is the length in tokens of a block of the prefix cache.
	PrefixBlockTokens = 256
	// MaxPrefixBlocks is the maximum number of hashes per job.
	MaxPrefixBlocks = 64
)

// EstimateTokens returns the estimated number of tokens of a text, at least 1.
func EstimateTokens(text string) int {
	return max(1, (len(text)+BytesPerToken-1)/BytesPerToken)
}

// PrefixBlocks returns the chained hashes of the complete blocks of a prompt, at most
// MaxPrefixBlocks. Two prompts have the same first n blocks if and only if their first n
// hashes are equal.
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
