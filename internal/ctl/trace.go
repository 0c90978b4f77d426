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

// stateLookback is how long before the first line of a request state changes are included.
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
	"server entry": true, "server entry gone": true, "server silent": true, "request stuck, moved": true,
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
	for _, l := range timeline {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", l.at.Format("15:04:05.000"), l.source, l.message, strings.Join(l.fields, " ")))
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
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		if l, ok := parseLine(source, s.Text()); ok {
			out = append(out, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", source, err)
	}
	return out, nil
}

func parseLine(source, text string) (logLine, bool) {
	l := logLine{source: source, values: map[string]string{}}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			l.values[key] = value
			switch key {
			case "time":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return l, false
				}
				l.at = at
			case "msg":
				l.message = value
			case "level", "request":
			default:
				l.fields = append(l.fields, key+"="+value)
			}
		}
	}
	return l, d.Err() == nil && !l.at.IsZero() && l.message != ""
}

// requestTimeline returns the lines of a request and the state changes that its daemons
// logged from stateLookback before its first line until its last one, sorted by time. State
// changes of servers that the request was not sent to are left out.
func requestTimeline(lines []logLine, id string) []logLine {
	var requestLines []logLine
	sources, servers := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.values["request"] == id {
			requestLines = append(requestLines, l)
			sources[l.source] = true
			servers[l.values["server"]] = true
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	slices.SortStableFunc(requestLines, compareTime)
	first, last := requestLines[0].at, requestLines[len(requestLines)-1].at
	timeline := requestLines
	for _, l := range lines {
		server, hasServer := l.values["server"]
		switch {
		case !stateMessages[l.message] || !sources[l.source], hasServer && !servers[server]:
		case l.at.Before(first.Add(-stateLookback)), l.at.After(last):
		default:
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, compareTime)
	return timeline
}

func compareTime(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) }
