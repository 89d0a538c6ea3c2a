package emulator

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultAnswerTokens is the length of the answer to a prompt that does not set it.
	defaultAnswerTokens = 60
	alphabet            = "abcdefghijklmnopqrstuvwxyz012345"
)

// WithAnswerTokens returns the prompt with a suffix that sets the length of its answer
// to n tokens.
func WithAnswerTokens(n int, prompt string) string {
	return fmt.Sprintf("%s [out=%d]", prompt, n)
}

// AnswerTokenCount returns the length of the answer to a prompt, in tokens. A positive
// maxTokens limits it.
func AnswerTokenCount(prompt string, maxTokens int) int {
	n := defaultAnswerTokens
	if start := strings.LastIndex(prompt, "[out="); start >= 0 {
		if _, err := fmt.Sscanf(prompt[start:], "[out=%d]", &n); err != nil || n < 1 {
			n = defaultAnswerTokens
		}
	}
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// ExpectedAnswer returns the first n tokens of the answer to a prompt. All engines
// produce the same answer to a prompt, so that a client can detect a wrong answer or
// the answer to another prompt.
func ExpectedAnswer(prompt string, n int) string {
	var b strings.Builder
	seed := xxhash.Sum64String(prompt)
	for i := range n {
		b.WriteString(tokenText(seed, i))
	}
	return b.String()
}

// tokenText returns the i-th token of the answer to the prompt with the hash seed.
func tokenText(seed uint64, i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	h := xxhash.Sum64(key[:])
	return string([]byte{' ', alphabet[h&31], alphabet[h>>5&31], alphabet[h>>10&31]})
}
