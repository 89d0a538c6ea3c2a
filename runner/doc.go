// Package runner joins the parts of one instance: it opens the addresses of the
// settings, starts every task, and ends them in order. The programs and the
// end-to-end tests run instances through it.
package runner
