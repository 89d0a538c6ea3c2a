// Package recorder writes log lines without ever holding up who writes them.
//
// Lines go through a bounded queue to one task. When the reader of the output is
// too slow, lines are dropped and counted, and the count is written as soon as
// there is room.
package recorder

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// queuedLines bounds the lines that wait.
	queuedLines = 1024
	// batchBytes bounds what is written at once.
	batchBytes = 32 << 10
)

// Recorder is a writer of log lines. It is safe for concurrent use.
type Recorder struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a recorder that writes to out once it runs.
func New(out io.Writer) *Recorder {
	return &Recorder{out: out, lines: make(chan []byte, queuedLines)}
}

// Write queues one line. It never blocks and never fails.
func (r *Recorder) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns how many lines were dropped and not yet told.
func (r *Recorder) DroppedLines() uint64 { return r.dropped.Load() }

// Run writes queued lines until ctx ends, and then those that still wait. It
// returns a channel that is closed at its end.
func (r *Recorder) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case line := <-r.lines:
				r.flush(line)
			case <-ctx.Done():
				select {
				case line := <-r.lines:
					r.flush(line)
					continue
				default:
				}
				return
			}
		}
	}()
	return ended
}

// flush writes a line and those that wait behind it.
func (r *Recorder) flush(batch []byte) {
	for len(batch) < batchBytes {
		select {
		case line := <-r.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := r.dropped.Swap(0); n > 0 {
		batch = append(batch, `{"level":"warn","lines":`+strconv.FormatUint(n, 10)+`,"message":"log lines dropped"}`+"\n"...)
	}
	_, _ = r.out.Write(batch)
}
