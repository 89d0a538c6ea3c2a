package connector

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/figseam/figseam/limiter"
)

// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// typicalHeadBytes is the memory that is allocated first for a head.
const typicalHeadBytes = 512

// ErrMalformed reports bytes that are no well-formed response. What the endpoint did with the
// request is not known.
var ErrMalformed = errors.New("response is malformed")

// responseReader reads the responses on one connection.
type responseReader struct {
	reader *bufio.Reader
	// head bounds the heads that reader reads.
	head *limiter.HeadReader
}

func newResponseReader(source io.Reader) *responseReader {
	head := limiter.NewHeadReader(source)
	return &responseReader{reader: bufio.NewReaderSize(head, readBufferBytes), head: head}
}

// readResponse reads the head of the next response and skips interim responses. It returns
// [limiter.ErrHeadTooLarge] if they are too long together, and [ErrMalformed] if one is not
// well-formed. observe, if set, is called with each head.
func (r *responseReader) readResponse(request *http.Request, observe func(status int, header http.Header)) (*http.Response, error) {
	r.head.Begin()
	defer r.head.End()
	for {
		response, err := r.readHead(request)
		if err != nil {
			return nil, r.head.CheckedError(err)
		}
		if observe != nil {
			observe(response.StatusCode, response.Header)
		}
		if response.StatusCode >= http.StatusOK || isUpgrade(response.StatusCode, request) {
			response.Body = r.newBody(response)
			return response, nil
		}
	}
}

// readHead reads one head. The response has no body yet.
func (r *responseReader) readHead(request *http.Request) (*http.Response, error) {
	head, err := r.readHeadText()
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head.text), len(head.text)), request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := checkStatus(response.StatusCode, request); err != nil {
		return nil, err
	}
	return response, head.checkFraming(response)
}

// headText holds the lines of a head, with their ends.
type headText struct {
	text []byte
	// hasLength and hasCoding report whether there is a field Content-Length or
	// Transfer-Encoding. The parser of net/http removes them in some cases.
	hasLength bool
	hasCoding bool
}

// readHeadText reads a status line and the field lines after it, up to and including the blank
// line that ends them. It checks the lines, since net/http accepts some that are not well-formed.
func (r *responseReader) readHeadText() (h headText, err error) {
	h.text = make([]byte, 0, typicalHeadBytes)
	for first := true; ; first = false {
		start := len(h.text)
		if h.text, err = r.appendLine(h.text); err != nil {
			return h, err
		}
		line := trimLineEnd(h.text[start:])
		switch {
		case first && !isFieldValue(line):
			return h, fmt.Errorf("%w: status line %.80q", ErrMalformed, line)
		case first:
			continue
		case len(line) == 0:
			return h, nil
		}
		name, err := checkFieldLine(line)
		if err != nil {
			return h, err
		}
		h.hasLength = h.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		h.hasCoding = h.hasCoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
}

// checkFraming returns [ErrMalformed] if a head leaves open where the body ends: chunks that the
// version does not know, or next to a length (RFC 9112, sections 6.1 and 6.3), and a body of an
// interim response, which has none.
func (h headText) checkFraming(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: protocol %s", ErrMalformed, response.Proto)
	case h.hasCoding && (h.hasLength || response.ProtoMinor == 0):
		return fmt.Errorf("%w: the body is in chunks, but has a length or is of HTTP/1.0", ErrMalformed)
	case response.StatusCode < http.StatusOK && (h.hasCoding || h.hasLength && response.Header.Get("Content-Length") != "0"):
		return fmt.Errorf("%w: status %d with a body", ErrMalformed, response.StatusCode)
	}
	return nil
}

// appendLine appends the next line with its end. It returns [io.ErrUnexpectedEOF] if the
// connection ends before the line does.
func (r *responseReader) appendLine(text []byte) ([]byte, error) {
	for {
		part, err := r.reader.ReadSlice('\n')
		text = append(text, part...)
		switch {
		case err == nil:
			return text, nil
		case errors.Is(err, io.EOF):
			return text, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return text, err
		}
	}
}

// trimLineEnd returns a line without its end, which is CRLF or LF.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// checkFieldLine returns the name of a field, and [ErrMalformed] unless the line is a field as RFC
// 9112, section 5, defines it. A line that begins with a blank is none either: it continues the
// line before it in an obsolete form, which a gateway may reject.
func checkFieldLine(line []byte) (name []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) || !isFieldValue(value) {
		return nil, fmt.Errorf("%w: field line %.80q", ErrMalformed, line)
	}
	return name, nil
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(text) > 0
}

// isFieldValue reports whether text has no control byte but tabs (RFC 9110, section 5.5).
func isFieldValue(text []byte) bool {
	for _, c := range text {
		if c == 0x7f || c < ' ' && c != '\t' {
			return false
		}
	}
	return true
}

// checkStatus returns [ErrMalformed] for a status that is none of HTTP, and for a switch of
// protocols that the request did not ask for: the bytes after it are no response.
func checkStatus(status int, request *http.Request) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	if status == http.StatusSwitchingProtocols && !isUpgrade(status, request) {
		return fmt.Errorf("%w: status %d without a request to switch protocols", ErrMalformed, status)
	}
	return nil
}

// isUpgrade reports whether a status ends the use of HTTP on the connection, as the request asked.
func isUpgrade(status int, request *http.Request) bool {
	return status == http.StatusSwitchingProtocols && request.Header.Get("Upgrade") != ""
}

// ReadResponse reads the response to a request from a connection that carries no other
// request. The request must have been written without an error. It skips interim responses, and
// returns [limiter.ErrHeadTooLarge] if the head is too long and [ErrMalformed] if it is not
// well-formed.
func ReadResponse(source io.Reader, request *http.Request) (*http.Response, error) {
	return newResponseReader(source).readResponse(request, nil)
}
