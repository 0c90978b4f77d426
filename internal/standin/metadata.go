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

// MetadataStore is a fake of the platform's metadata store with fault injection. It has
// keyed topics of one partition, conditional appends and long-polling reads.
type MetadataStore struct {
	mu              sync.Mutex
	topics          map[string]*keyedTopic
	changed         chan struct{}
	failureStatuses map[string]int
	repliesToLose   int
	requestCount    int
	// era is incremented by Restore and sent with every response.
	era uint64
}

// MetadataSnapshot is a copy of the store's content.
type MetadataSnapshot struct{ topics map[string]*keyedTopic }

// Snapshot returns a copy of the store's content.
func (m *MetadataStore) Snapshot() *MetadataSnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &MetadataSnapshot{cloneTopics(m.topics)}
}

// Restore replaces the store's content with a snapshot. Later records are lost and their
// offsets are reused. Connections stay open.
func (m *MetadataStore) Restore(snapshot *MetadataSnapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.topics = cloneTopics(snapshot.topics)
	m.era++
	m.notifyReaders()
}

func cloneTopics(topics map[string]*keyedTopic) map[string]*keyedTopic {
	out := make(map[string]*keyedTopic, len(topics))
	for name, t := range topics {
		out[name] = &keyedTopic{firstOffset: t.firstOffset, records: slices.Clone(t.records), latest: maps.Clone(t.latest)}
	}
	return out
}

type keyedTopic struct {
	firstOffset uint64
	records     []keyedRecord
	latest      map[string]keyedRecord
}

type keyedRecord struct {
	offset uint64
	key    string
	value  []byte
}

// NewMetadataStore returns an empty store.
func NewMetadataStore() *MetadataStore {
	return &MetadataStore{topics: map[string]*keyedTopic{}, changed: make(chan struct{}), failureStatuses: map[string]int{}}
}

// SetFailure makes calls from a host fail with an HTTP status, or succeed again if the status
// is 0. The host is an IP address; an empty host stands for all.
func (m *MetadataStore) SetFailure(host string, status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failureStatuses[host] = status
	m.notifyReaders()
}

// LoseReplies makes the next n appends take effect but close the connection without a reply.
func (m *MetadataStore) LoseReplies(n int) { m.mu.Lock(); m.repliesToLose = n; m.mu.Unlock() }

// RequestCount returns the number of received requests.
func (m *MetadataStore) RequestCount() int { m.mu.Lock(); defer m.mu.Unlock(); return m.requestCount }

// Compact removes all records of a topic from its sequence. The newest value of each key
// stays available.
func (m *MetadataStore) Compact(topic string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.topic(topic)
	t.firstOffset += uint64(len(t.records))
	t.records = nil
	m.notifyReaders()
}

// Put appends a record. An empty value deletes the key.
func (m *MetadataStore) Put(topic, key string, value []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.append(topic, key, value)
}

// Latest returns the newest value of a key.
func (m *MetadataStore) Latest(topic, key string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.topic(topic).latest[key]
	return r.value, ok
}

func (m *MetadataStore) topic(name string) *keyedTopic {
	t := m.topics[name]
	if t == nil {
		t = &keyedTopic{latest: map[string]keyedRecord{}}
		m.topics[name] = t
	}
	return t
}

func (t *keyedTopic) endOffset() uint64 { return t.firstOffset + uint64(len(t.records)) }

func (m *MetadataStore) notifyReaders() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *MetadataStore) append(topic, key string, value []byte) uint64 {
	t := m.topic(topic)
	r := keyedRecord{t.endOffset(), key, value}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.latest, key)
	} else {
		t.latest[key] = r
	}
	m.notifyReaders()
	return r.offset
}

// ServeHTTP implements http.Handler.
func (m *MetadataStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	m.requestCount++
	m.writeEra(w)
	m.mu.Unlock()
	if status := m.failureStatus(r); status != 0 {
		w.WriteHeader(status)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /-/log-newest":
		m.handleNewest(w, r)
	case "GET /-/log-read":
		m.handleRead(w, r)
	case "POST /-/log-append":
		m.handleAppend(w, r)
	default:
		http.NotFound(w, r)
	}
}

// writeEra sets the era header of a response. The caller must hold m.mu.
func (m *MetadataStore) writeEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(m.era, 10))
}

func (m *MetadataStore) failureStatus(r *http.Request) int {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.failureStatuses[""], m.failureStatuses[host])
}

func (m *MetadataStore) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	m.mu.Lock()
	m.writeEra(w)
	t := m.topic(r.FormValue("topic"))
	items := []item{}
	for _, rec := range t.latest {
		if rec.key <= r.FormValue("after") {
			continue
		}
		items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
	}
	end := t.endOffset()
	m.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

func (m *MetadataStore) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		m.mu.Lock()
		t := m.topic(r.FormValue("topic"))
		first, end, changed := t.firstOffset, t.endOffset(), m.changed
		m.writeEra(w)
		var records []keyedRecord
		if from >= first && from < end {
			records = slices.Clone(t.records[from-first:])
		}
		m.mu.Unlock()
		if status := m.failureStatus(r); status != 0 {
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
	_, _ = w.Write(out) // fails only if the client has disconnected
}

func (m *MetadataStore) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		http.Error(w, "not a record", http.StatusBadRequest)
		return
	}
	keyEnd := 5 + int(body[4])
	topic := r.FormValue("topic")
	m.mu.Lock()
	m.writeEra(w)
	end := m.topic(topic).endOffset()
	if at := r.FormValue("at"); at != "" && at != strconv.FormatUint(end, 10) {
		m.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"end": end})
		return
	}
	offset := m.append(topic, string(body[5:keyEnd]), body[keyEnd:])
	lost := m.repliesToLose > 0
	if lost {
		m.repliesToLose--
	}
	m.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset, "end": offset + 1})
}
