// Package explainer is the catalogue of reason codes: why a request was placed
// or refused, and what is wrong with a configuration. The log lines, "figctl
// explain" and the operators' pages all read it.
package explainer
