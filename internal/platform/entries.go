package platform

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
)

// UnreadableEntriesError means that entries of a list could not be read and are left out.
type UnreadableEntriesError struct {
	// Entries is the number of these entries.
	Entries int
	// First is why the first of them could not be read.
	First error
}

// Error implements error.
func (e *UnreadableEntriesError) Error() string {
	return fmt.Sprintf("%d entries left out: %v", e.Entries, e.First)
}

// Unwrap returns why the first entry could not be read.
func (e *UnreadableEntriesError) Unwrap() error { return e.First }

var (
	errNoList  = errors.New("not a list")
	errNoEntry = errors.New("null")
)

// decodeEntries decodes each entry of a JSON list by itself, since others than the platform write entries.
// It returns those that can be read, with an *UnreadableEntriesError if there are others.
func decodeEntries[T any](data []byte) ([]T, error) {
	list, err := splitList(data)
	if err != nil {
		return nil, err
	}
	var out []T
	var unreadable UnreadableEntriesError
	for _, raw := range list {
		var entry *T
		err := json.Unmarshal(raw, &entry)
		if err == nil && entry != nil {
			out = append(out, *entry)
			continue
		}
		unreadable.Entries++
		unreadable.First = cmp.Or(unreadable.First, err, errNoEntry)
	}
	if unreadable.Entries > 0 {
		return out, &unreadable
	}
	return out, nil
}

// splitList returns the entries of a JSON list without decoding them. Unlike encoding/json, it accepts entries
// of any depth, and takes no memory for it.
func splitList(data []byte) (entries [][]byte, err error) {
	data = bytes.TrimSpace(data)
	if string(data) == "null" {
		return nil, nil
	}
	inner, opened := bytes.CutPrefix(data, []byte{'['})
	inner, closed := bytes.CutSuffix(inner, []byte{']'})
	if !opened || !closed {
		return nil, errNoList
	}
	if len(bytes.TrimSpace(inner)) == 0 {
		return nil, nil
	}
	var n nesting
	start := 0
	for i, c := range inner {
		if n.step(c); c == ',' && n == (nesting{}) {
			entries, start = append(entries, inner[start:i]), i+1
		}
	}
	if n != (nesting{}) {
		return nil, errNoList
	}
	return append(entries, inner[start:]), nil
}

// nesting is a position in a JSON text. The zero value is outside of all values that hold others.
type nesting struct {
	depth int
	// inString is set within a string, and escaped after a backslash in one.
	inString, escaped bool
}

// step passes over a byte.
func (n *nesting) step(c byte) {
	switch {
	case n.escaped:
		n.escaped = false
	case n.inString:
		n.escaped, n.inString = c == '\\', c != '"'
	case c == '"':
		n.inString = true
	case c == '[' || c == '{':
		n.depth++
	case c == ']' || c == '}':
		n.depth--
	}
}
