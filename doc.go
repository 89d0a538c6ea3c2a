// Package figseam defines the value types and interfaces that all other packages of the
// router share. It imports no other package of the project.
//
// A request passes through these interfaces in order: a [Placer] decides when and where
// its prefill and decode run, an [Engine] runs them, and a [Claimer] guards calls to plain
// services that must not be repeated. State that all instances agree on is changed by
// commands that a [Proposer] replicates to [StateMachine] values.
//
// Values are immutable: methods named With return changed copies. Points in time are
// stored as [Deadline] values, never as durations.
package figseam
