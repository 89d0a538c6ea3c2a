package distributor_test

import "flag"

// The seed of the rapid tests is fixed, so that every run gives the same result. The flag
// -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
