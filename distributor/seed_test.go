package distributor_test

import "flag"

// Fixes the seed of the random tests, so that every run gives the same verdict.
// -rapid.seed on the command line goes before it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
