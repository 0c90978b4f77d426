package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/request"
)

const (
	// maxLineBytes bounds a line of a stream.
	maxLineBytes = 1 << 20
	// maxEventBytes bounds the data of an event, which may have several lines.
	maxEventBytes = 1 << 20
	// maxTextBytes bounds the text of one connection's events.
	maxTextBytes = 4 << 20
)

var (
	errEventTooLong = errors.New("the event has too much data")
	errTextTooLong  = errors.New("the response has too much text")
)

// Usage is the server's token count of a finished run.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	// Confidence is the mean token probability of the answer, 0 to 1.
	Confidence *float64 `json:"confidence"`
}

// Frame is a decoded event of a stream.
type Frame struct {
	request.Frame
	FinishReason string
	Usage        Usage
}

// Stream reads the events of a run from one connection.
type Stream struct {
	body        io.ReadCloser
	scanner     *bufio.Scanner
	cancel      context.CancelFunc
	idleTimer   *time.Timer
	idleTimeout time.Duration
	// textBytes is the length of the text so far.
	textBytes int
}

func newStream(body io.ReadCloser, cancel context.CancelFunc, idleTimer *time.Timer, idleTimeout time.Duration) *Stream {
	s := &Stream{body: body, scanner: bufio.NewScanner(body), cancel: cancel, idleTimer: idleTimer, idleTimeout: idleTimeout}
	s.scanner.Buffer(nil, maxLineBytes)
	return s
}

// Close closes the connection. The run continues on the server until it is canceled.
func (s *Stream) Close() {
	s.idleTimer.Stop()
	s.cancel()
	_ = s.body.Close()
}

// Next returns the next frame. An error means that the stream ended early or exceeded the
// idle timeout. The answer is complete only if a frame with End set was received.
func (s *Stream) Next() (Frame, error) {
	s.idleTimer.Reset(s.idleTimeout)
	event := eventBuilder{}
	for s.scanner.Scan() {
		s.idleTimer.Reset(s.idleTimeout)
		if !event.addLine(s.scanner.Bytes()) {
			if len(event.data) > maxEventBytes {
				return Frame{}, errEventTooLong
			}
			continue
		}
		f, ok := event.frame()
		event = eventBuilder{}
		if s.textBytes += len(f.Delta); s.textBytes > maxTextBytes {
			return Frame{}, errTextTooLong
		}
		if ok {
			return f, nil
		}
	}
	if err := s.scanner.Err(); err != nil {
		return Frame{}, err
	}
	return Frame{}, io.ErrUnexpectedEOF
}

// eventBuilder collects the lines of one server-sent event.
type eventBuilder struct {
	id   int
	data []byte
}

// addLine adds a line and reports whether the event is complete.
func (e *eventBuilder) addLine(line []byte) bool {
	if len(line) == 0 {
		return true
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id, _ = strconv.Atoi(string(value))
	case "data":
		e.data = append(e.data, value...)
	}
	return false
}

type completionChunk struct {
	RunID   string `json:"run"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage Usage `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// frame decodes the event. It returns false for comments, the [DONE] event and invalid
// events; a skipped invalid event leaves a gap in the offsets, which request.Assembler
// detects.
func (e *eventBuilder) frame() (Frame, bool) {
	f, err := DecodeEvent(e.id, e.data)
	return f, err == nil
}

var errNoFrame = errors.New("event contains no frame")

// DecodeEvent decodes the data of an event with an ID, which must be positive.
func DecodeEvent(id int, data []byte) (Frame, error) {
	if len(data) == 0 || string(data) == "[DONE]" || id <= 0 {
		return Frame{}, errNoFrame
	}
	var chunk completionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Frame{}, err
	}
	frame := Frame{Frame: request.Frame{Run: chunk.RunID, Offset: id, Failed: chunk.Error != nil}, Usage: chunk.Usage}
	if len(chunk.Choices) > 0 {
		frame.Delta = chunk.Choices[0].Delta.Content
		frame.FinishReason = chunk.Choices[0].FinishReason
		frame.End = frame.FinishReason != ""
	}
	if frame.Usage.PromptTokens < 0 || frame.Usage.CompletionTokens < 0 {
		return Frame{}, errNoFrame
	}
	return frame, nil
}
