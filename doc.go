// Package figseam holds the value types and interfaces that every other
// package of the router shares. It imports nothing of the project.
//
// A request passes through these interfaces in order: a [Placer] says when and
// where its prefill and decode run, an [Engine] runs them, and a [Claimer]
// guards calls to plain services that must not be repeated. What all instances
// agree on passes through a [Proposer] into [StateMachine] values.
//
// Values are immutable: methods named With return changed copies. Points in
// time are stored as [Deadline] values, never as lengths of time.
package figseam
