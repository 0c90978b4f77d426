package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// BenchmarkDecision snapshots, scores and picks for a prompt of 8 KiB, at
// several sizes of the subset a daemon works with.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{8, 24, 64, 160} {
		b.Run(fmt.Sprint(size, "-of-1600"), func(b *testing.B) {
			members := make([]Member, 1600)
			for i := range members {
				members[i] = Member{ID: fmt.Sprint("s", i), Address: "a", Slots: 8}
			}
			p := NewLoadTracker()
			p.Update(Subset("d1", members, size))
			blocks := Blocks(nil, "m@v1", strings.Repeat("warrant ", 1024))
			now := time.Unix(1000, 0)
			rng := rand.New(rand.NewPCG(1, 1))
			for _, m := range Subset("d1", members, size)[:size/2] {
				p.RecordDispatch(m.ID, blocks, false, now)
				p.RecordReport(m.ID, rng.IntN(8), now)
			}
			pipe := DefaultPipeline()
			var room [MaxCandidates]Candidate
			b.ReportAllocs()
			for b.Loop() {
				r := Request{PromptTokens: 2048, Blocks: blocks, BlockTokens: BlockTokens, Budget: time.Minute}
				candidates := p.Snapshot(room[:0], now)
				p.Prefix.Lookup(&r)
				if pipe.Pick(&r, candidates, rng).Index < 0 {
					b.Fatal("nothing picked")
				}
			}
		})
	}
}
