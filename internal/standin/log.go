package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/platform"
)

// Log is a fake of the append-only log service with fault injection.
type Log struct {
	mu            sync.Mutex
	streams       map[string]*logStream
	changed       chan struct{}
	maxRecords    int
	down          bool
	delay         time.Duration
	repliesToLose int
	appendCount   int
}

type logStream struct {
	oldest  uint64
	records [][]byte
}

// NewLog returns a log that retains the newest maxRecords records of each stream, or all if
// maxRecords is 0.
func NewLog(maxRecords int) *Log {
	return &Log{streams: map[string]*logStream{}, changed: make(chan struct{}), maxRecords: maxRecords}
}

// SetDown sets whether all calls fail without effect.
func (l *Log) SetDown(down bool) { l.mu.Lock(); l.down = down; l.mu.Unlock() }

// SetDelay sets the delay of all calls.
func (l *Log) SetDelay(d time.Duration) { l.mu.Lock(); l.delay = d; l.mu.Unlock() }

// LoseReplies makes the next n appends take effect but return an error.
func (l *Log) LoseReplies(n int) { l.mu.Lock(); l.repliesToLose = n; l.mu.Unlock() }

// AppendCount returns the number of appends that took effect.
func (l *Log) AppendCount() int { l.mu.Lock(); defer l.mu.Unlock(); return l.appendCount }

// Records returns the retained records of a stream.
func (l *Log) Records(stream string) [][]byte {
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
	mux.HandleFunc("POST /streams/{name}", l.handleAppend)
	mux.HandleFunc("GET /streams/{name}", l.handleRead)
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

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Records [][]byte `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first, lost := l.appendRecords(r.PathValue("name"), in.Records)
	if lost {
		http.Error(w, "reply lost", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"first": first})
}

func (l *Log) appendRecords(name string, records [][]byte) (first uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first = s.oldest + uint64(len(s.records))
	s.records = append(s.records, records...)
	if excess := len(s.records) - l.maxRecords; l.maxRecords > 0 && excess > 0 {
		s.records = append([][]byte(nil), s.records[excess:]...)
		s.oldest += uint64(excess)
	}
	l.appendCount++
	close(l.changed)
	l.changed = make(chan struct{})
	if l.repliesToLose > 0 {
		l.repliesToLose--
		lost = true
	}
	return first, lost
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	wait, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		batch, changed := l.readBatch(r.PathValue("name"), from, limit)
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

func (l *Log) readBatch(name string, from uint64, limit int) (platform.Batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	batch := platform.Batch{Oldest: s.oldest, Next: s.oldest + uint64(len(s.records))}
	for offset := max(from, s.oldest); offset < batch.Next && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, platform.Record{Offset: offset, Data: s.records[offset-s.oldest]})
	}
	return batch, l.changed
}
