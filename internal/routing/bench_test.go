package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// BenchmarkPick measures snapshot, prefix lookup and pick for an 8 KiB prompt, at several
// subset sizes.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{8, 24, 64, 160} {
		b.Run(fmt.Sprint(size, "-of-1600"), func(b *testing.B) {
			members := make([]Member, 1600)
			for i := range members {
				members[i] = Member{ID: fmt.Sprint("s", i), Address: "a", Slots: 8}
			}
			tracker := NewLoadTracker()
			tracker.Update(Subset("d1", members, size))
			blocks := Blocks(nil, "m@v1", strings.Repeat("warrant ", 1024))
			now := time.Unix(1000, 0)
			rng := rand.New(rand.NewPCG(1, 1))
			for _, m := range Subset("d1", members, size)[:size/2] {
				tracker.RecordSend(m.ID, blocks, false, now)
				tracker.RecordReport(m.ID, rng.IntN(8), now)
			}
			pipeline := DefaultPipeline()
			var buffer [MaxCandidates]Candidate
			b.ReportAllocs()
			for b.Loop() {
				r := Request{PromptTokens: 2048, Blocks: blocks, BlockTokens: BlockTokens, Budget: time.Minute}
				candidates := tracker.Snapshot(buffer[:0], now)
				tracker.Prefix.Lookup(&r)
				if pipeline.Pick(&r, candidates, rng).Index < 0 {
					b.Fatal("nothing picked")
				}
			}
		})
	}
}
