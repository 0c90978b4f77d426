package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// memory is an account with a limit.
type memory struct {
	mu                sync.Mutex
	held, peak, limit int64
}

func (m *memory) GrowMessages(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+n > m.limit {
		return false
	}
	m.held += n
	m.peak = max(m.peak, m.held)
	return true
}

func (m *memory) ReleaseMessages(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= n
}

func (m *memory) get() (held, peak int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held, m.peak
}

// Guards against messages of daemons that take memory without an account, or keep it.
func TestMessagesAreAccountedFor(t *testing.T) {
	account := &memory{limit: 200 << 10}
	server := NewServer("")
	server.Memory = account
	overloaded := make(chan string, 1)
	server.OnOverload = func(from string) { overloaded <- from }
	Handle(server, "echo", func(_ context.Context, _ string, text string) (string, error) { return text, nil })
	s := httptest.NewServer(server)
	defer s.Close()
	defer server.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	client := NewClient("d1", "", nil)
	defer client.Close()
	if got, err := Call[string, string](t.Context(), client, address, "echo", strings.Repeat("x", 50<<10)); err != nil || len(got) != 50<<10 {
		t.Errorf("a message within the limit: %d bytes, %v", len(got), err)
	}
	if _, err := Call[string, string](t.Context(), client, address, "echo", strings.Repeat("x", 300<<10)); err == nil {
		t.Error("a message beyond the limit was answered")
	}
	if from := <-overloaded; from != "d1" {
		t.Errorf("overloaded by %q", from)
	}
	held, peak := account.get()
	for held != 0 { // handlers end after their connections; the test's timeout bounds the wait
		time.Sleep(time.Millisecond)
		held, peak = account.get()
	}
	if peak < 100<<10 || peak > account.limit {
		t.Errorf("%d bytes at the peak", peak)
	}
}
