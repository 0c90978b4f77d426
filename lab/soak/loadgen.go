package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// routeKind is the kind of the route that a request is sent to.
type routeKind int

const (
	streaming routeKind = iota
	nonIdempotent
	idempotent
	routeKindCount
)

// normalBody is the body of every request that does not crash its server.
const normalBody = "x"

// longUpload is the body of a long upload.
var longUpload = strings.Repeat("x", longUploadBytes)

var routePaths = [routeKindCount]string{"/talk/1", "/pay/1", "/look/1"}

// streamEvents is the number of events in a complete stream.
const streamEvents = 12

// call records a request and its response as seen by the client.
type call struct {
	id         string
	clientAddr string
	kind       routeKind
	key        string
	sentAt     time.Time
	endedAt    time.Time
	status     int
	body       string
	seal       string
	err        error
	// leaving is set if the response states that its server leaves.
	leaving bool
	// crashing marks a request that crashes every server that runs it.
	crashing bool
	sending
}

// sending is how a request was sent.
type sending struct {
	// keptConnection is set if its connection had been used before.
	keptConnection bool
	// writtenAt is the time at which the whole request was written; zero if it was not.
	writtenAt time.Time
}

// loadGenerator sends requests over persistent connections and records the responses.
type loadGenerator struct {
	clientAddrs []string
	mu          sync.Mutex
	calls       []call
	lastID      int
	// crashingParts makes crashing requests unlike, with one part of their prompts in common.
	crashingParts bool
	// longUploads makes one in longUploadInterval requests a long upload.
	longUploads bool
	// newConnections makes every second client open a connection for each request.
	newConnections bool
}

const requestTimeout = 6 * time.Second

func (g *loadGenerator) run(ctx context.Context, seed uint64, clients int, clientKeys func() []string) {
	var wg sync.WaitGroup
	for i := range clients {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableKeepAlives: g.newConnections && i%2 == 1}}
		wg.Go(func() {
			for ctx.Err() == nil {
				keys := clientKeys()
				body := normalBody
				if g.longUploads && rng.IntN(longUploadInterval) == 0 {
					body = longUpload
				}
				g.send(client, g.clientAddrs[rng.IntN(len(g.clientAddrs))], routeKind(rng.IntN(int(routeKindCount))), keys[rng.IntN(len(keys))], body)
				time.Sleep(time.Duration(5+rng.IntN(40)) * time.Millisecond)
			}
			client.CloseIdleConnections()
		})
	}
	wg.Wait()
}

// sendCrashing repeatedly sends requests that crash their servers to random daemons until ctx
// is done.
func (g *loadGenerator) sendCrashing(ctx context.Context, seed uint64, clientKeys func() []string) {
	rng := rand.New(rand.NewPCG(seed, crashingRandStream))
	client := &http.Client{}
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		frontAddr, keys := g.clientAddrs[rng.IntN(len(g.clientAddrs))], clientKeys()
		payload := standin.CrashMarker
		if g.crashingParts {
			payload += fmt.Sprint(" ", rng.Uint64())
		}
		wg.Go(func() { g.send(client, frontAddr, streaming, keys[len(keys)-1], payload) })
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
	wg.Wait()
	client.CloseIdleConnections()
}

// crashingRandStream is the PCG stream used by sendCrashing.
const crashingRandStream = 1 << 32

func (g *loadGenerator) send(client *http.Client, frontAddr string, kind routeKind, key, payload string) call {
	g.mu.Lock()
	g.lastID++
	rec := call{id: fmt.Sprintf("%08x", g.lastID), clientAddr: frontAddr, kind: kind, key: key, sentAt: time.Now(), crashing: strings.HasPrefix(payload, standin.CrashMarker)}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	ctx, sent := traceSending(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+frontAddr+routePaths[kind], strings.NewReader(payload))
	if err != nil {
		panic(err) // the URL is built from constants and a valid address
	}
	req.Host = "h.example"
	req.GetBody = nil // prevents automatic retries by net/http
	req.Header.Set("X-Damaskrudder-Attempt-Id", rec.id)
	req.Header.Set("X-Damaskrudder-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	if kind == streaming {
		req.Header.Set("X-Damaskrudder-Model", "*")
		req.Header.Set("X-Damaskrudder-Token-Count", "300,20")
		if g.crashingParts {
			req.Header.Set("X-Damaskrudder-Prompt-Prefix", promptPrefix(rec))
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		rec.err = err
	} else {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // the body has been read
		rec.status, rec.body, rec.seal, rec.err = resp.StatusCode, string(body), resp.Header.Get("X-Damaskrudder-Server-Seal"), err
		rec.leaving = resp.Header.Get("Server-Leaving") == "1"
	}
	rec.endedAt = time.Now()
	rec.sending = sent()
	g.mu.Lock()
	g.calls = append(g.calls, rec)
	g.mu.Unlock()
	return rec
}

// traceSending returns a context that traces how a request is sent, and a function that returns what it saw.
func traceSending(ctx context.Context) (context.Context, func() sending) {
	var mu sync.Mutex
	var seen sending
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			seen = sending{keptConnection: info.Reused}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			if info.Err == nil {
				seen.writtenAt = time.Now()
			}
		},
	}
	return httptrace.WithClientTrace(ctx, trace), func() sending {
		mu.Lock()
		defer mu.Unlock()
		return seen
	}
}

// promptPrefix returns the parts of a prompt: one that all requests share, one that crashing requests
// share with each other and normal ones with some, and one of the request's own.
func promptPrefix(c call) string {
	second := "c" + c.id[len(c.id)-1:]
	if c.crashing {
		second = "dead"
	}
	return fmt.Sprintf("a1:100,%s:100,%s:100", second, c.id)
}
