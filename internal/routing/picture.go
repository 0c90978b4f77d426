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
	// initialPrefillPerToken is assumed before the first first-token time, per token.
	initialPrefillPerToken = 200 * time.Microsecond
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
	// minSurgeBaseline is the least mean work for which a surge is told from noise.
	minSurgeBaseline = 2
	// maxSurgeFactor bounds the surge that is believed.
	maxSurgeFactor = 4
	// firstTokenDelayHalfLife ages the delay of own first tokens.
	firstTokenDelayHalfLife = time.Second
	// firstTokenDelayWeight is the weight of a new first token in that delay.
	firstTokenDelayWeight = 0.4
	// ownMeanHalfLife smooths the own work that is taken out of a lagged report.
	ownMeanHalfLife = 2 * time.Second
	// suspectAfterTimeouts is the number of silent attempts in a row that make a
	// server suspect.
	suspectAfterTimeouts = 2
	// initialSuspectTime is how long a suspect server gets no work before it is tried
	// again; it doubles with every failure in a row up to suspectMost.
	initialSuspectTime = 3 * time.Second
	maxSuspectTime     = 24 * time.Second
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
	servers   []serverState
	indexByID map[string]int
	Prefix    *PrefixIndex
	// ExactPeerLoad says that Peers tells the work of others as it is now, so that
	// nothing is added for a surge that lagging reports would miss.
	ExactPeerLoad bool
	// ownInFlight is this daemon's work on all servers.
	ownInFlight int
	// byHash lists the slots in use by the hashes of their servers.
	byHash []int
}

// surgeFactor is how much more work this daemon has than it had when the reports were made
// from which the work of the others is estimated. Callers spread over all daemons, so
// the others have about as much more. The usual spread of a count is taken off, or
// noise would look like a surge.
func (t *LoadTracker) surgeFactor() float64 {
	baseline := 0.0
	for i := range t.servers {
		baseline += t.servers[i].ownMeanInReports
	}
	if baseline < minSurgeBaseline {
		return 1
	}
	current := float64(t.ownInFlight)
	return min(max((current-math.Sqrt(current))/baseline, 1), maxSurgeFactor)
}

type serverState struct {
	Candidate
	used         bool
	timeouts     int
	suspectUntil time.Time
	errorRateAt  time.Time
	othersMean   float64
	othersAt     time.Time
	ownMean      float64
	ownMeanAt    time.Time
	// ownMeanInReports is the mean of the own work that was taken out of reports. It
	// lags as others does, so that their relation holds while both change.
	ownMeanInReports  float64
	firstTokenDelay   time.Duration
	firstTokenDelayAt time.Time
}

// NewLoadTracker returns an empty picture.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{indexByID: map[string]int{}, Prefix: NewPrefixIndex()}
}

// Update sets the members. A server keeps its slot and its averages as long as
// it stays; one replaced at the same id but another address starts anew.
func (t *LoadTracker) Update(members []Member) {
	wanted := make(map[string]Member, len(members))
	for _, m := range members {
		wanted[m.ID] = m
	}
	for id, i := range t.indexByID {
		m, found := wanted[id]
		if found && m.Address == t.servers[i].Address {
			t.servers[i].Slots, t.servers[i].FailureDomain = slotsOrDefault(m), m.FailureDomain
			continue
		}
		t.remove(id, i)
	}
	for _, m := range members {
		if _, known := t.indexByID[m.ID]; !known {
			t.add(m)
		}
	}
	t.sortByHash()
}

// sortByHash puts the servers into the order that all daemons agree on. Members change seldom; a
// choice that sorted them would take most of its time for that.
func (t *LoadTracker) sortByHash() {
	t.byHash = t.byHash[:0]
	for i := range t.servers {
		if t.servers[i].used {
			t.byHash = append(t.byHash, i)
		}
	}
	slices.SortFunc(t.byHash, func(a, b int) int { return cmp.Compare(t.servers[a].Hash, t.servers[b].Hash) })
}

// IndicesByHash lists the candidates of a snapshot that there are by the hashes of their ids, which
// have nothing to do with where they are, in an order that all daemons agree on.
func (t *LoadTracker) IndicesByHash() []int { return t.byHash }

func slotsOrDefault(m Member) int {
	if m.Slots > 0 {
		return m.Slots
	}
	return defaultSlots
}

// defaultSlots is the batch width of a server that states none.
const defaultSlots = 8

func (t *LoadTracker) remove(id string, i int) {
	delete(t.indexByID, id)
	t.ownInFlight = max(0, t.ownInFlight-t.servers[i].InFlight)
	t.servers[i] = serverState{Candidate: Candidate{Leaving: true}}
	t.Prefix.RemoveServer(i)
}

func (t *LoadTracker) add(m Member) {
	state := serverState{used: true, Candidate: Candidate{
		ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, Hash: xxhash.Sum64String(m.ID), Slots: slotsOrDefault(m),
		ServiceTime: initialServiceTime, PrefillPerToken: initialPrefillPerToken,
	}}
	for i := range t.servers {
		if !t.servers[i].used {
			t.servers[i], t.indexByID[m.ID] = state, i
			return
		}
	}
	if len(t.servers) == MaxCandidates {
		return
	}
	t.servers = append(t.servers, state)
	t.indexByID[m.ID] = len(t.servers) - 1
}

// Snapshot appends the candidates at a time to dst. Index i is slot i.
func (t *LoadTracker) Snapshot(dst []Candidate, now time.Time) []Candidate {
	first := len(dst)
	others := 0.0
	for i := range t.servers {
		s := &t.servers[i]
		dst = append(dst, s.Candidate)
		c := &dst[len(dst)-1]
		c.Suspect = now.Before(s.suspectUntil)
		// Most values are zero most of the time; ageing them would be most of
		// the cost of a decision.
		if s.othersMean > 0 {
			c.OthersInFlight = s.othersMean * decay(now.Sub(s.othersAt), reportHalfLife)
			others += c.OthersInFlight
		}
		if s.firstTokenDelay > 0 {
			c.Wait = time.Duration(float64(s.firstTokenDelay) * decay(now.Sub(s.firstTokenDelayAt), firstTokenDelayHalfLife))
		}
		if s.ErrorRate > 0 {
			c.ErrorRate *= decay(now.Sub(s.errorRateAt), errorHalfLife)
		}
	}
	t.addSurge(dst[first:], others)
	return dst
}

// EachBusy calls f for each server on which this daemon has unfinished work.
func (t *LoadTracker) EachBusy(f func(c *Candidate)) {
	for i := range t.servers {
		if t.servers[i].InFlight > 0 {
			f(&t.servers[i].Candidate)
		}
	}
}

// addSurge adds the work that a surge brought the others, alike to all servers:
// scaling each server's estimate would scale its noise too, and send the daemons
// after the servers that look best by chance.
func (t *LoadTracker) addSurge(candidates []Candidate, totalOthers float64) {
	surge := t.surgeFactor()
	if t.ExactPeerLoad || surge <= 1 || len(candidates) == 0 {
		return
	}
	extra := (surge - 1) * totalOthers / float64(len(candidates))
	for i := range candidates {
		candidates[i].OthersInFlight += extra
	}
}

func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

func (t *LoadTracker) server(id string) *serverState {
	i, ok := t.indexByID[id]
	if !ok {
		return nil
	}
	return &t.servers[i]
}

// RecordDispatch records an attempt sent to a server.
func (t *LoadTracker) RecordDispatch(id string, blocks []uint64, urgent bool, now time.Time) {
	s := t.server(id)
	if s == nil {
		return
	}
	s.updateOwnMean(now)
	t.ownInFlight++
	s.InFlight++
	if urgent {
		s.Urgent++
	}
	t.Prefix.Add(t.indexByID[id], blocks)
}

// updateOwnMean moves the mean of the own work up to a time.
func (s *serverState) updateOwnMean(now time.Time) {
	decayFactor := decay(now.Sub(s.ownMeanAt), ownMeanHalfLife)
	s.ownMean = s.ownMean*decayFactor + float64(s.InFlight)*(1-decayFactor)
	s.ownMeanAt = now
}

// RecordFirstToken records the time to the first token of an attempt whose uncached
// prompt was estimated at some tokens, and returns the part of it that was a
// wait: what exceeds the prefill, which the fastest first tokens tell.
func (t *LoadTracker) RecordFirstToken(id string, elapsed time.Duration, uncached int, now time.Time) (wait time.Duration) {
	s := t.server(id)
	if s == nil {
		return 0
	}
	s.timeouts, s.suspectUntil = 0, time.Time{}
	excess := max(0, elapsed-s.Network-time.Duration(uncached)*s.PrefillPerToken)
	old := time.Duration(float64(s.firstTokenDelay) * decay(now.Sub(s.firstTokenDelayAt), firstTokenDelayHalfLife))
	s.firstTokenDelay = old + time.Duration(firstTokenDelayWeight*float64(excess-old))
	s.firstTokenDelayAt = now
	if uncached >= minPrefillTokens {
		s.PrefillPerToken = lowBiasedAverage(s.PrefillPerToken, elapsed/time.Duration(uncached))
	}
	return excess
}

// minPrefillTokens is the least uncached prompt, in tokens, whose first token
// says something about the prefill.
const minPrefillTokens = 64

// RecordCompletion records the end of an attempt that held a slot for some time, its
// wait not counted: a service time that grew with the queue would make the queue
// look longer still. Failed attempts raise the error rate.
func (t *LoadTracker) RecordCompletion(id string, held time.Duration, failed, urgent bool, now time.Time) {
	s := t.server(id)
	if s == nil {
		return
	}
	s.updateOwnMean(now)
	t.ownInFlight = max(0, t.ownInFlight-1)
	s.InFlight = max(0, s.InFlight-1)
	if urgent {
		s.Urgent = max(0, s.Urgent-1)
	}
	old := s.ErrorRate * decay(now.Sub(s.errorRateAt), errorHalfLife)
	s.errorRateAt = now
	if failed {
		s.ErrorRate = old + smoothing*(1-old)
		return
	}
	s.ErrorRate = old * (1 - smoothing)
	s.ServiceTime = movingAverage(s.ServiceTime, held)
}

// RecordTimeout records an attempt on which nothing came back in time. New connections
// often work while old ones hang, so one silence is no verdict on the server.
func (t *LoadTracker) RecordTimeout(id string, now time.Time) {
	if s := t.server(id); s != nil {
		if s.timeouts++; s.timeouts >= suspectAfterTimeouts {
			s.markSuspect(now)
		}
	}
}

// RecordUnreachable records that no connection could be made, or that the server lost
// a run: it went away or was restarted. It gets no work for a while at once,
// since every further attempt there costs a retry.
func (t *LoadTracker) RecordUnreachable(id string, now time.Time) {
	if s := t.server(id); s != nil {
		s.timeouts = max(s.timeouts+1, suspectAfterTimeouts)
		s.markSuspect(now)
	}
}

func (s *serverState) markSuspect(now time.Time) {
	duration := initialSuspectTime << min(s.timeouts-suspectAfterTimeouts, maxDoublings)
	s.suspectUntil = now.Add(min(duration, maxSuspectTime))
}

// maxDoublings keeps the shift in range; suspectMost is reached before it.
const maxDoublings = 8

// RecordReport takes a server's own load report. Work that this daemon had there
// lately is not counted twice.
func (t *LoadTracker) RecordReport(id string, inFlight int, now time.Time) {
	s := t.server(id)
	if s == nil {
		return
	}
	s.updateOwnMean(now)
	others := max(0, float64(inFlight)-s.ownMean)
	if s.othersAt.IsZero() {
		s.othersMean, s.ownMeanInReports = others, s.ownMean
	} else {
		s.othersMean += reportWeight * (others - s.othersMean)
		s.ownMeanInReports += reportWeight * (s.ownMean - s.ownMeanInReports)
	}
	s.othersAt = now
}

// RecordCachedBlocks records prompt blocks that another daemon sent to a server.
func (t *LoadTracker) RecordCachedBlocks(id string, blocks []uint64) {
	if i, known := t.indexByID[id]; known {
		t.Prefix.Add(i, blocks)
	}
}

// RecordLateness records how much later than expected a first token came.
func (t *LoadTracker) RecordLateness(id string, excess time.Duration, now time.Time) {
	s := t.server(id)
	if s == nil {
		return
	}
	s.timeouts, s.suspectUntil = 0, time.Time{}
	old := time.Duration(float64(s.firstTokenDelay) * decay(now.Sub(s.firstTokenDelayAt), firstTokenDelayHalfLife))
	s.firstTokenDelay = old + time.Duration(firstTokenDelayWeight*float64(max(0, excess)-old))
	s.firstTokenDelayAt = now
}

// SetPrefillPerToken sets the time for one prompt token on all servers.
func (t *LoadTracker) SetPrefillPerToken(perToken time.Duration) {
	for i := range t.servers {
		t.servers[i].PrefillPerToken = perToken
	}
}

// AddPendingPrefill adds prompt tokens that a server was sent and has not read, or takes
// them off.
func (t *LoadTracker) AddPendingPrefill(id string, tokens float64) {
	if s := t.server(id); s != nil {
		s.PendingPrefill = max(0, s.PendingPrefill+tokens)
	}
}

// SetPeerLoad sets the work of all other daemons on a server, as they themselves tell
// it. It replaces the estimate from reports.
func (t *LoadTracker) SetPeerLoad(id string, inFlight, pending float64, now time.Time) {
	if s := t.server(id); s != nil {
		s.othersMean, s.othersAt, s.OthersPending = inFlight, now, pending
	}
}

// SetLeaving marks a server that gets no new work, or takes the mark back.
func (t *LoadTracker) SetLeaving(id string, leaving bool) {
	if s := t.server(id); s != nil {
		s.Candidate.Leaving = leaving
	}
}

// lowBiasedAverage follows the lower samples: a first token that waited in a queue
// says little about the prefill, and Wait has it already.
func lowBiasedAverage(old, sample time.Duration) time.Duration {
	if sample < old {
		return movingAverage(old, sample)
	}
	return old + time.Duration(smoothing*riseFactor*float64(sample-old))
}

// riseFactor is how much slower lowAverage rises than it falls.
const riseFactor = 0.1

func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(sample-old))
}
