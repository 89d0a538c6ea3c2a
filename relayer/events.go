package relayer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"unicode"

	"github.com/figseam/figseam/limiter"
)

const (
	// maxEventBytes bounds an event, which is held in memory until it is complete.
	maxEventBytes = 256 << 10
	// freeEventBytes is the length up to which an event needs no memory of the budget, so
	// that long events of some engines do not end the streams of others.
	freeEventBytes = 16 << 10
)

// errEventTooLarge reports an event that is longer than maxEventBytes.
var errEventTooLarge = errors.New("event of the stream is too large")

// eventReader reads the events of a stream. The memory of long events is taken from a budget
// that all streams share.
type eventReader struct {
	source *bufio.Reader
	budget *limiter.Budget
	// event is the memory of the last event, acquired its part that the budget counts.
	event    []byte
	acquired int
}

func newEventReader(source io.Reader, budget *limiter.Budget) *eventReader {
	return &eventReader{source: bufio.NewReader(source), budget: budget}
}

// buffered returns the number of bytes that can be read without waiting.
func (r *eventReader) buffered() int { return r.source.Buffered() }

// next reads up to the blank line that ends an event. It returns the remaining bytes
// together with io.EOF, errEventTooLarge for an event that is too long, and
// [limiter.ErrBudgetExhausted] if there is no memory for it. The event is valid until the
// next call.
func (r *eventReader) next() ([]byte, error) {
	if cap(r.event) > freeEventBytes {
		r.release()
	}
	r.event = r.event[:0]
	for {
		line, err := r.source.ReadSlice('\n')
		if len(r.event)+len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err := r.append(line); err != nil {
			return nil, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return r.event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(r.event) > len(line):
			return r.event, nil
		}
	}
}

// append adds bytes to the event. While the event grows, its old memory is in use, too.
func (r *eventReader) append(line []byte) error {
	length := len(r.event) + len(line)
	if length > cap(r.event) && length > freeEventBytes {
		size := min(2*length, maxEventBytes)
		if !r.budget.TryAcquire(size) {
			return limiter.ErrBudgetExhausted
		}
		grown := append(make([]byte, 0, size), r.event...)
		r.release()
		r.event, r.acquired = grown, size
	}
	r.event = append(r.event, line...)
	return nil
}

// release returns the memory of the last event.
func (r *eventReader) release() {
	r.budget.Release(r.acquired)
	r.event, r.acquired = nil, 0
}

var (
	idField       = []byte("id:")
	dataField     = []byte("data:")
	nextDataField = []byte("\ndata:")
)

// hasData reports whether an event has a data field. Without one it is a comment or a blank
// line, which a stalled engine may send as well.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, dataField) || bytes.Contains(event, nextDataField)
}

// isEvent reports whether each line of a text is blank, a comment or a field with a name of letters,
// digits, hyphens and underscores. The error of an engine, or the head of another response, is none.
func isEvent(text []byte) bool {
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		name, _, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		if bytes.ContainsFunc(name, notInFieldName) {
			return false
		}
	}
	return true
}

func notInFieldName(r rune) bool {
	return r != '-' && r != '_' && !unicode.IsLetter(r) && !unicode.IsDigit(r)
}

// eventID returns the ID of an event. It reports false if the event has no numeric ID.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
