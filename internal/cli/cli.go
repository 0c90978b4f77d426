// Package cli runs the command lines of the damaskrudder and rudderctl binaries with common
// flag parsing, help output and exit codes.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Exit codes of both binaries.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitUsage means that the command line, the settings or an input file is invalid.
	ExitUsage = 2
	// ExitConflict means that the base number of a patch is stale.
	ExitConflict = 3
	// ExitUnreachable means that no daemon answered.
	ExitUnreachable = 4
)

// ExitError is an error that determines the exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// UsageError wraps err so that Main returns ExitUsage. It returns nil if err is nil.
func UsageError(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{ExitUsage, err}
}

// NewFlagSet returns a flag set with the flags that define adds and those of the parent,
// which may be nil.
func NewFlagSet(name string, parent *ff.FlagSet, define func(*flag.FlagSet)) *ff.FlagSet {
	stdFlags := flag.NewFlagSet(name, flag.ContinueOnError)
	define(stdFlags)
	flags := ff.NewFlagSetFrom(name, stdFlags)
	if parent != nil {
		flags.SetParent(parent)
	}
	return flags
}

// Main parses and runs a command line and returns the exit code. Flags that are not given
// are read from environment variables with the prefix envPrefix.
func Main(root *ff.Command, envPrefix string, args []string, stdout, stderr io.Writer) int {
	err := root.Parse(args, ff.WithEnvVarPrefix(envPrefix))
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprint(stdout, ffhelp.Command(root.GetSelected()))
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s; see %s -help\n", err, root.Name)
		return ExitUsage
	}
	err = root.Run(context.Background())
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, ff.ErrNoExec) {
		fmt.Fprint(stderr, ffhelp.Command(root.GetSelected()))
		return ExitUsage
	}
	fmt.Fprintf(stderr, "%s: %v\n", root.Name, err)
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		return exitErr.Code
	}
	return ExitFailure
}
