package budgeter_test

import "flag"

// init fixes the seed of rapid so that every run draws the same sequences. The flag
// -rapid.seed on the command line takes precedence.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
