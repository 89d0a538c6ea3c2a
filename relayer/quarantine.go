package relayer

import (
	"context"

	"github.com/figseam/figseam"
	"github.com/figseam/figseam/explainer"
)

// quarantined reports whether the prompt has a part that crashes engines. If so, the refusal
// tells the caller to come back after the quarantine.
func (t *task) quarantined() bool {
	verdict, ok := t.Quarantine.Find(t.request.Prompt)
	if ok {
		t.retryAfterMillis = float64(verdict.Until.RemainingMillis())
	}
	return ok
}

// recordLoss records an engine that broke the connection before the answer began, if the
// engine itself ended: a connection may also break on its own.
func (t *task) recordLoss(ctx context.Context, e figseam.ListedEndpoint, code figseam.Code) {
	if code != explainer.ConnectionLost || len(t.request.Prompt.Parts) < 2 || !t.Connector.Refuses(ctx, e.Address) {
		return
	}
	t.Log.Warn().Str("request", string(t.request.ID)).Str("endpoint", e.ID).Strs("prompt_parts", t.request.Prompt.PartIDs()).
		Msg("engine ended before the answer began")
	t.Quarantine.RecordCrash(e, t.request.Prompt)
}

// recordEvent records an event of the answer.
func (s *stream) recordEvent() {
	if s.answer.RecordPiece() {
		s.Quarantine.RecordAnswer(s.request.Prompt)
	}
}

// recordAnswerEnd records the end of the answer, which is complete if the code is empty.
func (s *stream) recordAnswerEnd(ctx context.Context, code figseam.Code) {
	switch {
	case code != "" && !s.answer.Begun():
		s.recordLoss(ctx, s.endpoint, code)
	case code == "" && s.answer.RecordEnd():
		s.Quarantine.RecordAnswer(s.request.Prompt)
	}
}
