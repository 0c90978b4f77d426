package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Scenario: servers and the store send answers that are broken, while daemons are stopped and restarted.

const (
	// longUploadBytes is the length of a request body that does not fit into the buffers of a connection.
	longUploadBytes = 8 << 20
	// longUploadInterval is the number of requests of a client of which one has such a body.
	longUploadInterval = 32
)

// brokenRequests counts the requests that got broken answers.
type brokenRequests struct {
	mu   sync.Mutex
	runs map[string]int
}

// brokenAnswers are answers that are malformed or cut; %s are the fields that mark a server's own answer.
var brokenAnswers = []string{
	"HTTP/1.1 000 OK\r\n%sContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n%sA B: c\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n%sA : c\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n%sContent-Length : 4\r\n\r\nbody and more",
	"HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%sA\x01: c\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n%sContent-Length: 10\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA B: c\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%sA: " + strings.Repeat("b", 64<<10),
	"no response %s",
}

// answer returns a broken answer to a request. That to a long upload is a sound one without its end, which
// is cut by a reset.
func (b *brokenRequests) answer(r *http.Request) string {
	id := r.Header.Get("X-Damaskrudder-Attempt-Id")
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	mark := fmt.Sprintf("X-Damaskrudder-Attempt-Id: %s\r\nX-Damaskrudder-Server-Seal: seal-broken-%s\r\n", id, id)
	if r.ContentLength >= longUploadBytes {
		return "HTTP/1.1 200 OK\r\n" + mark + "\r\nanswer to"
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash accepts all
	return strings.Replace(brokenAnswers[h.Sum32()%uint32(len(brokenAnswers))], "%s", mark, 1)
}

// count returns how often a request got a broken answer.
func (b *brokenRequests) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// brokenStoreAnswer states that a topic is empty, in a head that is malformed.
func brokenStoreAnswer(*http.Request) string {
	const body = `{"items":[],"has_more":false,"end":1}`
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// injectBrokenAnswers makes a server or the store send broken answers, or disturbs a daemon.
func (c *cluster) injectBrokenAnswers() {
	d := c.daemons[c.rng.IntN(len(c.daemons))]
	serverProxy, storeProxy := c.serverProxies[c.rng.IntN(len(c.serverProxies))], c.storeProxies[c.rng.IntN(len(c.storeProxies))]
	duration := time.Duration(c.rng.Int64N(int64(maxFaultDuration)))
	breakAnswers := func(p *proxy) {
		p.setMode(modeBroken)
		time.AfterFunc(duration, func() { p.setMode(modeForward) })
	}
	faults := []struct {
		name  string
		start func()
	}{
		{"server-broken", func() { breakAnswers(serverProxy) }},
		{"server-broken", func() { breakAnswers(serverProxy) }},
		{"server-broken", func() { breakAnswers(serverProxy) }},
		{"store-broken", func() { breakAnswers(storeProxy) }},
		{"term", func() { d.signal(syscall.SIGTERM) }},
		{"kill", func() { d.signal(syscall.SIGKILL) }},
		{"hup", func() { d.signal(syscall.SIGHUP) }},
		{"rotate", c.rotateKeys},
	}
	f := faults[c.rng.IntN(len(faults))]
	c.faults = append(c.faults, f.name)
	f.start()
}

// breakable gives the proxies the answers of modeBroken.
func (c *cluster) breakable() {
	for _, p := range c.serverProxies {
		p.broken = &standin.RawServer{Answer: c.broken.answer, SkipsBody: true}
	}
	for _, p := range c.storeProxies {
		p.broken = &standin.RawServer{Answer: brokenStoreAnswer}
	}
}

// longUploadConfig is the standard configuration with long bodies.
func longUploadConfig(version int, keys string) []byte {
	return []byte(strings.Replace(string(standardConfig(version, keys)), `"body_bytes":100000`, fmt.Sprintf(`"body_bytes":%d`, longUploadBytes), 1))
}
