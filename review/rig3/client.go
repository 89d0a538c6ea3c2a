package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

var lastRequest atomic.Int64

// newID returns an ID for a client attempt.
func newID(kind string) string { return fmt.Sprintf("%s%08x", kind, lastRequest.Add(1)) }

// generation is a request of a client for a generation.
type generation struct {
	id      string
	path    string
	prefix  string
	input   int
	output  int
	timeout time.Duration
}

// outcome is what a client saw of a request.
type outcome struct {
	status int
	// began is true once an event came, complete if the whole answer did.
	began    bool
	complete bool
	body     string
	err      error
	took     time.Duration
}

// generate sends a generation on a channel of its own and reads the answer.
func (d *deployment) generate(ctx context.Context, p *process, g generation) (o outcome) {
	began := time.Now()
	defer func() { o.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	c, err := dialer.DialContext(ctx, "tcp", fmt.Sprintf("%s:%d", p.ip, callerPort))
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	body := "prompt of " + g.id
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Figseam-Request-Id: %s\r\nX-Figseam-Model: m\r\nX-Figseam-Token-Usage: %d,%d\r\nX-Figseam-Prompt-Prefix: %s\r\nX-Figseam-Request-Timeout-Ms: %d\r\nAccept: text/event-stream\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		g.path, host, g.id, g.input, g.output, g.prefix, g.timeout.Milliseconds(), len(body), body)
	if _, err := io.WriteString(c, head); err != nil {
		return outcome{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return outcome{err: err}
	}
	o.status = r.StatusCode
	reader := bufio.NewReader(r.Body)
	for {
		line, err := reader.ReadString('\n')
		if strings.HasPrefix(line, "data:") && r.StatusCode == http.StatusOK {
			o.began = true
		}
		o.body += line
		if err == io.EOF {
			o.complete = true
			return o
		}
		if err != nil {
			o.err = err
			return o
		}
	}
}

// call sends a request to a plain service on a channel of its own.
func (d *deployment) call(p *process, id, method, path, body string, timeout time.Duration) (o outcome) {
	began := time.Now()
	defer func() { o.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, callerPort), time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(timeout + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Figseam-Request-Id: %s\r\nX-Figseam-Request-Timeout-Ms: %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		method, path, host, id, timeout.Milliseconds(), len(body), body)
	if _, err := io.WriteString(c, head); err != nil {
		return outcome{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return outcome{err: err}
	}
	text, err := io.ReadAll(r.Body)
	return outcome{status: r.StatusCode, body: string(text), complete: err == nil, err: err}
}

// configuration returns a configuration with the routes of a small deployment.
func configuration(version int, kvTokens int) map[string]any {
	stream := func(name, prefix string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": "stream", "timeout_ms": 14000, "target_latency_ms": 900, "priority": 1,
			"service": "models", "max_attempts": attempts, "sticky": true, "resumable": resumable, "gap_aim_ms": 300,
		}
	}
	call := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 800, "target_latency_ms": 150, "priority": 2,
			"service": "desk", "max_attempts": attempts, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			stream("r-scan", "/scan/", 2, true), stream("r-audit", "/audit/", 1, false),
			call("r-order", "/order/", "non_idempotent", 1), call("r-status", "/status/", "idempotent", 2),
		},
		"services": []any{
			map[string]any{
				"name": "models", "health_check": "/healthz", "max_connections": 610, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 128, "kv_tokens": kvTokens, "kv_token_bytes": 35136, "link_mbps": 390000.0, "moves": true, "backups": true, "stride": 7, "most": 12,
					"handle_ttl_s": 0.5, "switch_time_s": 6.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "desk", "health_check": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// number returns the number in an environment variable.
func number(text string, otherwise int) int {
	if n, err := strconv.Atoi(text); err == nil {
		return n
	}
	return otherwise
}
