// Package explainer is the catalogue of reason codes: why a request was placed or
// refused, and which faults a configuration has. Log lines, "figctl explain" and the
// operators' pages use these codes.
package explainer
