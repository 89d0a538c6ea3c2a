package connector

import (
	"errors"
	"io"
)

// closeDelimitedBody is a body that ends with its connection. RFC 9112, section 8, counts it as
// complete unless the connection indicates an error.
type closeDelimitedBody struct {
	io.ReadCloser
	// checkEnd returns an error if the connection did not end in an orderly way.
	checkEnd func() error
	// err is the error of the first read that failed.
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
