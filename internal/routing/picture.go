package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialServiceTime is assumed before the first completion.
	initialServiceTime = 500 * time.Millisecond
	// initialPrefill is assumed before the first first-token time, per token.
	initialPrefill = 200 * time.Microsecond
	// smoothing is the weight of a new sample in the moving averages: about
	// the last 20 samples count.
	smoothing = 0.1
	// errorHalfLife halves the remembered error rate without new attempts, so
	// that a mended server gets work again.
	errorHalfLife = 5 * time.Second
	// reportHalfLife ages what reports told of foreign work when no more come.
	reportHalfLife = 10 * time.Second
	// reportWeight is the weight of a new report. Reports lag by seconds, so a
	// single one tells of load that has moved on; daemons that follow it chase
	// each other from server to server. Their mean tells which servers are busy.
	reportWeight = 0.2
	// surgeLeast is the least mean work for which a surge is told from noise.
	surgeLeast = 2
	// surgeMost bounds the surge that is believed.
	surgeMost = 4
	// waitHalfLife ages the delay of own first tokens.
	waitHalfLife = time.Second
	// waitWeight is the weight of a new first token in that delay.
	waitWeight = 0.4
	// ownHalfLife smooths the own work that is taken out of a lagged report.
	ownHalfLife = 2 * time.Second
	// silenceLimit is the number of silent attempts in a row that make a
	// server suspect.
	silenceLimit = 2
	// suspectFor is how long a suspect server gets no work before it is tried
	// again; it doubles with every failure in a row up to suspectMost.
	suspectFor  = 3 * time.Second
	suspectMost = 24 * time.Second
)

// Member is a server as the configuration or the VM list names it.
type Member struct {
	ID            string
	Address       string
	FailureDomain string
	Slots         int
}

// LoadTracker is a daemon's knowledge of the servers of one pool. It is owned by
// one goroutine or guarded by its owner's lock.
type LoadTracker struct {
	servers []state
	index   map[string]int
	Prefix  *PrefixIndex
	// ExactPeerLoad says that Peers tells the work of others as it is now, so that
	// nothing is added for a surge that lagging reports would miss.
	ExactPeerLoad bool
	// own is this daemon's work on all servers.
	own int
	// order lists the slots in use by the hashes of their servers.
	order []int
}

// surge is how much more work this daemon has than it had when the reports were made
// from which the work of the others is estimated. Callers spread over all daemons, so
// the others have about as much more. The usual spread of a count is taken off, or
// noise would look like a surge.
func (p *LoadTracker) surge() float64 {
	then := 0.0
	for i := range p.servers {
		then += p.servers[i].ownReported
	}
	if then < surgeLeast {
		return 1
	}
	now := float64(p.own)
	return min(max((now-math.Sqrt(now))/then, 1), surgeMost)
}

type state struct {
	Candidate
	used         bool
	silent       int
	suspectUntil time.Time
	errorAt      time.Time
	others       float64
	othersAt     time.Time
	ownMean      float64
	ownAt        time.Time
	// ownReported is the mean of the own work that was taken out of reports. It
	// lags as others does, so that their relation holds while both change.
	ownReported float64
	wait        time.Duration
	waitAt      time.Time
}

// NewLoadTracker returns an empty picture.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{index: map[string]int{}, Prefix: NewPrefixIndex()}
}

// Update sets the members. A server keeps its slot and its averages as long as
// it stays; one replaced at the same id but another address starts anew.
func (p *LoadTracker) Update(members []Member) {
	wanted := make(map[string]Member, len(members))
	for _, m := range members {
		wanted[m.ID] = m
	}
	for id, i := range p.index {
		m, stays := wanted[id]
		if stays && m.Address == p.servers[i].Address {
			p.servers[i].Slots, p.servers[i].FailureDomain = slotsOf(m), m.FailureDomain
			continue
		}
		p.remove(id, i)
	}
	for _, m := range members {
		if _, known := p.index[m.ID]; !known {
			p.add(m)
		}
	}
	p.sort()
}

// sort puts the servers into the order that all daemons agree on. Members change seldom; a
// choice that sorted them would take most of its time for that.
func (p *LoadTracker) sort() {
	p.order = p.order[:0]
	for i := range p.servers {
		if p.servers[i].used {
			p.order = append(p.order, i)
		}
	}
	slices.SortFunc(p.order, func(a, b int) int { return cmp.Compare(p.servers[a].Hash, p.servers[b].Hash) })
}

// IndicesByHash lists the candidates of a snapshot that there are by the hashes of their ids, which
// have nothing to do with where they are, in an order that all daemons agree on.
func (p *LoadTracker) IndicesByHash() []int { return p.order }

func slotsOf(m Member) int {
	if m.Slots > 0 {
		return m.Slots
	}
	return defaultSlots
}

// defaultSlots is the batch width of a server that states none.
const defaultSlots = 8

func (p *LoadTracker) remove(id string, i int) {
	delete(p.index, id)
	p.own = max(0, p.own-p.servers[i].InFlight)
	p.servers[i] = state{Candidate: Candidate{Leaving: true}}
	p.Prefix.Forget(i)
}

func (p *LoadTracker) add(m Member) {
	fresh := state{used: true, Candidate: Candidate{
		ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, Hash: xxhash.Sum64String(m.ID), Slots: slotsOf(m),
		ServiceTime: initialServiceTime, PrefillPerToken: initialPrefill,
	}}
	for i := range p.servers {
		if !p.servers[i].used {
			p.servers[i], p.index[m.ID] = fresh, i
			return
		}
	}
	if len(p.servers) == MaxCandidates {
		return
	}
	p.servers = append(p.servers, fresh)
	p.index[m.ID] = len(p.servers) - 1
}

// Snapshot appends the candidates at a time to dst. Index i is slot i.
func (p *LoadTracker) Snapshot(dst []Candidate, now time.Time) []Candidate {
	first := len(dst)
	others := 0.0
	for i := range p.servers {
		s := &p.servers[i]
		dst = append(dst, s.Candidate)
		c := &dst[len(dst)-1]
		c.Suspect = now.Before(s.suspectUntil)
		// Most values are zero most of the time; ageing them would be most of
		// the cost of a decision.
		if s.others > 0 {
			c.OthersInFlight = s.others * decay(now.Sub(s.othersAt), reportHalfLife)
			others += c.OthersInFlight
		}
		if s.wait > 0 {
			c.Wait = time.Duration(float64(s.wait) * decay(now.Sub(s.waitAt), waitHalfLife))
		}
		if s.ErrorRate > 0 {
			c.ErrorRate *= decay(now.Sub(s.errorAt), errorHalfLife)
		}
	}
	p.addSurge(dst[first:], others)
	return dst
}

// EachBusy calls f for each server on which this daemon has unfinished work.
func (p *LoadTracker) EachBusy(f func(c *Candidate)) {
	for i := range p.servers {
		if p.servers[i].InFlight > 0 {
			f(&p.servers[i].Candidate)
		}
	}
}

// addSurge adds the work that a surge brought the others, alike to all servers:
// scaling each server's estimate would scale its noise too, and send the daemons
// after the servers that look best by chance.
func (p *LoadTracker) addSurge(candidates []Candidate, others float64) {
	surge := p.surge()
	if p.ExactPeerLoad || surge <= 1 || len(candidates) == 0 {
		return
	}
	more := (surge - 1) * others / float64(len(candidates))
	for i := range candidates {
		candidates[i].OthersInFlight += more
	}
}

func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

func (p *LoadTracker) find(id string) *state {
	i, ok := p.index[id]
	if !ok {
		return nil
	}
	return &p.servers[i]
}

// RecordDispatch records an attempt sent to a server.
func (p *LoadTracker) RecordDispatch(id string, blocks []uint64, urgent bool, now time.Time) {
	s := p.find(id)
	if s == nil {
		return
	}
	s.smoothOwn(now)
	p.own++
	s.InFlight++
	if urgent {
		s.Urgent++
	}
	p.Prefix.Sent(p.index[id], blocks)
}

// smoothOwn moves the mean of the own work up to a time.
func (s *state) smoothOwn(now time.Time) {
	keep := decay(now.Sub(s.ownAt), ownHalfLife)
	s.ownMean = s.ownMean*keep + float64(s.InFlight)*(1-keep)
	s.ownAt = now
}

// RecordFirstToken records the time to the first token of an attempt whose uncached
// prompt was estimated at some tokens, and returns the part of it that was a
// wait: what exceeds the prefill, which the fastest first tokens tell.
func (p *LoadTracker) RecordFirstToken(id string, took time.Duration, uncached int, now time.Time) (wait time.Duration) {
	s := p.find(id)
	if s == nil {
		return 0
	}
	s.silent, s.suspectUntil = 0, time.Time{}
	excess := max(0, took-s.Network-time.Duration(uncached)*s.PrefillPerToken)
	old := time.Duration(float64(s.wait) * decay(now.Sub(s.waitAt), waitHalfLife))
	s.wait = old + time.Duration(waitWeight*float64(excess-old))
	s.waitAt = now
	if uncached >= minPrefillSample {
		s.PrefillPerToken = lowAverage(s.PrefillPerToken, took/time.Duration(uncached))
	}
	return excess
}

// minPrefillSample is the least uncached prompt, in tokens, whose first token
// says something about the prefill.
const minPrefillSample = 64

// RecordCompletion records the end of an attempt that held a slot for some time, its
// wait not counted: a service time that grew with the queue would make the queue
// look longer still. Failed attempts raise the error rate.
func (p *LoadTracker) RecordCompletion(id string, held time.Duration, failed, urgent bool, now time.Time) {
	s := p.find(id)
	if s == nil {
		return
	}
	s.smoothOwn(now)
	p.own = max(0, p.own-1)
	s.InFlight = max(0, s.InFlight-1)
	if urgent {
		s.Urgent = max(0, s.Urgent-1)
	}
	old := s.ErrorRate * decay(now.Sub(s.errorAt), errorHalfLife)
	s.errorAt = now
	if failed {
		s.ErrorRate = old + smoothing*(1-old)
		return
	}
	s.ErrorRate = old * (1 - smoothing)
	s.ServiceTime = average(s.ServiceTime, held)
}

// RecordTimeout records an attempt on which nothing came back in time. New connections
// often work while old ones hang, so one silence is no verdict on the server.
func (p *LoadTracker) RecordTimeout(id string, now time.Time) {
	if s := p.find(id); s != nil {
		if s.silent++; s.silent >= silenceLimit {
			s.suspect(now)
		}
	}
}

// RecordUnreachable records that no connection could be made, or that the server lost
// a run: it went away or was restarted. It gets no work for a while at once,
// since every further attempt there costs a retry.
func (p *LoadTracker) RecordUnreachable(id string, now time.Time) {
	if s := p.find(id); s != nil {
		s.silent = max(s.silent+1, silenceLimit)
		s.suspect(now)
	}
}

func (s *state) suspect(now time.Time) {
	span := suspectFor << min(s.silent-silenceLimit, maxDoublings)
	s.suspectUntil = now.Add(min(span, suspectMost))
}

// maxDoublings keeps the shift in range; suspectMost is reached before it.
const maxDoublings = 8

// RecordReport takes a server's own load report. Work that this daemon had there
// lately is not counted twice.
func (p *LoadTracker) RecordReport(id string, inFlight int, now time.Time) {
	s := p.find(id)
	if s == nil {
		return
	}
	s.smoothOwn(now)
	foreign := max(0, float64(inFlight)-s.ownMean)
	if s.othersAt.IsZero() {
		s.others, s.ownReported = foreign, s.ownMean
	} else {
		s.others += reportWeight * (foreign - s.others)
		s.ownReported += reportWeight * (s.ownMean - s.ownReported)
	}
	s.othersAt = now
}

// RecordCachedBlocks records prompt blocks that another daemon sent to a server.
func (p *LoadTracker) RecordCachedBlocks(id string, blocks []uint64) {
	if i, known := p.index[id]; known {
		p.Prefix.Sent(i, blocks)
	}
}

// RecordLateness records how much later than expected a first token came.
func (p *LoadTracker) RecordLateness(id string, excess time.Duration, now time.Time) {
	s := p.find(id)
	if s == nil {
		return
	}
	s.silent, s.suspectUntil = 0, time.Time{}
	old := time.Duration(float64(s.wait) * decay(now.Sub(s.waitAt), waitHalfLife))
	s.wait = old + time.Duration(waitWeight*float64(max(0, excess)-old))
	s.waitAt = now
}

// SetPrefillPerToken sets the time for one prompt token on all servers.
func (p *LoadTracker) SetPrefillPerToken(perToken time.Duration) {
	for i := range p.servers {
		p.servers[i].PrefillPerToken = perToken
	}
}

// AddPendingPrefill adds prompt tokens that a server was sent and has not read, or takes
// them off.
func (p *LoadTracker) AddPendingPrefill(id string, tokens float64) {
	if s := p.find(id); s != nil {
		s.PendingPrefill = max(0, s.PendingPrefill+tokens)
	}
}

// SetPeerLoad sets the work of all other daemons on a server, as they themselves tell
// it. It replaces the estimate from reports.
func (p *LoadTracker) SetPeerLoad(id string, inFlight, pending float64, now time.Time) {
	if s := p.find(id); s != nil {
		s.others, s.othersAt, s.OthersPending = inFlight, now, pending
	}
}

// SetLeaving marks a server that gets no new work, or takes the mark back.
func (p *LoadTracker) SetLeaving(id string, leaving bool) {
	if s := p.find(id); s != nil {
		s.Candidate.Leaving = leaving
	}
}

// lowAverage follows the lower samples: a first token that waited in a queue
// says little about the prefill, and Wait has it already.
func lowAverage(old, sample time.Duration) time.Duration {
	if sample < old {
		return average(old, sample)
	}
	return old + time.Duration(smoothing*riseShare*float64(sample-old))
}

// riseShare is how much slower lowAverage rises than it falls.
const riseShare = 0.1

func average(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(sample-old))
}
