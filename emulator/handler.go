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
	r.Use(e.injectFaults)
	r.Post(dialer.PathPrefill, e.servePrefill)
	r.Post(dialer.PathDecode, e.serveDecode)
	r.Post(dialer.PathExport+"{attempt}", e.serveExport)
	r.Get(dialer.PathAttempts+"{attempt}"+dialer.PathStream, e.serveStream)
	r.Delete(dialer.PathAttempts+"{attempt}", e.serveCancel)
	r.Get(dialer.PathLoad, e.serveLoad)
	r.Get(dialer.PathCache, e.serveCache)
	r.Post(dialer.PathReconfigure, e.serveReconfigure)
	return r
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// injectFaults aborts the connections of a crashed engine and replaces responses by
// malformed ones while MalformedResponses is set.
func (e *Engine) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := e.currentFaults()
		if faults.Crashed {
			panic(http.ErrAbortHandler)
		}
		if faults.MalformedResponses {
			_, _ = w.Write([]byte("{\"garbage\": tru"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var body dialer.PrefillRequest
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		writeError(w, http.StatusBadRequest, "bad_body")
		return
	}
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	if draining {
		writeError(w, http.StatusServiceUnavailable, dialer.ErrorDraining)
		return
	}
	p := e.enqueuePrefill(body)
	select {
	case <-r.Context().Done():
		return
	case <-p.done:
	}
	if p.errorCode == finishCrashed {
		panic(http.ErrAbortHandler)
	}
	if p.errorCode != "" {
		writeError(w, http.StatusConflict, p.errorCode)
		return
	}
	writeJSON(w, dialer.PrefillResponse{
		Attempt: body.Attempt, Tokens: p.tokens, Cached: p.cachedTokens, HoldMillis: e.settings.PrefillResultTTLMillis,
	})
}

// exportResponse is the body of the response to an export. It replaces the KV cache
// that a real engine would send.
type exportResponse struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	p, errorCode := e.export(r.Context(), figseam.AttemptID(chi.URLParam(r, "attempt")))
	if errorCode != "" {
		writeError(w, http.StatusNotFound, errorCode)
		return
	}
	writeJSON(w, exportResponse{Prompt: p.request.Prompt, Tokens: p.tokens})
}

// serveDecode reserves one piece, imports the prefill result, reserves the rest of
// the memory and streams the answer.
func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var body struct {
		dialer.DecodeRequest
		PromptTokens int `json:"prompt_tokens"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		writeError(w, http.StatusBadRequest, "bad_body")
		return
	}
	s, errorCode := e.reserve(body.DecodeRequest, e.settings.PieceTokens-1)
	if errorCode != "" {
		writeError(w, http.StatusServiceUnavailable, errorCode)
		return
	}
	imported, err := e.importResult(r.Context(), body.DecodeRequest)
	if err != nil || !e.reserveRemainder(s, imported.Tokens) {
		e.cancel(body.Attempt)
		writeError(w, http.StatusServiceUnavailable, importErrorCode(err))
		return
	}
	if !e.start(s, imported.Prompt) {
		writeError(w, http.StatusConflict, finishCancelled)
		return
	}
	e.stream(w, r, s, body.Offset)
}

// importErrorCode returns the error code for a failed import, where a nil error means
// that the rest of the memory could not be reserved.
func importErrorCode(err error) string {
	if err != nil {
		return dialer.ErrorAttemptNotFound
	}
	return dialer.ErrorFull
}

// reserveRemainder reserves the rest of the memory that an imported prompt needs. It
// reports false if too little is free or the sequence has ended.
func (e *Engine) reserveRemainder(s *sequence, tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	more := e.piecesFor(tokens+1) - s.pieces
	if s.finishReason != "" || e.usedPieces+more > e.settings.MemoryPieces {
		return false
	}
	e.usedPieces += more
	s.pieces += more
	s.totalTokens = tokens
	return true
}

// importResult transfers the attempt's prefill result from the engine that holds it.
func (e *Engine) importResult(ctx context.Context, decode dialer.DecodeRequest) (exportResponse, error) {
	address := decode.PrefillAddress + dialer.PathExport + string(decode.Attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(nil))
	if err != nil {
		return exportResponse{}, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return exportResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return exportResponse{}, figseam.ErrAttemptNotFound
	}
	var imported exportResponse
	err = json.NewDecoder(response.Body).Decode(&imported)
	return imported, err
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	e.mu.Lock()
	s, ok := e.sequences[figseam.AttemptID(chi.URLParam(r, "attempt"))]
	e.mu.Unlock()
	if !ok || err != nil {
		writeError(w, http.StatusNotFound, dialer.ErrorAttemptNotFound)
		return
	}
	e.stream(w, r, s, offset)
}

// stream writes the sequence's tokens from offset on as they are produced. A new
// reader of the sequence aborts the streams of earlier ones.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	e.mu.Lock()
	s.latestReader++
	reader := s.latestReader
	e.mu.Unlock()
	for {
		e.mu.Lock()
		next, finishReason, changed, injectForeign := s.nextToken, s.finishReason, s.changed, e.faults.InjectForeignChunks
		current := s.latestReader == reader
		e.mu.Unlock()
		if !current || finishReason == finishCrashed || finishReason == finishCancelled {
			panic(http.ErrAbortHandler)
		}
		if next > offset || finishReason != "" {
			line := s.chunkLine(offset, next, finishReason)
			if injectForeign {
				foreign := line
				foreign.Attempt, foreign.Text = "another-attempt", " xxx"
				_ = encoder.Encode(foreign)
				_ = encoder.Encode(s.chunkLine(max(0, offset-1), next, ""))
			}
			if encoder.Encode(line) != nil || controller.Flush() != nil {
				return
			}
			offset = next
		}
		if finishReason != "" {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// chunkLine returns the stream line with the answer's tokens from index from up to,
// but not including, index to.
func (s *sequence) chunkLine(from, to int, finishReason string) dialer.ChunkLine {
	text := make([]byte, 0, 4*max(0, to-from))
	for i := from; i < to; i++ {
		text = append(text, tokenText(s.seed, i)...)
	}
	return dialer.ChunkLine{
		Request: s.request.Request, Attempt: s.request.Attempt, Offset: from, Tokens: max(0, to-from),
		Text: string(text), FinishReason: finishReason,
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

// delayedLoadReport delays load reports: a current report becomes pending, and
// visible at the next update.
type delayedLoadReport struct {
	visible   dialer.LoadResponse
	pending   dialer.LoadResponse
	updatedAt time.Time
}

// serveLoad writes the delayed load report. Attempts, drain state and total memory are
// always current.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	current := e.currentLoad()
	delay := time.Duration(e.settings.LoadReportDelayMillis) * time.Millisecond
	if time.Since(e.delayedLoad.updatedAt) >= delay && !e.faults.FreezeLoadReport {
		e.delayedLoad.visible, e.delayedLoad.pending, e.delayedLoad.updatedAt = e.delayedLoad.pending, current, time.Now()
		if delay == 0 || e.delayedLoad.visible.TotalPieces == 0 {
			e.delayedLoad.visible = current
		}
	}
	report := e.delayedLoad.visible
	report.Attempts, report.Draining, report.TotalPieces = current.Attempts, current.Draining, current.TotalPieces
	e.mu.Unlock()
	if r.URL.Query().Get("attempts") == "" {
		report.Attempts = nil
	}
	writeJSON(w, report)
}

// currentLoad returns the load without delay. The caller holds the mutex.
func (e *Engine) currentLoad() dialer.LoadResponse {
	load := dialer.LoadResponse{
		FreePieces: e.settings.MemoryPieces - e.usedPieces, TotalPieces: e.settings.MemoryPieces,
		Waiting: len(e.prefillQueue), Draining: e.draining, Attempts: []figseam.AttemptID{},
	}
	for id, s := range e.sequences {
		if s.finishReason == "" {
			load.Running++
			load.Attempts = append(load.Attempts, id)
		}
	}
	for _, p := range e.prefillQueue {
		load.QueuedTokens += p.tokens
	}
	if e.activePrefill != nil {
		load.Running++
		load.QueuedTokens += e.activePrefill.tokens
	}
	return load
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.eventsAfter(after, e.faults.DropCacheEvents))
}

func (e *Engine) serveReconfigure(w http.ResponseWriter, r *http.Request) {
	var body dialer.ReconfigRequest
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		writeError(w, http.StatusBadRequest, "bad_body")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.RejectStaleFence && body.Fence < e.fence {
		writeError(w, http.StatusConflict, dialer.ErrorStaleFence)
		return
	}
	e.fence = body.Fence
	e.stats.Reconfigs = append(e.stats.Reconfigs, figseam.EngineReconfig(body))
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, errorCode string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(dialer.ErrorResponse{Error: errorCode})
}
