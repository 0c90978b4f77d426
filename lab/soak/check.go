package main

import (
	"fmt"
	"strings"
	"time"
)

// revokeWithin is how long a key that was taken away may still open.
const revokeWithin = 5 * time.Second

// wholeStream is the body of every complete stream.
func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

// check returns the promises that what was seen breaks.
func check(calls []call, runs func(id string) int, revoked map[string]time.Time) []string {
	var broken []string
	say := func(c call, format string, args ...any) {
		broken = append(broken, fmt.Sprintf("request %s: ", c.id)+fmt.Sprintf(format, args...))
	}
	whole := wholeStream()
	for _, c := range calls {
		ran := runs(c.id)
		complete := c.err == nil && c.status == 200
		switch {
		case complete && !strings.HasSuffix(c.seal, "-"+c.id):
			say(c, "answered with the seal %q", c.seal)
		case complete && c.kind == talk && c.body != whole:
			say(c, "a stream looks complete with %q", c.body)
		case complete && c.kind != talk && c.body != "answer to "+c.id:
			say(c, "answered %q", c.body)
		case c.err != nil && c.kind == talk && c.status == 200 && !strings.HasPrefix(whole, c.body):
			say(c, "a stream that broke off has %q", c.body)
		case c.kind == pay && ran > 1:
			say(c, "a payment ran %d times", ran)
		case c.kind == pay && ran > 0 && (c.status == 503 || c.status == 429):
			say(c, "answered %d, and it ran", c.status)
		}
		if at, gone := revoked[c.key]; gone && ran > 0 && c.sent.After(at.Add(revokeWithin)) {
			say(c, "ran with a key taken away %s before", c.sent.Sub(at).Round(time.Millisecond))
		}
	}
	return broken
}

// servedPart returns the part of the calls sent in a span that succeeded. Calls with
// keys that were taken away are left out.
func servedPart(calls []call, from, to time.Time, revoked map[string]time.Time) (part float64, n int) {
	good := 0
	for _, c := range calls {
		if _, gone := revoked[c.key]; gone || c.sent.Before(from) || !c.sent.Before(to) {
			continue
		}
		n++
		if c.err == nil && c.status == 200 {
			good++
		}
	}
	if n == 0 {
		return 0, 0
	}
	return float64(good) / float64(n), n
}

// outcomes counts what became of the calls sent in a span, by daemon.
func outcomes(calls []call, from, to time.Time) map[string]int {
	out := map[string]int{}
	for _, c := range calls {
		if c.sent.Before(from) || !c.sent.Before(to) {
			continue
		}
		what := fmt.Sprint(c.status)
		if c.err != nil {
			what += " broken"
		}
		out[c.front+" "+what]++
	}
	return out
}
