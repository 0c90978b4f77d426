package main

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a consumer, what it got and who ran it.
type request struct {
	id, route, daemon, key string
	sentAt, answered       time.Duration
	status                 int
	err                    error
	// sealed is set if the answer has a server's seal.
	sealed bool
	runs   []run
}

// run is the arrival of a request at a server that runs it.
type run struct {
	server, version string
	at              time.Duration
	status          int
}

// history holds all requests. Times count from its start.
type history struct {
	start time.Time
	mu    sync.Mutex
	byID  map[string]*request
	all   []*request
	notes []string
}

func newHistory() *history { return &history{start: time.Now(), byID: map[string]*request{}} }

func (h *history) now() time.Duration { return time.Since(h.start) }

func (h *history) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notes = append(h.notes, fmt.Sprintf("%8.3f s  ", h.now().Seconds())+fmt.Sprintf(format, args...))
}

func (h *history) began(id string, s *server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.byID[id]; r != nil {
		r.runs = append(r.runs, run{s.id, s.version, h.now(), 0})
	}
}

func (h *history) ended(id string, s *server, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.byID[id]
	if r == nil {
		return
	}
	for i := range r.runs {
		if r.runs[i].server == s.id && r.runs[i].status == 0 {
			r.runs[i].status = status
		}
	}
}

const (
	resolveInterval  = 2 * time.Second
	consumerDeadline = 600 * time.Millisecond
	consumerHost     = "wuny96.example"
	consumerKey      = "n2ctnfzs989anu6wsjnb"
)

// send sends one request and records its answer. It is not repeated.
func (h *history) send(client *http.Client, d *daemon, n int, method, route, key string) {
	r := &request{id: fmt.Sprintf("%016x", 0x5eed0000+n), route: route, daemon: d.name, key: key, sentAt: h.now()}
	h.mu.Lock()
	h.byID[r.id], h.all = r, append(h.all, r)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), consumerDeadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("entry ", 100))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+"/"+route+fmt.Sprintf("/%d", n%97), body)
	if err != nil {
		panic(err) // the address is valid
	}
	req.Host, req.GetBody = consumerHost, nil // net/http must not repeat it
	req.Header.Set(name["attempt"], r.id)
	req.Header.Set(name["deadline"], fmt.Sprint(consumerDeadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(req)
	status, sealed := 0, false
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close() // it has been read
		status, sealed = resp.StatusCode, resp.Header.Get(name["seal"]) != ""
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r.answered, r.status, r.sealed, r.err = h.now(), status, sealed, err
}

// consume sends requests at a rate until ctx ends, on kept channels, to the daemons that the directory names.
// It asks that again every resolveInterval, and keeps what it knows if it gets none.
func (h *history) consume(ctx context.Context, daemons []*daemon, perSecond, payShare float64, keys ...string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	var wg sync.WaitGroup
	defer wg.Wait()
	known, asked := daemons, time.Time{}
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(asked) > resolveInterval {
			asked = time.Now()
			if found := resolve(daemons[rand.Intn(len(daemons))], daemons); len(found) > 0 {
				known = found
			}
		}
		next = next.Add(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		d := known[rand.Intn(len(known))]
		key := keys[rand.Intn(len(keys))]
		if rand.Float64() < payShare {
			wg.Go(func() { h.send(client, d, n, http.MethodPost, "entry-pay", key) })
			continue
		}
		wg.Go(func() { h.send(client, d, n, http.MethodGet, "bib-status", key) })
	}
}
