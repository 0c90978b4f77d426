package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialServiceTime is used until the first completion.
	initialServiceTime = 500 * time.Millisecond
	// initialPrefillPerToken is used until the first observed time to first token.
	initialPrefillPerToken = 200 * time.Microsecond
	// smoothing is the weight of a new sample in the moving averages.
	smoothing = 0.1
	// errorHalfLife is the half-life of the error rate in the absence of attempts, so that
	// a recovered server gets requests again.
	errorHalfLife = 5 * time.Second
	// reportHalfLife is the half-life of the load reported for other daemons in the
	// absence of reports.
	reportHalfLife = 10 * time.Second
	// reportWeight is the weight of a new load report. Reports lag by seconds; following
	// single reports would make all daemons move to the same server at once.
	reportWeight = 0.2
	// minSurgeBaseline is the mean number of requests in flight below which no surge is
	// detected.
	minSurgeBaseline = 2
	// maxSurgeFactor bounds the surge factor.
	maxSurgeFactor = 4
	// firstTokenDelayHalfLife is the half-life of the first-token delay.
	firstTokenDelayHalfLife = time.Second
	// firstTokenDelayWeight is the weight of a new sample in the first-token delay.
	firstTokenDelayWeight = 0.4
	// ownMeanHalfLife is the half-life of the mean of own requests, which is subtracted
	// from lagging reports.
	ownMeanHalfLife = 2 * time.Second
	// suspectAfterTimeouts is the number of consecutive timeouts after which a server is
	// suspect. New connections often work while old ones hang, so one is not enough.
	suspectAfterTimeouts = 2
	// initialSuspectTime is how long a server stays suspect at first. It doubles with
	// every consecutive failure, up to maxSuspectTime.
	initialSuspectTime = 3 * time.Second
	maxSuspectTime     = 24 * time.Second
)

// Member is a server of the configuration or the VM list.
type Member struct {
	ID            string
	Address       string
	FailureDomain string
	Slots         int
}

// LoadTracker estimates the load, latency and error rate of the servers of one pool. It is
// not safe for concurrent use.
type LoadTracker struct {
	servers   []serverState
	indexByID map[string]int
	Prefix    *PrefixIndex
	// ExactPeerLoad states that SetPeerLoad supplies current values, so that no correction
	// for lagging reports is applied.
	ExactPeerLoad bool
	// ownInFlight is the number of this daemon's requests in flight on all servers.
	ownInFlight int
	// byHash lists the used indices, ordered by the hash of the server id.
	byHash []int
}

// surgeFactor returns the ratio of this daemon's current load to its load at the time of
// the reports, less one standard deviation of the count, so that noise is not taken for a
// surge. The load of other daemons is assumed to have grown by the same factor, since
// clients spread over all daemons.
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
	// ownMeanInReports is the mean of the own requests subtracted from reports. It is
	// smoothed like othersMean, so that both lag by the same time.
	ownMeanInReports  float64
	firstTokenDelay   time.Duration
	firstTokenDelayAt time.Time
}

// NewLoadTracker returns a tracker without servers.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{indexByID: map[string]int{}, Prefix: NewPrefixIndex()}
}

// ClearFailures forgets the failures of all servers, which were those of the network of this daemon.
func (t *LoadTracker) ClearFailures() {
	for i := range t.servers {
		s := &t.servers[i]
		s.timeouts, s.suspectUntil, s.ErrorRate = 0, time.Time{}, 0
	}
}

// Update sets the members. A server keeps its index and its estimates while its id and
// address stay the same; a new address resets them.
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

// sortByHash rebuilds byHash on membership changes, which keeps sorting out of Pick.
func (t *LoadTracker) sortByHash() {
	t.byHash = t.byHash[:0]
	for i := range t.servers {
		if t.servers[i].used {
			t.byHash = append(t.byHash, i)
		}
	}
	slices.SortFunc(t.byHash, func(a, b int) int { return cmp.Compare(t.servers[a].Hash, t.servers[b].Hash) })
}

// IndicesByHash returns the candidate indices of the current members, ordered by the hash
// of their ids. All daemons with the same members have the same order.
func (t *LoadTracker) IndicesByHash() []int { return t.byHash }

func slotsOrDefault(m Member) int {
	if m.Slots > 0 {
		return m.Slots
	}
	return defaultSlots
}

// defaultSlots is the batch size of a server that states none.
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

// Snapshot appends the candidates as of now to dst. Candidate indices equal those of the
// tracker; an unused index is a candidate marked as leaving.
func (t *LoadTracker) Snapshot(dst []Candidate, now time.Time) []Candidate {
	first := len(dst)
	others := 0.0
	for i := range t.servers {
		s := &t.servers[i]
		dst = append(dst, s.Candidate)
		c := &dst[len(dst)-1]
		c.Suspect = now.Before(s.suspectUntil)
		// Skip the decay of zero values, which are the common case.
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

// EachBusy calls f for each server with requests of this daemon in flight.
func (t *LoadTracker) EachBusy(f func(c *Candidate)) {
	for i := range t.servers {
		if t.servers[i].InFlight > 0 {
			f(&t.servers[i].Candidate)
		}
	}
}

// addSurge spreads the additional load of other daemons evenly over all servers. Scaling
// each estimate instead would amplify its noise.
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

// RecordSend records an attempt sent to a server.
func (t *LoadTracker) RecordSend(id string, blocks []uint64, urgent bool, now time.Time) {
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

// updateOwnMean advances the mean of own requests to now.
func (s *serverState) updateOwnMean(now time.Time) {
	decayFactor := decay(now.Sub(s.ownMeanAt), ownMeanHalfLife)
	s.ownMean = s.ownMean*decayFactor + float64(s.InFlight)*(1-decayFactor)
	s.ownMeanAt = now
}

// RecordFirstToken records an attempt's time to first token and returns the part of it
// that exceeds network and prefill time.
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

// minPrefillTokens is the least number of uncached tokens for a prefill time sample.
const minPrefillTokens = 64

// RecordCompletion records the end of an attempt. The held time excludes the queueing
// delay, which would otherwise be counted twice.
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

// RecordTimeout records an attempt without a response in time. A single timeout may be due
// to a stale connection, so only consecutive ones make a server suspect.
func (t *LoadTracker) RecordTimeout(id string, now time.Time) {
	if s := t.server(id); s != nil {
		if s.timeouts++; s.timeouts >= suspectAfterTimeouts {
			s.markSuspect(now)
		}
	}
}

// RecordUnreachable records a failed connection or a run lost by the server. It makes the
// server suspect at once.
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

// maxDoublings bounds the shift; maxSuspectTime is reached before it.
const maxDoublings = 8

// RecordReport records a server's load report, less the mean of this daemon's own
// requests.
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

// RecordLateness records by how much a first token exceeded its expected time.
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

// SetPrefillPerToken sets the prefill time per token on all servers.
func (t *LoadTracker) SetPrefillPerToken(perToken time.Duration) {
	for i := range t.servers {
		t.servers[i].PrefillPerToken = perToken
	}
}

// AddPendingPrefill changes the number of prompt tokens awaiting prefill on a server.
// Tokens may be negative.
func (t *LoadTracker) AddPendingPrefill(id string, tokens float64) {
	if s := t.server(id); s != nil {
		s.PendingPrefill = max(0, s.PendingPrefill+tokens)
	}
}

// SetPeerLoad sets the load of all other daemons on a server, as reported by them. It
// replaces the estimate from server reports.
func (t *LoadTracker) SetPeerLoad(id string, inFlight, pending float64, now time.Time) {
	if s := t.server(id); s != nil {
		s.othersMean, s.othersAt, s.OthersPending = inFlight, now, pending
	}
}

// SetLeaving sets whether a server is leaving and gets no new requests.
func (t *LoadTracker) SetLeaving(id string, leaving bool) {
	if s := t.server(id); s != nil {
		s.Candidate.Leaving = leaving
	}
}

// lowBiasedAverage is a moving average that falls faster than it rises, since samples
// above the prefill time include queueing.
func lowBiasedAverage(old, sample time.Duration) time.Duration {
	if sample < old {
		return movingAverage(old, sample)
	}
	return old + time.Duration(smoothing*riseFactor*float64(sample-old))
}

// riseFactor is the ratio of the rising to the falling rate of lowBiasedAverage.
const riseFactor = 0.1

func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(sample-old))
}
