package limiter

import (
	"errors"
	"io"
)

// MaxHeadBytes bounds the head of a message: its first line and its fields, together with
// the interim responses before it.
const MaxHeadBytes = 64 << 10

// ErrHeadTooLarge reports a message whose head is longer than [MaxHeadBytes].
var ErrHeadTooLarge = errors.New("head of the message is too large")

// HeadReader passes bytes through and bounds those that are read between calls of Begin
// and End. It must not be used concurrently.
type HeadReader struct {
	source io.Reader
	// remaining is the number of bytes of the head that may still be read; negative if no
	// head is being read.
	remaining int
}

// NewHeadReader returns a reader of source that is not reading a head.
func NewHeadReader(source io.Reader) *HeadReader {
	return &HeadReader{source: source, remaining: -1}
}

// Begin marks the start of a head.
func (r *HeadReader) Begin() { r.remaining = MaxHeadBytes }

// End marks the end of a head. A buffer between the parser and this reader may have read
// bytes of the body before.
func (r *HeadReader) End() { r.remaining = -1 }

// CheckedError returns [ErrHeadTooLarge] in place of a parser's error if the limit of the
// head is the cause: a parser may report a truncated line as malformed.
func (r *HeadReader) CheckedError(err error) error {
	if err != nil && r.remaining == 0 {
		return ErrHeadTooLarge
	}
	return err
}

// Read reads from the source. It returns [ErrHeadTooLarge] if the limit of the head is
// reached.
func (r *HeadReader) Read(p []byte) (int, error) {
	if r.remaining < 0 {
		return r.source.Read(p)
	}
	if r.remaining == 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
