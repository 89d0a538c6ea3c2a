package aggregator

import (
	"time"

	"github.com/figseam/figseam"
)

// wholeSumIntervalMillis is the interval at which a voter sends its whole sum to the others.
// In between it sends changes.
const wholeSumIntervalMillis = 500

// PeerSender decides what a voter sends to the other voters. Messages may be lost, so each
// has a sequence number. It must not be used concurrently.
type PeerSender struct {
	epoch       uint64
	sent        *Total
	sequence    uint64
	nextWholeAt time.Time
}

// NewPeerSender returns a sender of a store with the given epoch, which has sent nothing yet.
func NewPeerSender(epoch uint64) *PeerSender { return &PeerSender{epoch: epoch, sent: newTotal()} }

// Next returns the next message of a voter with the given sum, and reports whether it holds
// only the changes since the message before. It returns false for send if there is nothing
// to send.
func (p *PeerSender) Next(voter figseam.InstanceID, sum Load) (message Report, changesOnly, send bool) {
	now := time.Now()
	difference := subtract(sum, p.sent.load())
	changesOnly = now.Before(p.nextWholeAt)
	unchanged := difference.load().Empty()
	if unchanged && (changesOnly || sum.Empty()) {
		return Report{}, changesOnly, false
	}
	p.sequence++
	message = Report{Instance: voter, Load: sum, Epoch: p.epoch, Sequence: p.sequence}
	if changesOnly {
		message.Load = difference.load()
	} else {
		p.nextWholeAt = now.Add(wholeSumIntervalMillis * time.Millisecond)
	}
	p.sent.addTotal(difference)
	return message, changesOnly, true
}
