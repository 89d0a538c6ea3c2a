// Package checker reads configuration objects and checks the whole set
// together. It lists every fault at once, each with file, line, object, field
// and code.
package checker
