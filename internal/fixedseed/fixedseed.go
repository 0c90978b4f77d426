// Package fixedseed runs property-based tests with a fixed seed, so that their
// results are reproducible.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// seed is the default of the flag -rapid.seed.
const seed = "20261202"

// Main runs the tests of a package that uses rapid with a fixed seed unless
// -rapid.seed is given. Call it from TestMain.
func Main(m *testing.M) {
	seedFlag := flag.Lookup("rapid.seed")
	seedFlag.DefValue = seed
	if err := seedFlag.Value.Set(seed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
