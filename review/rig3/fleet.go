package main

import (
	"context"
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

// Speeds of the engines, those of the sheet of Kantamanto.
const (
	promptTokensPerMilli = 55.5556
	firstTokenMillis     = 93
	stepMillis           = 6.45
	stepMillisPerRequest = 0.0967
	tokensPerEvent       = 7
	handleTTL            = 500 * time.Millisecond
	backAfter            = 5 * time.Second
)

// fleet holds all engines and servers of plain services.
type fleet struct {
	record *recorder
	// mu guards the fields below and those of all servers.
	mu        sync.Mutex
	servers   []*server
	byAddress map[string]*server
	// deadlyPart crashes each engine that begins to write an answer on it; empty for none.
	deadlyPart string
	// crashes holds the times of the crashes.
	crashes []time.Time
	// deadlyArrivals holds the arrivals of requests with the deadly part, prefills too.
	deadlyArrivals []arrival
	// runs counts the runs of each request.
	runs map[string]int
	// work is how long a plain service works on a request.
	work func(r *http.Request) time.Duration
	// tokens is how many tokens an engine makes; nil for the maximum that the request names.
	tokens func(r *http.Request) int
}

// arrival is the arrival of a request at an engine.
type arrival struct {
	at time.Time
	id string
}

// distinct returns the number of different requests among the arrivals that count.
func distinct(arrivals []arrival, counts func(at time.Time) bool) int {
	ids := map[string]bool{}
	for _, a := range arrivals {
		if counts(a.at) {
			ids[a.id] = true
		}
	}
	return len(ids)
}

// always counts every arrival.
func always(time.Time) bool { return true }

// server is an engine, or a server of a plain service.
type server struct {
	fleet    *fleet
	address  string
	service  string
	stage    string
	zone     string
	kvTokens int

	// The fleet's mu guards the fields below.
	// heldUntil is the end of a time in which the path to the server carries no bytes.
	heldUntil time.Time
	id        string
	lives     int
	born      time.Time
	up        bool
	http      *http.Server
	running   int
	used      int
	holds     map[string]hold
	handles   map[string]handle
	issued    int
	prefills  sync.Mutex
}

type hold struct {
	tokens int
	until  time.Time
}

type handle struct {
	request string
	until   time.Time
}

func newFleet(r *recorder) *fleet {
	return &fleet{record: r, byAddress: map[string]*server{}, runs: map[string]int{}, work: func(*http.Request) time.Duration { return 30 * time.Millisecond }}
}

func (f *fleet) add(address, service, stage, zone string, kvTokens int) {
	s := &server{fleet: f, address: address, service: service, stage: stage, zone: zone, kvTokens: kvTokens}
	f.servers = append(f.servers, s)
	f.byAddress[address] = s
}

func (f *fleet) start() error {
	for _, s := range f.servers {
		if err := s.start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) end() {
	for _, s := range f.servers {
		f.mu.Lock()
		h := s.http
		s.up = false
		f.mu.Unlock()
		if h != nil {
			_ = h.Close()
		}
	}
}

// listed returns the entries of the platform's list. An engine that has crashed stays on it until
// it is back.
func (f *fleet) listed() []map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []map[string]any
	for _, s := range f.servers {
		e := map[string]any{
			"id": s.id, "service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 128,
			"state": "ready", "cold_remaining_ms": 0, "born": s.born.UnixMilli(),
		}
		if s.stage != "" {
			e["stage"] = s.stage
			e["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		all = append(all, e)
	}
	return all
}

// start begins a life of the server.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s.lives++
	host, _, _ := strings.Cut(s.address, ":")
	s.id = fmt.Sprintf("i-%s-%d", host[strings.LastIndexByte(host, '.')+1:], s.lives)
	s.born, s.up, s.running, s.used = time.Now(), true, 0, 0
	s.holds, s.handles = map[string]hold{}, map[string]handle{}
	life := s.lives
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, life) })}
	h := s.http
	go func() { _ = h.Serve(heldListener{Listener: l, server: s}) }()
	return nil
}

// crash ends the life: all channels break and new ones are refused. The server is back later.
func (s *server) crash(life int, cause string) {
	f := s.fleet
	f.mu.Lock()
	if !s.up || s.lives != life {
		f.mu.Unlock()
		return
	}
	s.up = false
	h := s.http
	f.crashes = append(f.crashes, time.Now())
	n, running := len(f.crashes), s.running
	f.mu.Unlock()
	f.record.add(s.id, "crashes (number %d, %d requests here): %s", n, running, cause)
	_ = h.Close()
	time.AfterFunc(backAfter, func() {
		if err := s.start(); err == nil {
			f.record.add(s.id, "is back")
		}
	})
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, life int) {
	f := s.fleet
	id := r.Header.Get("X-Figseam-Request-Id")
	if id != "" {
		w.Header().Set("X-Figseam-Request-Id", id)
	}
	f.mu.Lock()
	self := s.id
	f.mu.Unlock()
	if expect := r.Header.Get("X-Figseam-Expect-Instance"); expect != "" && expect != self {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/figseam/hold-take":
		s.takeHold(w, r)
	case strings.HasPrefix(r.URL.Path, "/figseam/hold-drop/"):
		s.dropHold(strings.TrimPrefix(r.URL.Path, "/figseam/hold-drop/"))
	case strings.HasPrefix(r.URL.Path, "/figseam/kv-handle/"):
		f.mu.Lock()
		delete(s.handles, strings.TrimPrefix(r.URL.Path, "/figseam/kv-handle/"))
		f.mu.Unlock()
	case r.URL.Path == "/figseam/kv-list":
		_, _ = io.WriteString(w, `{"epoch":1,"next_token":0,"held":[]}`)
	case r.URL.Path == "/figseam/report":
		f.mu.Lock()
		report := map[string]any{"stage": s.stage, "busy": false, "sequence": 0, "num_waiting": 0, "num_running": s.running, "kv_used": s.used, "kv_total": s.kvTokens, "handles": len(s.handles), "born": s.born.UnixMilli()}
		f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(report)
	case r.URL.Path == "/figseam/order":
		f.record.add(self, "an order arrives; it is refused as one that doesn't exist")
		w.WriteHeader(http.StatusBadRequest)
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Figseam-Instance-Id", self)
	case s.stage == "":
		s.serveCall(w, r, id)
	default:
		s.serveGeneration(w, r, id, life)
	}
}

// serveCall answers a request to a plain service.
func (s *server) serveCall(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.fleet
	f.mu.Lock()
	f.runs[id]++
	f.mu.Unlock()
	f.record.add(s.id, "runs %s (%d bytes)", id, len(body))
	timer := time.NewTimer(f.work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Figseam-Response-Signature", "s."+id)
	_, _ = io.WriteString(w, "done "+id)
}

func (s *server) takeHold(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Tokens int     `json:"tokens"`
		TTL    float64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	f := s.fleet
	f.mu.Lock()
	s.expireHolds()
	ok := s.up && s.used+q.Tokens <= s.kvTokens
	name := ""
	if ok {
		s.issued++
		name = fmt.Sprintf("h%d-%s", s.issued, s.id)
		s.holds[name] = hold{tokens: q.Tokens, until: time.Now().Add(time.Duration(q.TTL) * time.Millisecond)}
		s.used += q.Tokens
	}
	f.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]string{"hold": name})
}

// expireHolds frees what expired holds reserve. The caller holds the fleet's mu.
func (s *server) expireHolds() {
	for name, h := range s.holds {
		if time.Now().After(h.until) {
			s.used -= h.tokens
			delete(s.holds, name)
		}
	}
}

func (s *server) dropHold(name string) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if h, ok := s.holds[name]; ok {
		s.used -= h.tokens
		delete(s.holds, name)
	}
}

// hasDeadlyPart reports whether a prompt has the deadly part anywhere but at its end.
func (f *fleet) hasDeadlyPart(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.deadlyPart == "" {
		return false
	}
	parts := strings.Split(r.Header.Get("X-Figseam-Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); id == f.deadlyPart {
			return true
		}
	}
	return false
}

func (s *server) serveGeneration(w http.ResponseWriter, r *http.Request, id string, life int) {
	f := s.fleet
	_, _ = io.Copy(io.Discard, r.Body)
	deadly := f.hasDeadlyPart(r)
	prefill := r.Header.Get("X-Figseam-Stage") == "prefill"
	if deadly {
		f.mu.Lock()
		f.deadlyArrivals = append(f.deadlyArrivals, arrival{at: time.Now(), id: id})
		f.mu.Unlock()
	}
	if prefill != (s.stage == "prefill") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	in, out, _ := strings.Cut(r.Header.Get("X-Figseam-Token-Usage"), ",")
	input, _ := strconv.Atoi(in)
	output, _ := strconv.Atoi(out)
	if f.tokens != nil {
		output = f.tokens(r)
	}
	if prefill {
		s.prefill(w, r, id, input)
		return
	}
	f.record.add(s.id, "decode request %s arrives (deadly %t)", id, deadly)
	if !s.admit(w, r, id, input+output) {
		return
	}
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s.lives == life {
			s.running--
			s.used -= input + output
		}
	}()
	if r.Header.Get("X-Figseam-Kv-Source") == "" && !s.wait(r.Context(), time.Duration(2*float64(input)/promptTokensPerMilli*float64(time.Millisecond))) {
		return
	}
	if !s.wait(r.Context(), firstTokenMillis*time.Millisecond) {
		return
	}
	if deadly {
		s.crash(life, "begins to write the answer to "+id)
		panic(http.ErrAbortHandler)
	}
	s.stream(w, r, id, output)
}

// admit takes memory and a slot for a run. It reports false if it has rejected the request.
func (s *server) admit(w http.ResponseWriter, r *http.Request, id string, tokens int) bool {
	f := s.fleet
	if source := r.Header.Get("X-Figseam-Kv-Source"); source != "" && !f.takeHandle(source, id) {
		w.Header().Set("X-Figseam-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		f.record.add(s.id, "rejects %s: its handle is gone", id)
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if h, ok := s.holds[r.Header.Get("X-Figseam-Kv-Hold")]; ok {
		s.used -= h.tokens
		delete(s.holds, r.Header.Get("X-Figseam-Kv-Hold"))
	}
	s.expireHolds()
	if !s.up || s.used+tokens > s.kvTokens+s.kvTokens/20 || s.running >= 128 {
		w.Header().Set("X-Figseam-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		f.record.add(s.id, "rejects %s: full", id)
		return false
	}
	s.used += tokens
	s.running++
	f.runs[id]++
	return true
}

func (f *fleet) takeHandle(source, id string) bool {
	address, name, _ := strings.Cut(source, "/")
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byAddress[address]
	if s == nil || !s.up {
		return false
	}
	h, ok := s.handles[name]
	delete(s.handles, name)
	return ok && h.request == id && time.Now().Before(h.until)
}

// prefill reads a prompt, one after the other.
func (s *server) prefill(w http.ResponseWriter, r *http.Request, id string, input int) {
	s.prefills.Lock()
	ok := s.wait(r.Context(), 2*time.Millisecond+time.Duration(float64(input)/promptTokensPerMilli*float64(time.Millisecond)))
	s.prefills.Unlock()
	if !ok {
		return
	}
	f := s.fleet
	f.mu.Lock()
	s.issued++
	name := fmt.Sprintf("k%d", s.issued)
	s.handles[name] = handle{request: id, until: time.Now().Add(handleTTL)}
	f.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"kv_handle": name, "tokens": input, "version": 1})
}

func (s *server) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stream writes the events of an answer.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, output int) {
	f := s.fleet
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Figseam-Response-Signature", "m."+id)
	w.Header().Set("X-Figseam-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	events := max(1, (output+tokensPerEvent-1)/tokensPerEvent)
	for event := 1; event <= events; event++ {
		if event <= last {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d/%d\n\n", event, id, event, events); err != nil {
			return
		}
		_ = flusher.Flush()
		f.mu.Lock()
		// All requests of a batch take their steps together.
		step := time.Duration(tokensPerEvent * (stepMillis + stepMillisPerRequest*float64(s.running)) * float64(time.Millisecond))
		pause := step - time.Duration(time.Now().UnixNano())%step
		f.mu.Unlock()
		if !s.wait(r.Context(), pause) {
			f.record.add(s.id, "%s is broken off after event %d", id, event)
			return
		}
	}
	f.record.add(s.id, "%s is complete", id)
}

// hold keeps back all bytes to and from the server for a time, as a path that is cut and heals.
func (s *server) hold(d time.Duration) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.heldUntil = time.Now().Add(d)
}

// awaitPath returns once the path to the server carries bytes.
func (s *server) awaitPath() {
	for {
		s.fleet.mu.Lock()
		d := time.Until(s.heldUntil)
		s.fleet.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// heldListener accepts channels whose bytes the server's path holds back.
type heldListener struct {
	net.Listener
	server *server
}

// Accept implements [net.Listener].
func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldConn{Conn: c, server: l.server}, nil
}

type heldConn struct {
	net.Conn
	server *server
}

// Read implements [net.Conn].
func (c heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.server.awaitPath()
	return n, err
}

// Write implements [net.Conn].
func (c heldConn) Write(p []byte) (int, error) {
	c.server.awaitPath()
	return c.Conn.Write(p)
}
