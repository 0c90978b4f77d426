package api

import (
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

func FuzzParseChat(f *testing.F) {
	for _, s := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","messages":[{"content":[{"type":"text","text":"x"}]}],"max_tokens":5,"n":1}`,
		`{"model":"m","messages":[{"content":5}]}`,
		`{"model":"m","messages":[{}],"max_completion_tokens":-1}`,
		`[]`, `null`, `{`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req, _, err := ParseChat(data)
		if err != nil {
			if !fault.Is(err, fault.BadRequest) {
				t.Fatalf("error is not of kind bad_request: %v", err)
			}
			return
		}
		if req.Model == "" || req.MaxTokens < 0 || req.Body == nil {
			t.Fatalf("accepted an invalid request: %+v", req)
		}
	})
}
