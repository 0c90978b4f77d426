package app

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/api"
	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/httplimit"
	"github.com/damaskrudder/damaskrudder/internal/settings"
	"github.com/damaskrudder/damaskrudder/internal/vmlimits"
)

// idleTimeout is the time after which a connection without a request is closed.
const idleTimeout = 2 * time.Minute

// inbound bounds the listeners of a daemon.
type inbound struct {
	*httplimit.Group
	account *httplimit.MemoryAccount
}

func newInbound(s settings.Settings, scope tally.Scope, logger *log.Logger) inbound {
	limits := vmLimits(s).Detect()
	account := httplimit.NewMemoryAccount(limits.MemoryBudget())
	return inbound{account: account, Group: httplimit.New(httplimit.Config{
		MaxConnections: limits.MaxConnections(), Account: account, IDHeader: api.HeaderIdempotencyKey, Refusal: refusal, Logger: logger, Scope: scope,
		Limits: func() httplimit.Limits {
			return httplimit.Limits{HeadBytes: s.MaxHeaderBytes, IdleTimeout: idleTimeout}
		},
	})}
}

// vmLimits returns the limits that the settings state.
func vmLimits(s settings.Settings) vmlimits.Limits {
	return vmlimits.Limits{Memory: int64(s.MemoryMB) << 20, Files: s.MaxFiles}
}

// serve serves a listener within the bounds.
func (i inbound) serve(name string, l net.Listener, s *http.Server) {
	i.Attach(s)
	go func() { _ = s.Serve(i.Listen(name, l)) }() // returns when the server is closed
}

// refusal returns the response that refuses a request before it is parsed.
func refusal(_ string, e *fault.Error) *http.Response {
	h, body := api.Refusal(e)
	data, _ := json.Marshal(body) // of strings alone
	return &http.Response{StatusCode: fault.Lookup(e.Kind).Status, Header: h, Body: io.NopCloser(bytes.NewReader(data)), ContentLength: int64(len(data))}
}
