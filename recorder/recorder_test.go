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

// blockedWriter is an output whose Write blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestBlockedOutputDropsLinesWithoutBlockingWrite guards against a stalled reader of the
// log that blocks the process: the output blocks while more lines are written than the
// queue holds. The lines in excess must be dropped and their count logged afterwards.
func TestBlockedOutputDropsLinesWithoutBlockingWrite(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	r := recorder.New(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := r.Run(ctx)
	for range 5000 {
		n, err := r.Write([]byte("{}\n"))
		require.NoError(t, err)
		require.Equal(t, 3, n)
	}
	require.Positive(t, r.DroppedLines())
	close(out.unblock)
	cancel()
	<-done
	require.Contains(t, out.text.String(), "log lines dropped")
	require.GreaterOrEqual(t, strings.Count(out.text.String(), "{}"), 1024)
}

func BenchmarkWrite(b *testing.B) {
	r := recorder.New(&bytes.Buffer{})
	line := bytes.Repeat([]byte("x"), 400)
	for b.Loop() {
		_, _ = r.Write(line)
	}
}
