package figseam

import "errors"

// ErrUnreachable means that a message was not delivered to an instance for lack of a
// connection.
var ErrUnreachable = errors.New("instance cannot be reached")

// InstanceState is the state of an instance in the membership list.
type InstanceState int

// States of an instance. At equal incarnation numbers a later one in this list overrides
// an earlier one.
const (
	InstanceAlive InstanceState = iota + 1
	InstanceSuspect
	InstanceLeaving
	InstanceDead
)

// Member is an entry of the membership list.
type Member struct {
	ID         InstanceID    `cbor:"1,keyasint" json:"name"`
	DataCentre DataCentre    `cbor:"2,keyasint" json:"data_centre"`
	Address    string        `cbor:"3,keyasint" json:"address"`
	State      InstanceState `cbor:"4,keyasint" json:"state"`
	// Incarnation is incremented when the instance restarts or refutes a suspicion.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
	// RunID is a random number that identifies one run of the process.
	RunID uint64 `cbor:"7,keyasint" json:"run"`
	// ConfigVersion is the configuration version that the instance has applied.
	ConfigVersion uint64 `cbor:"6,keyasint" json:"version"`
}

// WithState returns a copy with another state.
func (m Member) WithState(state InstanceState) Member {
	m.State = state
	return m
}

// WithConfigVersion returns a copy with another configuration version.
func (m Member) WithConfigVersion(version uint64) Member {
	m.ConfigVersion = version
	return m
}

// AcceptsWork reports whether the instance may be given new work.
func (m Member) AcceptsWork() bool { return m.State == InstanceAlive || m.State == InstanceSuspect }

// Membership is the membership list as seen by this instance.
type Membership interface {
	// Self returns this instance.
	Self() Member
	// Members returns all instances except dead ones, including this one, ordered by ID.
	Members() []Member
}

// EndpointState is the availability of an endpoint for new work.
type EndpointState int

// States of an endpoint.
const (
	EndpointLive EndpointState = iota
	EndpointDraining
	EndpointDown
)

// EndpointStates reports the states of endpoints.
type EndpointStates interface {
	// State returns the state of an endpoint. An unknown endpoint is live.
	State(endpoint EndpointID) EndpointState
}
