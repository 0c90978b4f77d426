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

// maxLineBytes bounds one line of a stream in bytes.
const maxLineBytes = 1 << 20

// Usage is the server's count of a finished run.
type Usage struct {
	PromptTokens int64 `json:"prompt_tokens"`
	AnswerTokens int64 `json:"completion_tokens"`
	// Confidence is the mean token probability of the answer, 0 to 1.
	Confidence *float64 `json:"confidence"`
}

// Frame is a decoded event of a stream.
type Frame struct {
	request.Frame
	FinishReason string
	Usage        Usage
}

// Stream is the answer of one run on one connection.
type Stream struct {
	body        io.ReadCloser
	scanner     *bufio.Scanner
	cancel      context.CancelFunc
	idleTimer   *time.Timer
	idleTimeout time.Duration
}

func newStream(body io.ReadCloser, cancel context.CancelFunc, watch *time.Timer, silence time.Duration) *Stream {
	s := &Stream{body: body, scanner: bufio.NewScanner(body), cancel: cancel, idleTimer: watch, idleTimeout: silence}
	s.scanner.Buffer(nil, maxLineBytes)
	return s
}

// Close ends the connection. The run goes on until it is cancelled.
func (s *Stream) Close() {
	s.idleTimer.Stop()
	s.cancel()
	_ = s.body.Close()
}

// Next returns the next frame. Any error means that the stream broke off or was
// silent too long; the terminal frame alone says that an answer is complete.
func (s *Stream) Next() (Frame, error) {
	s.idleTimer.Reset(s.idleTimeout)
	event := eventBuilder{}
	for s.scanner.Scan() {
		s.idleTimer.Reset(s.idleTimeout)
		if !event.addLine(s.scanner.Bytes()) {
			continue
		}
		f, ok := event.frame()
		event = eventBuilder{}
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

// addLine takes a line and reports whether the event is complete.
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

// frame decodes a collected event; comments, [DONE] and undecodable events give
// none. A damaged event leaves a gap in the offsets, which the assembler finds.
func (e *eventBuilder) frame() (Frame, bool) {
	f, err := DecodeEvent(e.id, e.data)
	return f, err == nil
}

var errNoFrame = errors.New("no frame")

// DecodeEvent decodes the data of one event.
func DecodeEvent(id int, data []byte) (Frame, error) {
	if len(data) == 0 || string(data) == "[DONE]" || id <= 0 {
		return Frame{}, errNoFrame
	}
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Frame{}, err
	}
	f := Frame{Frame: request.Frame{Run: c.RunID, Offset: id, Failed: c.Error != nil}, Usage: c.Usage}
	if len(c.Choices) > 0 {
		f.Delta = c.Choices[0].Delta.Content
		f.FinishReason = c.Choices[0].FinishReason
		f.End = f.FinishReason != ""
	}
	if f.Usage.PromptTokens < 0 || f.Usage.AnswerTokens < 0 {
		return Frame{}, errNoFrame
	}
	return f, nil
}
