package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// name holds the names of the platform's wire: header fields, calls and topics.
var name = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesJSON, &out); err != nil {
		panic(err)
	}
	return out
}()
