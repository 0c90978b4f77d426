package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/platform"
)

// Log is the append-only log service. Its faults are switched while it runs.
type Log struct {
	mu      sync.Mutex
	streams map[string]*logStream
	changed chan struct{}
	keep    int
	down    bool
	delay   time.Duration
	lose    int
	appends int
}

type logStream struct {
	oldest  uint64
	records [][]byte
}

// NewLog returns a log that keeps the newest keep records of each stream; 0 keeps all.
func NewLog(keep int) *Log {
	return &Log{streams: map[string]*logStream{}, changed: make(chan struct{}), keep: keep}
}

// SetDown makes every call fail before it acts, or mends that.
func (l *Log) SetDown(down bool) { l.mu.Lock(); l.down = down; l.mu.Unlock() }

// SetDelay delays every reply.
func (l *Log) SetDelay(d time.Duration) { l.mu.Lock(); l.delay = d; l.mu.Unlock() }

// LoseReplies makes the next n appends act and then answer with an error.
func (l *Log) LoseReplies(n int) { l.mu.Lock(); l.lose = n; l.mu.Unlock() }

// Appends returns how many append calls acted.
func (l *Log) Appends() int { l.mu.Lock(); defer l.mu.Unlock(); return l.appends }

// All returns the kept records of a stream.
func (l *Log) All(stream string) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([][]byte(nil), l.stream(stream).records...)
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{}
		l.streams[name] = s
	}
	return s
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", l.append)
	mux.HandleFunc("GET /streams/{name}", l.read)
	l.mu.Lock()
	down, delay := l.down, l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	if down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	mux.ServeHTTP(w, r)
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Records [][]byte `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first, lost := l.add(r.PathValue("name"), in.Records)
	if lost {
		http.Error(w, "reply lost", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"first": first})
}

func (l *Log) add(name string, records [][]byte) (first uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first = s.oldest + uint64(len(s.records))
	s.records = append(s.records, records...)
	if over := len(s.records) - l.keep; l.keep > 0 && over > 0 {
		s.records = append([][]byte(nil), s.records[over:]...)
		s.oldest += uint64(over)
	}
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	if l.lose > 0 {
		l.lose--
		lost = true
	}
	return first, lost
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	wait, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		batch, changed := l.slice(r.PathValue("name"), from, limit)
		if len(batch.Records) > 0 {
			writeJSON(w, http.StatusOK, batch)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, batch)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) slice(name string, from uint64, limit int) (platform.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	b := platform.Batch{Oldest: s.oldest, Next: s.oldest + uint64(len(s.records))}
	for o := max(from, s.oldest); o < b.Next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, platform.Record{Offset: o, Data: s.records[o-s.oldest]})
	}
	return b, l.changed
}
