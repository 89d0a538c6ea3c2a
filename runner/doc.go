// Package runner assembles instances: it opens listeners at the addresses in the
// settings, starts the background tasks, and stops them in order. The programs and the
// end-to-end tests run instances through it.
package runner
