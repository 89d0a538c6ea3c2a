// Package dialer is the HTTP adapter to model engines and plain services. Only
// this package knows the engines' paths and bodies.
package dialer
