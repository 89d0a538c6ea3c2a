package quarantiner

import "time"

// wholeIntervalMillis is the interval at which a [Broadcaster] sends all evidence. In between
// it sends changes.
const wholeIntervalMillis = 1000

// Message is one side's part of an exchange of evidence between an instance and a voter.
type Message struct {
	// Known is the sender's last known state of the receiver. It is set in requests.
	Known Mark `cbor:"1,keyasint"`
	// Mark is the state of the sender. It is set in replies.
	Mark     Mark       `cbor:"2,keyasint"`
	Evidence []Evidence `cbor:"3,keyasint,omitempty"`
}

// Exchange merges the message of an instance and returns the reply of a voter: the evidence
// that changed since the state that the instance knows. A voter without evidence returns the
// zero message.
func (q *Quarantine) Exchange(m Message) Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := q.since(m.Known)
	q.merge(m.Evidence)
	if len(q.records) == 0 {
		return Message{}
	}
	return Message{Mark: q.mark, Evidence: changed}
}

// Empty reports whether a message need not be sent.
func (m Message) Empty() bool { return m.Known == Mark{} && m.Mark == Mark{} && len(m.Evidence) == 0 }

// Session is an instance's exchange of evidence with voters, one at a time. It must not be
// used concurrently.
type Session struct {
	quarantine *Quarantine
	// sent is the state of the own evidence that the voter has, received the state of the
	// voter's evidence that this instance has.
	sent     Mark
	received Mark
	sending  Mark
}

// NewSession returns a session that has not exchanged anything.
func NewSession(q *Quarantine) *Session { return &Session{quarantine: q} }

// Request returns the next message to the voter.
func (s *Session) Request() Message {
	m := Message{Known: s.received}
	m.Evidence, s.sending = s.quarantine.Since(s.sent)
	return m
}

// Complete merges the voter's reply to the last message. If the voter is not the one of the
// last reply, the next message contains all evidence.
func (s *Session) Complete(reply Message) {
	s.sent = s.sending
	if reply.Mark.Epoch != s.received.Epoch {
		s.sent = Mark{}
	}
	s.received = reply.Mark
	s.quarantine.Merge(reply.Evidence)
}

// Broadcaster decides what an instance sends to its peers. Messages may be lost, so all
// evidence is sent at intervals. It must not be used concurrently.
type Broadcaster struct {
	quarantine  *Quarantine
	sent        Mark
	nextWholeAt time.Time
}

// NewBroadcaster returns a broadcaster that has sent nothing.
func NewBroadcaster(q *Quarantine) *Broadcaster { return &Broadcaster{quarantine: q} }

// Next returns the evidence to send now, and reports whether it is all of it. Evidence that
// changed since the last call goes to all peers first; all evidence may go to some of them.
func (b *Broadcaster) Next() (evidence []Evidence, whole bool) {
	now := time.Now()
	evidence, b.sent = b.quarantine.Since(b.sent)
	if len(evidence) > 0 || now.Before(b.nextWholeAt) {
		return evidence, false
	}
	b.nextWholeAt = now.Add(wholeIntervalMillis * time.Millisecond)
	evidence, _ = b.quarantine.Since(Mark{})
	return evidence, true
}
