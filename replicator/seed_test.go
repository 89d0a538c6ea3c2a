package replicator_test

import "flag"

// Sets a fixed seed for the property-based tests, so that all runs give the same
// result. The -rapid.seed flag on the command line takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
