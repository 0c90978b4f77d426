// Package fixedseed runs tests with fixed seeds, so that CI gives the same
// verdict every time.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// seed is the seed of rapid's checks; -rapid.seed overrides it.
const seed = "20261202"

// Main runs the tests of a package that uses rapid. Call it from TestMain.
func Main(m *testing.M) {
	seedFlag := flag.Lookup("rapid.seed")
	seedFlag.DefValue = seed
	if err := seedFlag.Value.Set(seed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
