package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/slo"
)

// sloRecorder counts requests against service-level objectives.
type sloRecorder struct {
	mu       sync.Mutex
	counters *slo.Counters
}

func (r *sloRecorder) register(server *peer.Server) {
	peer.Handle(server, "burn", func(context.Context, string, peer.BurnRequest) (peer.BurnResponse, error) {
		return peer.BurnResponse{Cells: r.snapshot()}, nil
	})
}

func (r *sloRecorder) observe(key slo.Key, counts slo.Counts) {
	r.mu.Lock()
	r.counters.Observe(time.Now(), key, counts)
	r.mu.Unlock()
}

func (r *sloRecorder) snapshot() []slo.WindowCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters.Snapshot(time.Now())
}

// BurnReport merges the counters of all daemons into a report on error budget burn.
// missing lists the daemons that did not respond.
func (d *Daemon) BurnReport(ctx context.Context) (lines []slo.ObjectiveBurn, missing []string) {
	counts := d.slo.snapshot()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, member := range d.Members() {
		if member.ID == d.settings.ID || member.State == membership.Gone {
			continue
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			resp, err := peer.Call[peer.BurnRequest, peer.BurnResponse](callCtx, d.peers, member.PeerAddress, "burn", peer.BurnRequest{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, member.ID)
				return
			}
			counts = append(counts, resp.Cells...)
		})
	}
	wg.Wait()
	return slo.Report(d.config.current(), counts), missing
}
