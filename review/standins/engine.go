package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of one engine of a service.
type engine struct {
	bed     *bed
	id      string
	service string
	zone    string
	stage   string
	addr    string
	born    int64
	l       net.Listener
	// work is the time that a plain request takes, step the pause between two events.
	work time.Duration
	step time.Duration
	// onArrival is called with each request that is neither a probe nor misdirected.
	onArrival func(a arrival)
	// breaks reports whether the stream of a request is to be reset in the middle of its next
	// event.
	breaks func(id string) bool
	// pause returns the time in which the engine preempts its streams and sends no events.
	pause func() (from, to time.Time)

	// mu guards the fields below.
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	handles int
	closed  bool
}

// arrival is a request that reached an engine.
type arrival struct {
	engine *engine
	id     string
	at     time.Time
	last   string
	stage  string
}

// startEngine opens the engine's listener.
func (b *bed) startEngine(id, service, zone, stage string, host int) (*engine, error) {
	e := &engine{
		bed: b, id: id, service: service, zone: zone, stage: stage, addr: b.address(host, portCallers),
		born: time.Now().UnixMilli(), conns: map[net.Conn]struct{}{}, work: 30 * time.Millisecond, step: 50 * time.Millisecond,
	}
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return nil, err
	}
	e.l = l
	go e.accept()
	b.cleanUp(e.stop)
	return e, nil
}

// entry returns the engine's entry of the platform's list.
func (e *engine) entry(state string) string {
	fields := map[string]any{
		"id": e.id, "service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 64,
		"state": state, "cold_remaining_ms": 0, "born": e.born,
	}
	if e.stage != "" {
		fields["stage"] = e.stage
		fields["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return ""
	}
	return string(text)
}

// stop ends the engine: its listener and all channels are closed.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.l.Close()
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *engine) accept() {
	for {
		c, err := e.l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		closed := e.closed
		e.mu.Unlock()
		if closed {
			_ = c.Close()
			continue
		}
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !e.answer(c, q) {
			return
		}
	}
}

// answer answers one request and reports whether the channel stays open.
func (e *engine) answer(c net.Conn, q *http.Request) bool {
	id := q.Header.Get("X-Figseam-Request-Id")
	if expect := q.Header.Get("X-Figseam-Expect-Instance"); expect != "" && expect != e.id {
		return write(c, 421, "X-Figseam-Request-Id: "+id+"\r\nX-Figseam-Not-Executed: 1\r\n", "")
	}
	switch {
	case q.URL.Path == "/healthz":
		return write(c, 200, "X-Figseam-Instance-Id: "+e.id+"\r\n", "")
	case q.URL.Path == "/figseam/report":
		return writeJSON(c, map[string]any{"stage": e.stage, "models": []any{}, "busy": false, "sequence": 0, "num_waiting": 0, "num_running": 0, "kv_used": 0, "kv_total": 57728, "handles": 0, "born": e.born})
	case q.URL.Path == "/figseam/kv-list":
		return writeJSON(c, map[string]any{"epoch": 1, "next_token": 1, "held": []any{}, "born": e.born})
	case q.URL.Path == "/figseam/hold-take":
		return writeJSON(c, map[string]any{"hold": e.nextHandle(), "born": e.born})
	case strings.HasPrefix(q.URL.Path, "/figseam/"):
		return writeJSON(c, map[string]any{})
	}
	stage := q.Header.Get("X-Figseam-Stage")
	if e.onArrival != nil {
		e.onArrival(arrival{engine: e, id: id, at: time.Now(), last: q.Header.Get("Last-Event-Id"), stage: stage})
	}
	if stage == "prefill" {
		time.Sleep(100 * time.Millisecond)
		text, err := json.Marshal(map[string]any{"kv_handle": e.nextHandle(), "tokens": 1000, "version": 1})
		return err == nil && write(c, 200, "X-Figseam-Request-Id: "+id+"\r\nContent-Type: application/json\r\n", string(text))
	}
	if e.stage != "" {
		return e.stream(c, q, id)
	}
	time.Sleep(e.work)
	return write(c, 200, "X-Figseam-Request-Id: "+id+"\r\nX-Figseam-Response-Signature: "+e.id+"."+id+"\r\n", "done "+id)
}

// stream sends the events after the one that the request names. The number of events is the
// maximum number of output tokens.
func (e *engine) stream(c net.Conn, q *http.Request, id string) bool {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Figseam-Request-Id: " + id + "\r\nX-Figseam-Response-Signature: " + e.id + "." + id + "\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	_, output, _ := strings.Cut(q.Header.Get("X-Figseam-Token-Usage"), ",")
	total, _ := strconv.Atoi(output)
	for n := first + 1; n <= total; n++ {
		time.Sleep(e.step)
		e.awaitPause()
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, id)
		if e.breaks != nil && e.breaks(id) {
			_, _ = io.WriteString(c, chunk(event[:len(event)/2]))
			resetConn(c)
			return false
		}
		if _, err := io.WriteString(c, chunk(event)); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// awaitPause waits until the end of the engine's pause, if it has begun.
func (e *engine) awaitPause() {
	if e.pause == nil {
		return
	}
	if from, to := e.pause(); time.Now().After(from) {
		time.Sleep(time.Until(to))
	}
}

// nextHandle returns a new name of a handle or a hold.
func (e *engine) nextHandle() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handles++
	return fmt.Sprintf("%s-%d", e.id, e.handles)
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// resetConn closes a channel so that its peer sees a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func write(c net.Conn, status int, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
	return err == nil
}

func writeJSON(c net.Conn, v any) bool {
	text, err := json.Marshal(v)
	return err == nil && write(c, 200, "Content-Type: application/json\r\n", string(text))
}
