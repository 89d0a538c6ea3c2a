package dialer

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/figseam/figseam"
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 64 << 10

// stream reads the chunk lines of one attempt. A line of another attempt or
// request is an engine's fault and is discarded, never delivered.
type stream struct {
	body    io.ReadCloser
	lines   *bufio.Scanner
	attempt figseam.AttemptID
	ended   bool
}

func newStream(body io.ReadCloser, attempt figseam.AttemptID) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 1024), maxLineBytes)
	return &stream{body: body, lines: lines, attempt: attempt}
}

func (s *stream) Next() (c figseam.Chunk, err error) {
	if s.ended {
		return figseam.Chunk{}, io.EOF
	}
	defer func() {
		if err != nil && !errors.Is(err, io.EOF) {
			err = eris.Wrap(err, "read stream")
		}
	}()
	for s.lines.Scan() {
		var line ChunkLine
		if json.Unmarshal(s.lines.Bytes(), &line) != nil || line.Tokens < 0 || line.Offset < 0 {
			return figseam.Chunk{}, figseam.ErrProtocol
		}
		if line.Attempt != s.attempt {
			continue
		}
		if line.FinishReason == FinishEvicted {
			return figseam.Chunk{}, figseam.ErrEvicted
		}
		s.ended = line.FinishReason != ""
		return figseam.Chunk(line), nil
	}
	if err := s.lines.Err(); err != nil {
		return figseam.Chunk{}, err
	}
	return figseam.Chunk{}, io.ErrUnexpectedEOF
}

func (s *stream) Close() error { return s.body.Close() }
