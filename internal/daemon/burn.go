package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// burn keeps the service-level counters.
type burn struct {
	mu       sync.Mutex
	counters *slo.Counters
}

func (b *burn) register(s *peer.Server) {
	peer.Handle(s, "burn", func(context.Context, string, peer.BurnRequest) (peer.BurnResponse, error) {
		return peer.BurnResponse{Cells: b.cells()}, nil
	})
}

func (b *burn) observe(k slo.Key, n slo.Counts) {
	b.mu.Lock()
	b.counters.Observe(time.Now(), k, n)
	b.mu.Unlock()
}

func (b *burn) cells() []slo.WindowCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters.Snapshot(time.Now())
}

// BurnReport merges the counters of all daemons into the burn report. Missing lists
// the daemons that did not answer.
func (d *Daemon) BurnReport(ctx context.Context) (lines []slo.ObjectiveBurn, missing []string) {
	cells := d.burn.cells()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range d.Members() {
		if m.ID == d.settings.ID || m.State == membership.Gone {
			continue
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			r, err := peer.Call[peer.BurnRequest, peer.BurnResponse](callCtx, d.links, m.PeerAddress, "burn", peer.BurnRequest{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.ID)
				return
			}
			cells = append(cells, r.Cells...)
		})
	}
	wg.Wait()
	return slo.Report(d.config.current(), cells), missing
}
