package relay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// Guards against values of clients that make log lines long: lines wait in a queue, in nobody's account.
func TestLogLinesDoNotGrowWithValuesOfClients(t *testing.T) {
	const longValue, maxLine = 15 << 10, 4 << 10
	value := strings.Repeat("0123abcd", longValue/8)
	parts := make([]PromptPart, 1000)
	for i := range parts {
		parts[i] = PromptPart{ID: uint64(i), Tokens: 1}
	}
	for name, call := range map[string]Call{
		"ID":           {ID: value, Path: "/p/x"},
		"model":        {Model: value, Path: "/s/x"},
		"session":      {Session: value, Path: "/p/x"},
		"path":         {Path: "/p/" + value},
		"unknown path": {Path: "/" + value},
		"host":         {Host: value, Path: "/p/x"},
		"key":          {Key: value, Path: "/p/x"},
		"prompt parts": {Model: AnyModel, Path: "/s/x", Prompt: Prompt{Tokens: 1000, Parts: parts}},
	} {
		lines := &bytes.Buffer{}
		h := newHarness(t, respond(200, "ok"))
		h.relay.log = log.New(lines)
		if call.Host == "" {
			call.Host = "h"
		}
		if call.Key == "" {
			call.Key = "k"
		}
		call.Target, call.LastEvent, call.Received = call.Path, NoEvent, time.Now()
		h.relay.Serve(t.Context(), &call, &fakeResponseWriter{})
		for line := range strings.Lines(lines.String()) {
			if len(line) > maxLine {
				t.Errorf("%s: a line of %d bytes: %.300s", name, len(line), line)
			}
		}
		if lines.Len() == 0 {
			t.Errorf("%s: nothing was logged", name)
		}
	}
}
