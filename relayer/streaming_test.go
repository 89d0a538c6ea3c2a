package relayer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/limiter"
)

// FuzzReadEvent checks that the events and the remainder of a stream are its bytes,
// unchanged, and that every event ends with a blank line.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: comment\n\n\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"))
	f.Add(bytes.Repeat([]byte("x\n"), maxEventBytes))
	f.Add(bytes.Repeat([]byte("x"), maxEventBytes+1))
	f.Fuzz(func(t *testing.T, stream []byte) {
		budget := limiter.NewBudget(2 * maxEventBytes)
		r := newEventReader(nil, budget)
		r.source = bufio.NewReaderSize(iotest.HalfReader(bytes.NewReader(stream)), 64)
		defer func() {
			r.release()
			require.True(t, budget.TryAcquire(2*maxEventBytes), "memory is not returned")
		}()
		var read []byte
		for {
			event, err := r.next()
			if errors.Is(err, errEventTooLarge) {
				require.Greater(t, len(stream)-len(read), maxEventBytes)
				return
			}
			require.LessOrEqual(t, len(event), maxEventBytes)
			read = append(read, event...)
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				require.Equal(t, stream, append([]byte{}, read...))
				return
			}
			require.True(t, bytes.HasSuffix(event, []byte("\n")))
		}
	})
}

func TestOnlyEventsWithDataAreProgress(t *testing.T) {
	tests := []struct {
		event string
		want  bool
	}{
		{"id: 1\ndata: token\n\n", true},
		{"data:token\n\n", true},
		{": comment\n\n", false},
		{"\n\n", false},
		{": data: in a comment\n\n", false},
		{"id: 4\n\n", false},
	}
	for _, test := range tests {
		require.Equal(t, test.want, hasData([]byte(test.event)), "%q", test.event)
	}
}

// TestErrorsAreNoEvents guards against the error of an engine in the middle of a stream that another
// engine has begun.
func TestErrorsAreNoEvents(t *testing.T) {
	tests := []struct {
		text string
		want bool
	}{
		{"id: 1\ndata: {\"a\": [1, 2]}\n\n", true},
		{"weight-versions: 3\nid: 1\ndata:x\r\n\r\n", true},
		{": comment with blanks\n\n", true},
		{"event: error\ndata\n\n", true},
		{"\n\n", true},
		{"{\"error\": \"failed\"}\n\n", false},
		{"engine failed\n\n", false},
		{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\n", false},
		{"id: 1\n<p>failed</p>\n\n", false},
	}
	for _, test := range tests {
		require.Equal(t, test.want, isEvent([]byte(test.text)), "%q", test.text)
	}
}

// endlessLine is a line without an end.
type endlessLine struct{}

func (endlessLine) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// TestEndlessEventsShareMemory guards against many streams that each hold a long event: together
// they must not take up the memory of the instance.
func TestEndlessEventsShareMemory(t *testing.T) {
	const streams, budgetBytes = 200, 1 << 20
	budget := limiter.NewBudget(budgetBytes)
	heldBytes := 0
	var readers []*eventReader
	for range streams {
		r := newEventReader(endlessLine{}, budget)
		_, err := r.next()
		require.Error(t, err)
		heldBytes += cap(r.event)
		readers = append(readers, r)
	}
	require.LessOrEqual(t, heldBytes, budgetBytes+streams*2*freeEventBytes)
	for _, r := range readers {
		r.release()
	}
	require.True(t, budget.TryAcquire(budgetBytes), "memory is not returned")
	require.False(t, budget.TryAcquire(1))
}
