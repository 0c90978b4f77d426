package httplimit

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/flowcontrol"
)

// MemoryAccount accounts for the heads and the bodies of requests. It is safe for concurrent use.
type MemoryAccount struct {
	started time.Time
	mu      sync.Mutex
	ledger  *flowcontrol.Ledger
}

// NewMemoryAccount returns an account of a number of bytes.
func NewMemoryAccount(budget int64) *MemoryAccount {
	return &MemoryAccount{started: time.Now(), ledger: flowcontrol.NewLedger(budget)}
}

// GrowHeads implements Account.
func (a *MemoryAccount) GrowHeads(charged, n int64) *fault.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if granted, _ := a.ledger.GrowHeads(charged, n, time.Since(a.started)); granted { // no response is in the account to be cut
		return nil
	}
	return fault.New(fault.Overloaded, "a head that takes %d bytes does not fit beside the %d bytes that are held", charged+n, a.ledger.Held())
}

// ReleaseHeads implements Account.
func (a *MemoryAccount) ReleaseHeads(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.ReleaseHeads(n)
}

// GrowMessages accounts for n bytes of the messages of other daemons, and reports whether there is room.
func (a *MemoryAccount) GrowMessages(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.GrowMessages(n)
}

// ReleaseMessages ends the account of n bytes of the messages of other daemons.
func (a *MemoryAccount) ReleaseMessages(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.ReleaseMessages(n)
}

// Handler returns h with the bodies of its requests accounted for until it returns. A read of a body for
// which there is no room fails with the refusal.
func (a *MemoryAccount) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		a.mu.Lock()
		id := a.ledger.Open(time.Since(a.started))
		a.mu.Unlock()
		defer func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.ledger.Close(id)
		}()
		counted := *r // net/http keeps using its own request and body
		counted.Body = &countedBody{r.Body, a, id}
		h.ServeHTTP(w, &counted)
	})
}

// countedBody is a body whose bytes are accounted for as they are read.
type countedBody struct {
	io.ReadCloser
	account *MemoryAccount
	id      flowcontrol.ID
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if granted, _ := a.ledger.GrowBody(b.id, int64(n), time.Since(a.started)); !granted { // no response is in the account to be cut
		return 0, fault.New(fault.Overloaded, "a body does not fit beside the %d bytes that are held", a.ledger.Held())
	}
	return n, err
}
