// Package cli runs a command tree the same way for both binaries: flags with one
// or two dashes, help on the standard output, and documented exit codes.
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
	// ExitOK is success.
	ExitOK = 0
	// ExitFailure is an error while working.
	ExitFailure = 1
	// ExitUsage is a wrong command line, wrong settings or wrong input files.
	ExitUsage = 2
	// ExitConflict is a patch written against a stale configuration number.
	ExitConflict = 3
	// ExitUnreachable means that no daemon answered.
	ExitUnreachable = 4
)

// ExitError is an error with an exit code of its own.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the error itself.
func (e *ExitError) Unwrap() error { return e.Err }

// UsageError returns an error that exits with ExitUsage.
func UsageError(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{ExitUsage, err}
}

// NewFlagSet returns a flag set under a parent. Define adds the flags.
func NewFlagSet(name string, parent *ff.FlagSet, define func(*flag.FlagSet)) *ff.FlagSet {
	stdFlags := flag.NewFlagSet(name, flag.ContinueOnError)
	define(stdFlags)
	flags := ff.NewFlagSetFrom(name, stdFlags)
	if parent != nil {
		flags.SetParent(parent)
	}
	return flags
}

// Main parses and runs a command line and returns the exit code. Every flag may
// also be set by an environment variable with the prefix.
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
