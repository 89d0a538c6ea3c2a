package figseam

import "errors"

// ErrUnreachable means that a message was not delivered to an instance, since
// there is no connection to it.
var ErrUnreachable = errors.New("instance cannot be reached")

// InstanceState is how an instance stands in the list of members.
type InstanceState int

// The states of an instance, in the order in which one overrides another at the
// same incarnation number.
const (
	InstanceAlive InstanceState = iota + 1
	InstanceSuspect
	InstanceLeaving
	InstanceDead
)

// Member is what is known of an instance.
type Member struct {
	ID         InstanceID    `cbor:"1,keyasint" json:"name"`
	DataCentre DataCentre    `cbor:"2,keyasint" json:"data_centre"`
	Address    string        `cbor:"3,keyasint" json:"address"`
	State      InstanceState `cbor:"4,keyasint" json:"state"`
	// Incarnation rises when the instance restarts or refutes a suspicion.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
	// RunID is a random number that each start of the process draws anew.
	RunID uint64 `cbor:"7,keyasint" json:"run"`
	// ConfigVersion is the configuration version that the instance has applied.
	ConfigVersion uint64 `cbor:"6,keyasint" json:"version"`
}

// WithState returns a copy in another state.
func (m Member) WithState(state InstanceState) Member {
	m.State = state
	return m
}

// WithConfigVersion returns a copy with another configuration version.
func (m Member) WithConfigVersion(version uint64) Member {
	m.ConfigVersion = version
	return m
}

// AcceptsWork reports whether new work may be given to the instance.
func (m Member) AcceptsWork() bool { return m.State == InstanceAlive || m.State == InstanceSuspect }

// Membership is the list of instances.
type Membership interface {
	// Self returns this instance.
	Self() Member
	// Members returns all instances that are not known to be dead, this one
	// included, ordered by name.
	Members() []Member
}

// EndpointState is what is known of whether an endpoint takes work.
type EndpointState int

// The states of an endpoint.
const (
	EndpointLive EndpointState = iota
	EndpointDraining
	EndpointDown
)

// EndpointStates tells which endpoints take new work.
type EndpointStates interface {
	// State returns an endpoint's state; an unknown endpoint is live.
	State(endpoint EndpointID) EndpointState
}
