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
	// ExitFailed is an error while working.
	ExitFailed = 1
	// ExitUsage is a wrong command line, wrong settings or wrong input files.
	ExitUsage = 2
	// ExitConflict is a patch written against a stale configuration number.
	ExitConflict = 3
	// ExitUnreachable means that no daemon answered.
	ExitUnreachable = 4
)

// Error is an error with an exit code of its own.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the error itself.
func (e *Error) Unwrap() error { return e.Err }

// Usage returns an error that exits with ExitUsage.
func Usage(err error) error {
	if err == nil {
		return nil
	}
	return &Error{ExitUsage, err}
}

// Flags returns a flag set under a parent. Define adds the flags.
func Flags(name string, parent *ff.FlagSet, define func(*flag.FlagSet)) *ff.FlagSet {
	std := flag.NewFlagSet(name, flag.ContinueOnError)
	define(std)
	set := ff.NewFlagSetFrom(name, std)
	if parent != nil {
		set.SetParent(parent)
	}
	return set
}

// Main parses and runs a command line and returns the exit code. Every flag may
// also be set by an environment variable with the prefix.
func Main(root *ff.Command, envPrefix string, args []string, out, errw io.Writer) int {
	err := root.Parse(args, ff.WithEnvVarPrefix(envPrefix))
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprint(out, ffhelp.Command(root.GetSelected()))
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(errw, "%s; see %s -help\n", err, root.Name)
		return ExitUsage
	}
	err = root.Run(context.Background())
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, ff.ErrNoExec) {
		fmt.Fprint(errw, ffhelp.Command(root.GetSelected()))
		return ExitUsage
	}
	fmt.Fprintf(errw, "%s: %v\n", root.Name, err)
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return ExitFailed
}
