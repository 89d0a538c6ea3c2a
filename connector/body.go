package connector

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
)

// newBody returns the body of a response whose head was read. Its end is io.EOF only if the body
// is complete: by its length, by its last chunk, or by the end of the connection.
func (r *responseReader) newBody(response *http.Response) io.ReadCloser {
	switch {
	case response.Body == http.NoBody:
		return http.NoBody
	case len(response.TransferEncoding) > 0:
		return io.NopCloser(&chunkedBody{responseReader: r, chunks: httputil.NewChunkedReader(r.reader)})
	case response.ContentLength >= 0:
		return io.NopCloser(&sizedBody{source: r.reader, remaining: response.ContentLength})
	}
	return io.NopCloser(r.reader)
}

// selfDelimiting reports whether a body ends without the end of its connection.
func selfDelimiting(response *http.Response) bool {
	return response.Body == http.NoBody || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// sizedBody is a body whose length is known.
type sizedBody struct {
	source    io.Reader
	remaining int64
}

// Read implements [io.Reader]. It returns the end together with the last bytes.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	switch {
	case b.remaining == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in the chunked transfer coding, with the trailer after it.
type chunkedBody struct {
	*responseReader
	chunks io.Reader
	// err is the result of the first read that failed.
	err error
}

// Read implements [io.Reader].
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		if trailerErr := b.readTrailer(); trailerErr != nil {
			err = trailerErr
		}
	}
	b.err = err
	return n, err
}

// readTrailer reads the fields after the last chunk, which are not used, and the blank line that
// ends the body.
func (r *responseReader) readTrailer() error {
	r.head.Begin()
	defer r.head.End()
	var text []byte
	for {
		var err error
		if text, err = r.appendLine(text[:0]); err != nil {
			return r.head.CheckedError(err)
		}
		line := trimLineEnd(text)
		if len(line) == 0 {
			return nil
		}
		if _, err := checkFieldLine(line); err != nil {
			return err
		}
	}
}

// closeDelimitedBody is a body that ends with its connection. RFC 9112, section 8, counts it as
// complete unless the connection indicates an error.
type closeDelimitedBody struct {
	io.ReadCloser
	// checkEnd returns an error if the connection did not end in an orderly way.
	checkEnd func() error
	// err is the result of the first read that failed.
	err error
}

// Read implements [io.Reader].
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if endErr := b.checkEnd(); endErr != nil {
			err = endErr
		}
	}
	b.err = err
	return n, err
}
