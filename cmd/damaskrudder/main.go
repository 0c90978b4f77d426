// Command damaskrudder runs the router daemon.
package main

import (
	"os"

	"github.com/damaskrudder/damaskrudder/internal/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
