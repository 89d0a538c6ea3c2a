package forwarder_test

import "time"

// How long a condition may take to come true; it bounds a failure and no pass.
const (
	eventually = 10 * time.Second
	poll       = 5 * time.Millisecond
)
