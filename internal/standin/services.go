package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/damaskrudder/damaskrudder/internal/platform"
)

// BadAnswerMarker is part of the bad answers of an Engine. A RatingService detects them by it.
const BadAnswerMarker = "wrong"

// VMList is a fake of the platform's VM list. Changes become visible after a delay.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []vmChange
}

type vmChange struct {
	at time.Time
	vm platform.VM
}

// NewVMList returns an empty list whose changes become visible after lag.
func NewVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set adds or replaces the entry of a VM.
func (l *VMList) Set(vm platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, vmChange{time.Now(), vm})
}

// ServeHTTP implements http.Handler.
func (l *VMList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := map[string]platform.VM{}
	for _, c := range l.changes {
		if time.Since(c.at) >= l.lag {
			shown[c.vm.ID] = c.vm
		}
	}
	list := make([]platform.VM, 0, len(shown))
	for _, vm := range shown {
		list = append(list, vm)
	}
	writeJSON(w, http.StatusOK, list)
}

// RatingService is a fake of the rating service. It rates a sample as good unless the answer contains
// BadAnswerMarker, and returns the rating after a delay.
type RatingService struct {
	mu      sync.Mutex
	delay   time.Duration
	ratings map[string][]timedRating
}

type timedRating struct {
	availableAt time.Time
	rating      platform.Rating
}

// NewRatingService returns a rating service whose ratings are available after delay.
func NewRatingService(delay time.Duration) *RatingService {
	return &RatingService{delay: delay, ratings: map[string][]timedRating{}}
}

// ServeHTTP implements http.Handler.
func (s *RatingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		var in platform.Sample
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		good := !strings.Contains(in.Answer, BadAnswerMarker)
		in.Answer = ""
		s.ratings[in.Daemon] = append(s.ratings[in.Daemon], timedRating{time.Now().Add(s.delay), platform.Rating{Sample: in, Good: good}})
		w.WriteHeader(http.StatusAccepted)
		return
	}
	s.handleRatings(w, r)
}

func (s *RatingService) handleRatings(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	all := s.ratings[r.FormValue("daemon")]
	due := []platform.Rating{}
	next := min(max(from, 0), len(all))
	for next < len(all) && !time.Now().Before(all[next].availableAt) {
		due = append(due, all[next].rating)
		next++
	}
	writeJSON(w, http.StatusOK, map[string]any{"ratings": due, "next": next})
}

// WeightStore is a fake of the weight store, which limits the rate of model loads.
type WeightStore struct{ limiter *rate.Limiter }

// NewWeightStore returns a weight store that permits perSecond loads per second.
func NewWeightStore(perSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.limiter.Allow())
}

// Service is a fake service without a model. It counts its executions by run ID.
type Service struct {
	mu        sync.Mutex
	runCounts map[string]int
	replies   map[string]string
	// Delay is the service time of a call.
	Delay time.Duration
}

// NewService returns a service without delay.
func NewService() *Service {
	return &Service{runCounts: map[string]int{}, replies: map[string]string{}}
}

// RunCounts returns the number of executions by run ID.
func (s *Service) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runCounts)
}

// Replies returns the last reply by run ID.
func (s *Service) Replies() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.replies)
}

// maxServiceBodyBytes is the maximum size of a request body. Longer bodies are truncated.
const maxServiceBodyBytes = 1 << 20

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/call" {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServiceBodyBytes))
	if err != nil {
		return
	}
	runID := r.Header.Get("X-Run-Id")
	s.mu.Lock()
	s.runCounts[runID]++
	runCount := s.runCounts[runID]
	s.mu.Unlock()
	time.Sleep(s.Delay)
	h := fnv.New32a()
	_, _ = h.Write(body)
	reply := fmt.Sprintf(`{"confirmation":"%s-%08x-%d"}`, runID, h.Sum32(), runCount)
	s.mu.Lock()
	s.replies[runID] = reply
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, reply)
}
