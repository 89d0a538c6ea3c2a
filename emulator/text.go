package emulator

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultAnswerTokens is the answer's length when the prompt does not say it.
	defaultAnswerTokens = 60
	alphabet            = "abcdefghijklmnopqrstuvwxyz012345"
)

// WithAnswerTokens returns a prompt whose answer has n tokens.
func WithAnswerTokens(n int, prompt string) string {
	return fmt.Sprintf("%s [out=%d]", prompt, n)
}

// AnswerTokenCount returns the length in tokens of the answer to a prompt.
func AnswerTokenCount(prompt string, maxTokens int) int {
	n := defaultAnswerTokens
	if at := strings.LastIndex(prompt, "[out="); at >= 0 {
		if _, err := fmt.Sscanf(prompt[at:], "[out=%d]", &n); err != nil || n < 1 {
			n = defaultAnswerTokens
		}
	}
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// ExpectedAnswer returns the first n tokens of the answer to a prompt. Every engine
// gives the same answer to the same prompt, so that a reader can tell a wrong
// or crossed answer from a right one.
func ExpectedAnswer(prompt string, n int) string {
	var b strings.Builder
	seed := xxhash.Sum64String(prompt)
	for i := range n {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

func token(seed uint64, i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	h := xxhash.Sum64(key[:])
	return string([]byte{' ', alphabet[h&31], alphabet[h>>5&31], alphabet[h>>10&31]})
}
