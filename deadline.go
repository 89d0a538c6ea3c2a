package figseam

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Deadline is a point in time on the monotonic clock of this process. The zero value means
// that there is no deadline.
//
// Messages between instances carry the remaining milliseconds instead, because the wall
// clocks of instances differ by minutes. The receiver counts from the moment it decodes
// the message, so a deadline is extended by the transit time and never shortened; holders
// of exclusive rights subtract a margin for that.
type Deadline struct {
	at time.Time
}

// DeadlineAt returns the deadline at t. The zero time means no deadline.
func DeadlineAt(t time.Time) Deadline {
	return Deadline{at: t}
}

// DeadlineAfterMillis returns the deadline millis milliseconds from now.
func DeadlineAfterMillis(millis int64) Deadline {
	return Deadline{at: time.Now().Add(time.Duration(millis) * time.Millisecond)}
}

// Time returns the point in time, or the zero time if there is no deadline.
func (d Deadline) Time() time.Time { return d.at }

// IsZero reports whether there is no deadline.
func (d Deadline) IsZero() bool { return d.at.IsZero() }

// Passed reports whether the deadline has passed. The zero value never passes.
func (d Deadline) Passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// Before reports whether d is earlier than o. The zero value is later than any other.
func (d Deadline) Before(o Deadline) bool {
	if d.IsZero() || o.IsZero() {
		return !d.IsZero()
	}
	return d.at.Before(o.at)
}

// RemainingMillis returns the milliseconds until the deadline, or 0 if it has passed or is
// not set.
func (d Deadline) RemainingMillis() int64 {
	return max(0, time.Until(d.at).Milliseconds())
}

// Min returns the earlier of the two deadlines.
func (d Deadline) Min(o Deadline) Deadline {
	if o.Before(d) {
		return o
	}
	return d
}

// Context returns a copy of ctx that is cancelled at the deadline.
func (d Deadline) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	if d.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, d.at)
}

// MarshalCBOR encodes the remaining milliseconds, or -1 for no deadline.
func (d Deadline) MarshalCBOR() ([]byte, error) {
	if d.IsZero() {
		return cbor.Marshal(int64(-1))
	}
	return cbor.Marshal(d.RemainingMillis())
}

// UnmarshalCBOR decodes the remaining milliseconds and counts them from now.
func (d *Deadline) UnmarshalCBOR(data []byte) error {
	var millis int64
	if err := cbor.Unmarshal(data, &millis); err != nil {
		return err
	}
	*d = Deadline{}
	if millis >= 0 {
		*d = DeadlineAfterMillis(millis)
	}
	return nil
}
