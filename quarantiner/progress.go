package quarantiner

import "time"

// answerBegunMillis is the time from the first piece of an answer after which the answer has
// begun: an engine that ends sooner may have ended because of it.
const answerBegunMillis = 250

// AnswerProgress is how far the answer to a prompt has come. The zero value is that of an
// answer without a piece.
type AnswerProgress struct {
	firstAt time.Time
	begun   bool
}

// Started reports whether a piece has come.
func (p AnswerProgress) Started() bool { return !p.firstAt.IsZero() }

// Begun reports whether the answer has begun.
func (p AnswerProgress) Begun() bool { return p.begun }

// RecordPiece records that a piece came, and reports whether the answer has begun with it.
func (p *AnswerProgress) RecordPiece() (begins bool) {
	now := time.Now()
	if !p.Started() {
		p.firstAt = now
	}
	if now.Sub(p.firstAt) < answerBegunMillis*time.Millisecond {
		return false
	}
	return p.RecordEnd()
}

// RecordEnd records that the answer is complete, and reports whether it has begun with that.
func (p *AnswerProgress) RecordEnd() (begins bool) {
	begins = !p.begun
	p.begun = true
	return begins
}
