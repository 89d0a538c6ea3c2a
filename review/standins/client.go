package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// clientHost is the host of all routes.
const clientHost = "shop.example"

// clientTransport keeps channels open for many requests.
var clientTransport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}

var lastID atomic.Int64

// newID returns the id of a new client attempt.
func newID() string { return "c" + strconv.FormatInt(lastID.Add(1), 10) }

// result is the outcome of a request as its client observed it.
type result struct {
	id       string
	status   int
	body     string
	complete bool
	took     time.Duration
	// gap is the longest time without a byte of the body.
	gap time.Duration
}

// send sends one request to an entry and reads the whole answer.
func (b *bed) send(ctx context.Context, entry machine, method, path, id string, timeout time.Duration, tokens int) result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout+time.Second)
	defer cancel()
	r := result{id: id}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+b.address(entry.host, portCallers)+path, nil)
	if err != nil {
		return r
	}
	if method == http.MethodPost {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader("request "+id)), int64(len("request "+id))
		q.GetBody = nil
	}
	q.Host = clientHost
	q.Header.Set("X-Figseam-Request-Id", id)
	q.Header.Set("X-Figseam-Request-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if tokens > 0 {
		q.Header.Set("X-Figseam-Model", "m")
		q.Header.Set("X-Figseam-Token-Usage", "1000,"+strconv.Itoa(tokens))
		q.Header.Set("X-Figseam-Prompt-Prefix", "5c1e07a2:200,"+id+":800")
	}
	b.notef("client: sends %s %s as %s to %s", method, path, id, entry.name)
	response, err := clientTransport.RoundTrip(q)
	if err != nil {
		r.took = time.Since(began)
		return r
	}
	defer func() { _ = response.Body.Close() }()
	body := &gapReader{source: response.Body, last: time.Now()}
	text, err := io.ReadAll(body)
	r.status, r.body, r.complete, r.took, r.gap = response.StatusCode, string(text), err == nil, time.Since(began), body.longest
	return r
}

// gapReader measures the longest time that a read takes.
type gapReader struct {
	source  io.Reader
	last    time.Time
	longest time.Duration
}

func (g *gapReader) Read(p []byte) (int, error) {
	n, err := g.source.Read(p)
	g.longest = max(g.longest, time.Since(g.last))
	g.last = time.Now()
	return n, err
}

// ready reports whether an entry counts as ready.
func (b *bed) ready(m machine) bool {
	response, err := operatorClient.Get("http://" + b.address(m.host, portReadiness) + "/figseam/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
