package standin

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Metadata is the platform's metadata store: keyed topics of one partition, with
// conditional appends and reads that wait. Its faults are switched while it runs.
type Metadata struct {
	mu      sync.Mutex
	topics  map[string]*keyedTopic
	changed chan struct{}
	refuse  map[string]int
	lose    int
	calls   int
	// era rises by one with each return from a copy; every answer states it.
	era uint64
}

// MetadataCopy is a store's content at a moment.
type MetadataCopy struct{ topics map[string]*keyedTopic }

// Copy copies the store's content.
func (m *Metadata) Copy() *MetadataCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &MetadataCopy{cloneTopics(m.topics)}
}

// Return has the store come back from a copy: what was written since is gone, and its offsets
// are given out again. Connections stay open.
func (m *Metadata) Return(c *MetadataCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.topics = cloneTopics(c.topics)
	m.era++
	m.wake()
}

func cloneTopics(topics map[string]*keyedTopic) map[string]*keyedTopic {
	out := make(map[string]*keyedTopic, len(topics))
	for name, t := range topics {
		out[name] = &keyedTopic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return out
}

type keyedTopic struct {
	first   uint64
	records []keyedRecord
	newest  map[string]keyedRecord
}

type keyedRecord struct {
	offset uint64
	key    string
	value  []byte
}

// NewMetadata returns an empty store.
func NewMetadata() *Metadata {
	return &Metadata{topics: map[string]*keyedTopic{}, changed: make(chan struct{}), refuse: map[string]int{}}
}

// Refuse answers every call with a status, or none if it is 0. Caller limits it to
// one caller's address without port; empty is all.
func (m *Metadata) Refuse(caller string, status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuse[caller] = status
	m.wake()
}

// LoseAnswers makes the next n appends act and then break the connection.
func (m *Metadata) LoseAnswers(n int) { m.mu.Lock(); m.lose = n; m.mu.Unlock() }

// Calls returns how many calls came.
func (m *Metadata) Calls() int { m.mu.Lock(); defer m.mu.Unlock(); return m.calls }

// Compact drops the records of a topic; the newest of each key stay.
func (m *Metadata) Compact(topic string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.topic(topic)
	t.first += uint64(len(t.records))
	t.records = nil
	m.wake()
}

// Put appends a record as the operator or a backend server does; a nil value
// removes the key.
func (m *Metadata) Put(topic, key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.append(topic, key, value)
}

// Value returns the newest value of a key.
func (m *Metadata) Value(topic, key string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, known := m.topic(topic).newest[key]
	return r.value, known
}

func (m *Metadata) topic(name string) *keyedTopic {
	t := m.topics[name]
	if t == nil {
		t = &keyedTopic{newest: map[string]keyedRecord{}}
		m.topics[name] = t
	}
	return t
}

func (t *keyedTopic) end() uint64 { return t.first + uint64(len(t.records)) }

func (m *Metadata) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Metadata) append(topic, key string, value []byte) uint64 {
	t := m.topic(topic)
	r := keyedRecord{t.end(), key, value}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	m.wake()
	return r.offset
}

// ServeHTTP implements http.Handler.
func (m *Metadata) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	m.calls++
	m.stateEra(w)
	m.mu.Unlock()
	if status := m.refused(r); status != 0 {
		w.WriteHeader(status)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /-/log-newest":
		m.serveNewest(w, r)
	case "GET /-/log-read":
		m.serveRead(w, r)
	case "POST /-/log-append":
		m.serveAppend(w, r)
	default:
		http.NotFound(w, r)
	}
}

// stateEra states the era in an answer. Callers hold mu.
func (m *Metadata) stateEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(m.era, 10))
}

func (m *Metadata) refused(r *http.Request) int {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.refuse[""], m.refuse[host])
}

func (m *Metadata) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	m.mu.Lock()
	m.stateEra(w)
	t := m.topic(r.FormValue("topic"))
	items := []item{}
	for _, rec := range t.newest {
		if rec.key <= r.FormValue("after") {
			continue
		}
		items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
	}
	end := t.end()
	m.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

func (m *Metadata) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		m.mu.Lock()
		t := m.topic(r.FormValue("topic"))
		first, end, changed := t.first, t.end(), m.changed
		m.stateEra(w)
		var records []keyedRecord
		if from >= first && from < end {
			records = slices.Clone(t.records[from-first:])
		}
		m.mu.Unlock()
		if status := m.refused(r); status != 0 {
			w.WriteHeader(status)
			return
		}
		if from < first || from > end {
			writeJSON(w, http.StatusGone, map[string]uint64{"first": first})
			return
		}
		if len(records) > 0 || wait <= 0 {
			writeRecords(w, first, end, records)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, first, end uint64, records []keyedRecord) {
	out := binary.BigEndian.AppendUint64(nil, end)
	out = binary.BigEndian.AppendUint64(out, first)
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	_, _ = w.Write(out) // a reader that left gets nothing
}

func (m *Metadata) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		http.Error(w, "not a record", http.StatusBadRequest)
		return
	}
	n := 5 + int(body[4])
	topic := r.FormValue("topic")
	m.mu.Lock()
	m.stateEra(w)
	end := m.topic(topic).end()
	if at := r.FormValue("at"); at != "" && at != strconv.FormatUint(end, 10) {
		m.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"end": end})
		return
	}
	offset := m.append(topic, string(body[5:n]), body[n:])
	lost := m.lose > 0
	if lost {
		m.lose--
	}
	m.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end": offset + 1})
}
