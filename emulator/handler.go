package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/dialer"
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(e.fail)
	r.Post(dialer.PathPrefill, e.servePrefill)
	r.Post(dialer.PathDecode, e.serveDecode)
	r.Post(dialer.PathExport+"{attempt}", e.serveExport)
	r.Get(dialer.PathAttempts+"{attempt}"+dialer.PathStream, e.serveStream)
	r.Delete(dialer.PathAttempts+"{attempt}", e.serveCancel)
	r.Get(dialer.PathLoad, e.serveLoad)
	r.Get(dialer.PathCache, e.serveCache)
	r.Post(dialer.PathOrders, e.serveOrder)
	return r
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// fail breaks connections of a dead engine and garbles answers where asked.
func (e *Engine) fail(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := e.currentFaults()
		if f.Crashed {
			panic(http.ErrAbortHandler)
		}
		if f.MalformedResponses {
			_, _ = w.Write([]byte("{\"garbage\": tru"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var body dialer.PrefillRequest
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		refuse(w, http.StatusBadRequest, "bad_body")
		return
	}
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if leaving {
		refuse(w, http.StatusServiceUnavailable, dialer.ErrorLeaving)
		return
	}
	p := e.addPrefill(body)
	select {
	case <-r.Context().Done():
		return
	case <-p.done:
	}
	if p.outcome == finishDead {
		panic(http.ErrAbortHandler)
	}
	if p.outcome != "" {
		refuse(w, http.StatusConflict, p.outcome)
		return
	}
	reply(w, dialer.PrefillResponse{
		Attempt: body.Attempt, Tokens: p.tokens, Cached: p.cached, HoldMillis: e.settings.PrefillResultTTLMillis,
	})
}

// exportAnswer tells a decode engine what it imported.
type exportAnswer struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	p, fault := e.export(r.Context(), figseam.AttemptID(chi.URLParam(r, "attempt")))
	if fault != "" {
		refuse(w, http.StatusNotFound, fault)
		return
	}
	reply(w, exportAnswer{Prompt: p.body.Prompt, Tokens: p.tokens})
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var body struct {
		dialer.DecodeRequest
		PromptTokens int `json:"prompt_tokens"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		refuse(w, http.StatusBadRequest, "bad_body")
		return
	}
	s, fault := e.reserve(body.DecodeRequest, e.settings.PieceTokens-1)
	if fault != "" {
		refuse(w, http.StatusServiceUnavailable, fault)
		return
	}
	imported, err := e.transfer(r.Context(), body.DecodeRequest)
	if err != nil || !e.fit(s, imported.Tokens) {
		e.cancel(body.Attempt)
		refuse(w, http.StatusServiceUnavailable, failedImport(err))
		return
	}
	if !e.begin(s, imported.Prompt) {
		refuse(w, http.StatusConflict, finishCancelled)
		return
	}
	e.stream(w, r, s, body.Offset)
}

func failedImport(err error) string {
	if err != nil {
		return dialer.ErrorNotHeld
	}
	return dialer.ErrorFull
}

// fit takes the rest of the memory that an imported prompt needs.
func (e *Engine) fit(s *sequence, tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	more := e.pieces(tokens+1) - s.pieces
	if s.finish != "" || e.usedPieces+more > e.settings.MemoryPieces {
		return false
	}
	e.usedPieces += more
	s.pieces += more
	s.tokens = tokens
	return true
}

func (e *Engine) transfer(ctx context.Context, body dialer.DecodeRequest) (exportAnswer, error) {
	address := body.Source + dialer.PathExport + string(body.Attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(nil))
	if err != nil {
		return exportAnswer{}, err
	}
	answer, err := e.client.Do(request)
	if err != nil {
		return exportAnswer{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return exportAnswer{}, figseam.ErrAttemptNotFound
	}
	var imported exportAnswer
	err = json.NewDecoder(answer.Body).Decode(&imported)
	return imported, err
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s, ok := e.running[figseam.AttemptID(chi.URLParam(r, "attempt"))]
	e.mu.Unlock()
	if !ok || err != nil {
		refuse(w, http.StatusNotFound, dialer.ErrorNotHeld)
		return
	}
	e.stream(w, r, s, offset)
}

// stream writes a request's tokens from offset on, as they are produced. The
// newest reader of a request gets them; an older one is cut off.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher := http.NewResponseController(w)
	lines := json.NewEncoder(w)
	e.mu.Lock()
	s.reader++
	reader := s.reader
	e.mu.Unlock()
	for {
		e.mu.Lock()
		next, finish, changed, crossed := s.next, s.finish, s.changed, e.faults.InjectForeignChunks
		current := s.reader == reader
		e.mu.Unlock()
		if !current || finish == finishDead || finish == finishCancelled {
			panic(http.ErrAbortHandler)
		}
		if next > offset || finish != "" {
			line := s.line(offset, next, finish)
			if crossed {
				other := line
				other.Attempt, other.Text = "another-attempt", " xxx"
				_ = lines.Encode(other)
				_ = lines.Encode(s.line(max(0, offset-1), next, ""))
			}
			if lines.Encode(line) != nil || flusher.Flush() != nil {
				return
			}
			offset = next
		}
		if finish != "" {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (s *sequence) line(from, to int, finish string) dialer.ChunkLine {
	text := make([]byte, 0, 4*max(0, to-from))
	for i := from; i < to; i++ {
		text = append(text, token(s.seed, i)...)
	}
	return dialer.ChunkLine{
		Request: s.body.Request, Attempt: s.body.Attempt, Offset: from, Tokens: max(0, to-from),
		Text: string(text), FinishReason: finish,
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if e.currentFaults().IgnoreCancels {
		<-r.Context().Done()
		return
	}
	e.cancel(figseam.AttemptID(chi.URLParam(r, "attempt")))
	w.WriteHeader(http.StatusNoContent)
}

// laggedLoad is the report that was true some time ago.
type laggedLoad struct {
	body dialer.LoadResponse
	next dialer.LoadResponse
	at   time.Time
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	body := e.load()
	lag := time.Duration(e.settings.LoadReportDelayMillis) * time.Millisecond
	if time.Since(e.lagged.at) >= lag && !e.faults.FreezeLoadReport {
		e.lagged.body, e.lagged.next, e.lagged.at = e.lagged.next, body, time.Now()
		if lag == 0 || e.lagged.body.TotalPieces == 0 {
			e.lagged.body = body
		}
	}
	old := e.lagged.body
	old.Attempts, old.Draining, old.TotalPieces = body.Attempts, body.Draining, body.TotalPieces
	e.mu.Unlock()
	if r.URL.Query().Get("attempts") == "" {
		old.Attempts = nil
	}
	reply(w, old)
}

// load returns the present load. The caller holds the mutex.
func (e *Engine) load() dialer.LoadResponse {
	body := dialer.LoadResponse{
		FreePieces: e.settings.MemoryPieces - e.usedPieces, TotalPieces: e.settings.MemoryPieces,
		Waiting: len(e.prefills), Draining: e.leaving, Attempts: []figseam.AttemptID{},
	}
	for id, s := range e.running {
		if s.finish == "" {
			body.Running++
			body.Attempts = append(body.Attempts, id)
		}
	}
	for _, p := range e.prefills {
		body.QueuedTokens += p.tokens
	}
	if e.prefilling != nil {
		body.Running++
		body.QueuedTokens += e.prefilling.tokens
	}
	return body
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, e.cache.page(after, e.faults.DropCacheEvents))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var body dialer.OrderRequest
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		refuse(w, http.StatusBadRequest, "bad_body")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.RejectStaleFence && body.Fence < e.fence {
		refuse(w, http.StatusConflict, dialer.ErrorStaleFence)
		return
	}
	e.fence = body.Fence
	e.tally.Orders = append(e.tally.Orders, figseam.EngineReconfig(body))
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(w http.ResponseWriter, status int, fault string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(dialer.ErrorResponse{Error: fault})
}
