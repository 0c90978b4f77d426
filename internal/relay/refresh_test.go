package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
)

// putServers adds n servers of a service.
func putServers(s *State, n int) {
	s.UpdateServers(func(r *backend.Registry, _ time.Duration) {
		for i := range n {
			_, _ = r.Put(backend.Server{Incarnation: backend.Incarnation{Name: fmt.Sprintf("e%05d", i)}, Service: "lm", Address: fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255), Slots: 8})
		}
	})
}

// Guards against a cost of each changed entry that grows with the number of servers.
func TestEntryChangeCostIsIndependentOfServerCount(t *testing.T) {
	cost := func(servers int) float64 {
		s := NewState("d1", "", func() time.Duration { return time.Minute })
		putServers(s, servers)
		s.withService("lm", func(*service) {})
		return testing.AllocsPerRun(200, func() { putServers(s, 1) })
	}
	if small, large := cost(100), cost(10_000); large > small {
		t.Errorf("%.0f allocations with 10,000 servers, %.0f with 100", large, small)
	}
}
