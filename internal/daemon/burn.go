package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// sloRecorder keeps the service-level counters.
type sloRecorder struct {
	mu       sync.Mutex
	counters *slo.Counters
}

func (b *sloRecorder) register(server *peer.Server) {
	peer.Handle(server, "burn", func(context.Context, string, peer.BurnRequest) (peer.BurnResponse, error) {
		return peer.BurnResponse{Cells: b.snapshot()}, nil
	})
}

func (b *sloRecorder) observe(key slo.Key, counts slo.Counts) {
	b.mu.Lock()
	b.counters.Observe(time.Now(), key, counts)
	b.mu.Unlock()
}

func (b *sloRecorder) snapshot() []slo.WindowCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters.Snapshot(time.Now())
}

// BurnReport merges the counters of all daemons into the burn report. Missing lists
// the daemons that did not answer.
func (d *Daemon) BurnReport(ctx context.Context) (lines []slo.ObjectiveBurn, missing []string) {
	counts := d.slo.snapshot()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range d.Members() {
		if m.ID == d.settings.ID || m.State == membership.Gone {
			continue
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			r, err := peer.Call[peer.BurnRequest, peer.BurnResponse](callCtx, d.peers, m.PeerAddress, "burn", peer.BurnRequest{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.ID)
				return
			}
			counts = append(counts, r.Cells...)
		})
	}
	wg.Wait()
	return slo.Report(d.config.current(), counts), missing
}
