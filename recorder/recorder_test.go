package recorder_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/figseam/figseam/recorder"
)

// stuck is an output whose reader has stopped until it is let go.
type stuck struct {
	letGo chan struct{}
	mu    sync.Mutex
	text  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.letGo
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// TestStoppedReaderHoldsNobodyUp writes more lines than wait anywhere while nobody
// reads, and finds the count of the lines that were dropped.
func TestStoppedReaderHoldsNobodyUp(t *testing.T) {
	out := &stuck{letGo: make(chan struct{})}
	r := recorder.New(out)
	ctx, cancel := context.WithCancel(t.Context())
	ended := r.Run(ctx)
	for range 5000 {
		n, err := r.Write([]byte("{}\n"))
		require.NoError(t, err)
		require.Equal(t, 3, n)
	}
	require.Positive(t, r.DroppedLines())
	close(out.letGo)
	cancel()
	<-ended
	require.Contains(t, out.text.String(), "log lines dropped")
	require.GreaterOrEqual(t, strings.Count(out.text.String(), "{}"), 1024)
}

func BenchmarkLine(b *testing.B) {
	r := recorder.New(&bytes.Buffer{})
	line := bytes.Repeat([]byte("x"), 400)
	for b.Loop() {
		_, _ = r.Write(line)
	}
}
