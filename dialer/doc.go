// Package dialer is the HTTP client for model engines and plain services. The paths and
// bodies of the engines' HTTP interface are defined only here.
package dialer
