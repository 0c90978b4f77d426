package engine

import "testing"

func TestDecodeEvent(t *testing.T) {
	f, err := DecodeEvent(3, []byte(`{"run":"r","choices":[{"delta":{"content":"é"}}]}`))
	if err != nil || f.Run != "r" || f.Offset != 3 || f.Delta != "é" || f.End || f.Failed {
		t.Errorf("%+v %v", f, err)
	}
	f, err = DecodeEvent(4, []byte(`{"run":"r","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":2,"completion_tokens":5}}`))
	if err != nil || !f.End || f.Usage.CompletionTokens != 5 {
		t.Errorf("%+v %v", f, err)
	}
	f, err = DecodeEvent(5, []byte(`{"run":"r","error":{"message":"no"}}`))
	if err != nil || !f.Failed || f.End {
		t.Errorf("%+v %v", f, err)
	}
	for _, bad := range []string{"", "[DONE]", `{"run":`, `{"run":"r","usage":{"prompt_tokens":-1}}`} {
		if _, err := DecodeEvent(1, []byte(bad)); err == nil {
			t.Errorf("%q decoded without error", bad)
		}
	}
	if _, err := DecodeEvent(0, []byte(`{"run":"r"}`)); err == nil {
		t.Error("event without ID decoded without error")
	}
}

func FuzzDecodeEvent(f *testing.F) {
	f.Add(1, []byte(`{"run":"r","choices":[{"delta":{"content":"x"}}]}`))
	f.Add(2, []byte(`{"run":"r","choices":[{"finish_reason":"stop"}],"usage":{"confidence":2}}`))
	f.Add(-1, []byte("[DONE]"))
	f.Fuzz(func(t *testing.T, id int, data []byte) {
		frame, err := DecodeEvent(id, data)
		if err == nil && (frame.Offset <= 0 || frame.Usage.CompletionTokens < 0 || frame.Usage.PromptTokens < 0) {
			t.Fatalf("%+v", frame)
		}
	})
}
