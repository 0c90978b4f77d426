// Command rudderctl is the operators' command.
package main

import (
	"os"

	"github.com/damaskrudder/damaskrudder/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
