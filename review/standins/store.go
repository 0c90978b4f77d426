package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// storeAnswer is the time of an answer of the store, and storeHistory how long records are kept.
	storeAnswer  = 4 * time.Millisecond
	storeHistory = 20 * time.Second
)

// store is the platform's store: keyed topics of one partition.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	first   uint64
	records []record
	newest  map[string]record
}

type record struct {
	offset uint64
	key    string
	value  []byte
	at     time.Time
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

// listen serves the store on a free port of a loopback address.
func (s *store) listen(ip string) (address string, err error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }() // until the process ends
	return l.Addr().String(), nil
}

// topic returns a topic without the records that have expired. Callers hold mu.
func (s *store) topic(n string) *topic {
	t := s.topics[n]
	if t == nil {
		t = &topic{newest: map[string]record{}}
		s.topics[n] = t
	}
	for len(t.records) > 0 && time.Since(t.records[0].at) > storeHistory {
		t.records, t.first = t.records[1:], t.first+1
	}
	return t
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// put appends a record and returns the time of the ack. Without a value the key is dropped.
func (s *store) put(topicName, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(topicName, key, value)
}

func (s *store) putLocked(topicName, key string, value []byte) time.Time {
	t := s.topic(topicName)
	r := record{t.end(), key, value, time.Now()}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return r.at
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeAnswer)
	switch r.URL.Path {
	case name["newest"]:
		s.serveNewest(w, r)
	case name["read"]:
		s.serveRead(w, r)
	case name["append"]:
		s.serveAppend(w, r, body)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	items := []item{}
	s.mu.Lock()
	t := s.topic(r.FormValue("topic"))
	for _, n := range t.newest {
		if n.key > r.FormValue("after") {
			items = append(items, item{n.key, base64.StdEncoding.EncodeToString(n.value), n.offset})
		}
	}
	end := t.end()
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.FormValue("topic"))
		first, end, changed := t.first, t.end(), s.changed
		var found []record
		if from >= first && from < end {
			found = append(found, t.records[from-first:]...)
		}
		s.mu.Unlock()
		switch {
		case from < first || from > end:
			answer(w, http.StatusGone, map[string]uint64{"first": first})
			return
		case len(found) > 0 || wait <= 0:
			_, _ = w.Write(encodeRecords(first, end, found)) // fails only if the daemon is gone
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(first, end uint64, list []record) []byte {
	out := binary.BigEndian.AppendUint64(nil, end)
	out = binary.BigEndian.AppendUint64(out, first)
	for _, r := range list {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	t := s.topic(r.FormValue("topic"))
	if at := r.FormValue("at"); at != "" && at != strconv.FormatUint(t.end(), 10) {
		end := t.end()
		s.mu.Unlock()
		answer(w, http.StatusPreconditionFailed, map[string]uint64{"end": end})
		return
	}
	offset := t.end()
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+n]
		body = body[4+n:]
		key := int(rec[0])
		s.putLocked(r.FormValue("topic"), string(rec[1:1+key]), append([]byte(nil), rec[1+key:]...))
	}
	end := t.end()
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]uint64{"offset": offset, "end": end})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the daemon is gone
}
