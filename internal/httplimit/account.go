package httplimit

import (
	"sync"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/flowcontrol"
)

// MemoryAccount accounts for the heads of requests and the messages of other daemons. It is safe for concurrent use.
type MemoryAccount struct {
	mu     sync.Mutex
	ledger *flowcontrol.Ledger
}

// NewMemoryAccount returns an account of a number of bytes.
func NewMemoryAccount(budget int64) *MemoryAccount {
	return &MemoryAccount{ledger: flowcontrol.NewLedger(budget)}
}

// GrowHeads implements Account.
func (a *MemoryAccount) GrowHeads(n int64) *fault.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ledger.GrowHeads(n) {
		return nil
	}
	return fault.New(fault.Overloaded, "a head that takes %d bytes does not fit beside the %d bytes that are held", n, a.ledger.Held())
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
