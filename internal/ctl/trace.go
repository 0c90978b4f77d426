package ctl

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/peterbourgon/ff/v4"

	"github.com/damaskrudder/damaskrudder/internal/cli"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// stateLookback is the time before the first line of a request from which on state changes
// are included.
const stateLookback = 30 * time.Second

// logLine is a parsed line of a daemon's log.
type logLine struct {
	source  string
	at      time.Time
	message string
	// fields holds the remaining fields as key=value, in the order of the line.
	fields []string
	values map[string]string
}

// stateMessages are the log messages that report a change of the daemon's state.
var stateMessages = map[string]bool{
	"configuration in force": true, "roll-out ordered": true, "roll-out phase": true, "new version not used any more": true,
	"server entry": true, "server entry gone": true, "servers added": true, "server silent": true, "request stuck, moved": true,
	"store lost": true, "store answers": true, "behind another reader, reading anew": true,
	"started": true, "stopping": true, "daemon lost": true, "daemon leaves": true,
}

// traceCommand returns the command that merges daemon logs into the timeline of one request.
// It needs no connection to a daemon.
func (cmds *commands) traceCommand() *ff.Command {
	return &ff.Command{
		Name: "trace", Usage: "rudderctl trace ID [LOG...]", ShortHelp: "fold daemons' logs into the history of one request",
		LongHelp: "Reads the logs of any number of daemons, or standard input, and prints the lines of\none request in order, after what its daemons had come to believe shortly before.\n\nExample:\n  rudderctl trace e5c4d1cf325b91f5 logs/*.log\n\nExit codes: 0 done, 1 no line of the request, 2 wrong use.",
		Flags:    cmds.newFlags("trace", nil),
		Exec:     func(_ context.Context, args []string) error { return cmds.trace(args) },
	}
}

func (cmds *commands) trace(args []string) error {
	if len(args) == 0 {
		return cli.UsageError(errors.New("trace needs a request's id"))
	}
	var lines []logLine
	if len(args) == 1 {
		read, err := readLog("-", os.Stdin)
		if err != nil {
			return err
		}
		lines = read
	}
	for _, name := range args[1:] {
		read, err := readLogFile(name)
		if err != nil {
			return cli.UsageError(err)
		}
		lines = append(lines, read...)
	}
	timeline := requestTimeline(lines, args[0])
	if len(timeline) == 0 {
		return fmt.Errorf("no line of request %s in %d lines", args[0], len(lines))
	}
	rows := make([]string, 0, len(timeline))
	for _, line := range timeline {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", line.at.Format("15:04:05.000"), line.source, line.message, strings.Join(line.fields, " ")))
	}
	return cmds.printTable("TIME\tLOG\tWHAT\tINPUTS", rows)
}

func readLogFile(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	return readLog(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
}

// readLog parses a log in logfmt. Other lines, such as the stack trace of a panic, are
// skipped.
func readLog(source string, r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if line, ok := parseLine(source, scanner.Text()); ok {
			out = append(out, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", source, err)
	}
	return out, nil
}

func parseLine(source, text string) (logLine, bool) {
	line := logLine{source: source, values: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			line.values[key] = value
			switch key {
			case "time":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return line, false
				}
				line.at = at
			case "msg":
				line.message = value
			case "level", "request":
			default:
				line.fields = append(line.fields, key+"="+value)
			}
		}
	}
	return line, decoder.Err() == nil && !line.at.IsZero() && line.message != ""
}

// requestTimeline returns the lines of a request and the state changes that the same daemons
// logged from stateLookback before its first line until its last line, sorted by time. It
// omits state changes of servers to which the request was not sent.
func requestTimeline(lines []logLine, id string) []logLine {
	var requestLines []logLine
	sources, servers := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.values["request"] == id {
			requestLines = append(requestLines, line)
			sources[line.source] = true
			servers[line.values["server"]] = true
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	slices.SortStableFunc(requestLines, compareTime)
	first, last := requestLines[0].at, requestLines[len(requestLines)-1].at
	timeline := requestLines
	for _, line := range lines {
		server, hasServer := line.values["server"]
		switch {
		case !stateMessages[line.message] || !sources[line.source], hasServer && !servers[server]:
		case line.at.Before(first.Add(-stateLookback)), line.at.After(last):
		default:
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, compareTime)
	return timeline
}

func compareTime(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) }
