package connector

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// A response to a request without an ID belongs to it only by its place on the connection. After
// a refusal the endpoint may send that refusal once more in place of the next response. Such a
// copy looks like a new refusal; the response that it replaces follows it, at once or late.

const (
	// maxRefusalBytes bounds the body of a refusal, or of a late response, that is kept in memory.
	maxRefusalBytes = 16 << 10
	// lateReadMillis is the timeout for reading a late response, whose first bytes have arrived.
	lateReadMillis = 100
)

// isCopy reports whether a refusal is a copy of an earlier one: another response has already
// arrived behind it. It keeps the body, so that the response can still be read.
func (x *exchange) isCopy(r *Response) bool {
	if x.request.IDHeader != "" || x.accepted() || !x.conn.refused || !r.SelfDelimiting {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(r.body, maxRefusalBytes))
	r.body = io.NopCloser(io.MultiReader(bytes.NewReader(body), r.body))
	return err == nil && len(body) < maxRefusalBytes && x.conn.hasUnread()
}

// recordOutcome notes after an exchange what later responses on the connection may be.
func (x *exchange) recordOutcome() {
	k := x.conn
	k.late = nil
	if x.request.IDHeader != "" {
		// Responses come in order, so none is missing before this one.
		k.carried = append(k.carried, hashID(x.request.ID))
		return
	}
	k.refused = k.refused || !x.accepted()
	if k.refused {
		k.late = x.request.ObserveLate
	}
}

// hasUnread reports whether bytes have arrived that no response was read from.
func (k *conn) hasUnread() bool { return k.reader.Buffered() > 0 || stateOf(k.Conn) == socketReadable }

// hasLate reports whether a late response has arrived that has to be passed on.
func (k *conn) hasLate() bool { return k.late != nil && k.hasUnread() }

// drop closes an idle connection, and before that reads a late response in the background.
func (k *conn) drop() {
	if !k.hasLate() {
		_ = k.Close()
		return
	}
	go func() {
		defer func() { _ = k.Close() }()
		_ = k.SetReadDeadline(time.Now().Add(lateReadMillis * time.Millisecond))
		response, err := k.readResponse(&http.Request{Method: http.MethodPost}, nil)
		if err == nil {
			k.passLate(response.StatusCode, response.Body)
		}
	}()
}

// passLate reads the body of a late response and passes it on if it is complete.
func (k *conn) passLate(status int, body io.Reader) {
	text, err := io.ReadAll(io.LimitReader(body, maxRefusalBytes))
	if err == nil && len(text) < maxRefusalBytes {
		k.late(status, text)
	}
}
