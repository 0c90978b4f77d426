// Command rudderctl operates a fleet of damaskrudder daemons.
package main

import (
	"os"

	"github.com/damaskrudder/damaskrudder/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
