package relayer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// FuzzReadEvent checks that the events and the remainder of a stream are its bytes,
// unchanged, and that every event ends with a blank line.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: comment\n\n\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"))
	f.Add(bytes.Repeat([]byte("x\n"), maxEventBytes))
	f.Add(bytes.Repeat([]byte("x"), maxEventBytes+1))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := bufio.NewReaderSize(iotest.HalfReader(bytes.NewReader(stream)), 64)
		var read []byte
		for {
			event, err := readEvent(r)
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
