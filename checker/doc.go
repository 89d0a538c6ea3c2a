// Package checker parses configuration objects and validates a whole set of them. It
// reports all faults of the set, each with file, line, object, field and code.
package checker
