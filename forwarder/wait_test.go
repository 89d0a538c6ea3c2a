package forwarder_test

import "time"

const (
	// waitTimeout bounds the wait for a condition. It affects only the duration of a failing
	// test.
	waitTimeout = 10 * time.Second
	// pollInterval is the delay between two evaluations of a condition.
	pollInterval = 5 * time.Millisecond
)
