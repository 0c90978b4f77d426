// Package recovery counts and logs panics of HTTP handlers.
package recovery

import (
	"net/http"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Handler wraps h so that a panic is counted, logged and aborts the connection. A panic with
// http.ErrAbortHandler is passed on without being counted.
func Handler(h http.Handler, panics tally.Counter, l *log.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			switch recovered := recover(); recovered {
			case nil:
			case http.ErrAbortHandler:
				panic(recovered)
			default:
				panics.Inc(1)
				l.Error("panic", "path", r.URL.Path, "panic", recovered, "stack", string(debug.Stack()))
				panic(http.ErrAbortHandler)
			}
		}()
		h.ServeHTTP(w, r)
	})
}
