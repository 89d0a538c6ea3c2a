package relayer

import (
	"errors"
	"sync"

	"github.com/figseam/figseam"
)

// maxRecentReservations bounds the IDs in each of the two sets of [recentReservations].
const maxRecentReservations = 512

var (
	// errInvalidReservation reports a response to a reservation call without an ID.
	errInvalidReservation = errors.New("response contains no reservation")
	// errReservationRepeated reports a response that an engine sent a second time.
	errReservationRepeated = errors.New("response belongs to an earlier reservation call")
)

// reservationKey identifies a reservation on one run of an engine.
type reservationKey struct {
	engineID      string
	startedMillis int64
	reservationID string
}

// recentReservations holds the reservations that engines confirmed recently. The response
// to a reservation call bears no request ID, so that a second copy of an earlier response
// is only detected by its reservation. It is safe for concurrent use.
type recentReservations struct {
	// mu guards the fields below. The sets change places when current is full.
	mu       sync.Mutex
	current  map[reservationKey]struct{}
	previous map[reservationKey]struct{}
}

// record adds a reservation. It returns errReservationRepeated if it was added before.
func (r *recentReservations) record(e figseam.ListedEndpoint, id string) error {
	key := reservationKey{engineID: e.ID, startedMillis: e.StartedMillis, reservationID: id}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, inCurrent := r.current[key]
	_, inPrevious := r.previous[key]
	if inCurrent || inPrevious {
		return errReservationRepeated
	}
	if r.current == nil || len(r.current) >= maxRecentReservations {
		r.previous, r.current = r.current, map[reservationKey]struct{}{}
	}
	r.current[key] = struct{}{}
	return nil
}
