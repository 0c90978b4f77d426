// Package recovery recovers, counts and logs panics of request handlers, and answers requests
// whose handler panicked.
package recovery

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// Report counts and logs a recovered panic. The deferred function that recovered it must call
// Report, so that the stack shows the panic.
func Report(recovered any, panics tally.Counter, l *log.Logger, fields ...any) {
	panics.Inc(1)
	l.Error("panic", append(fields, "panic", recovered, "stack", string(debug.Stack()))...)
}

// Handler wraps h so that a panic is counted, logged and answered as an internal error, which does
// not state whether the request has run. If the response has begun, the connection is aborted. A
// panic with http.ErrAbortHandler is passed on without being counted.
func Handler(h http.Handler, panics tally.Counter, l *log.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &trackedWriter{ResponseWriter: w}
		defer func() {
			switch recovered := recover(); recovered {
			case nil:
			case http.ErrAbortHandler:
				panic(recovered)
			default:
				Report(recovered, panics, l, "path", r.URL.Path, "answered", !tracked.begun)
				if tracked.begun {
					panic(http.ErrAbortHandler)
				}
				answer(w)
			}
		}()
		h.ServeHTTP(tracked, r)
	})
}

// answer writes an internal error. It drops the header fields that the handler has set, which may be
// those of another response.
func answer(w http.ResponseWriter) {
	clear(w.Header())
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Connection", "close")
	w.WriteHeader(fault.Lookup(fault.Internal).Status)
	_, _ = io.WriteString(w, string(fault.Internal)+"\n") // fails only if the client has disconnected
}

// trackedWriter records whether a response has begun.
type trackedWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *trackedWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status) // panics on an invalid status, and then has written nothing
	w.begun = w.begun || status >= http.StatusOK || status == http.StatusSwitchingProtocols
}

// Write implements io.Writer.
func (w *trackedWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// FlushError is used by http.ResponseController.
func (w *trackedWriter) FlushError() error {
	w.begun = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Hijack implements http.Hijacker.
func (w *trackedWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	w.begun = true
	return http.NewResponseController(w.ResponseWriter).Hijack()
}

// Unwrap is used by http.ResponseController.
func (w *trackedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
