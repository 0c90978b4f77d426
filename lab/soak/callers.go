package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// kind of request.
type kind int

const (
	talk kind = iota
	pay
	look
	kindsOfRequest
)

// harmless is the body of every request but the deadly one.
const harmless = "x"

var paths = [kindsOfRequest]string{"/talk/1", "/pay/1", "/look/1"}

// events is the length of every stream.
const events = 12

// call is one request and what its caller saw.
type call struct {
	id     string
	front  string
	kind   kind
	key    string
	sent   time.Time
	ended  time.Time
	status int
	body   string
	seal   string
	err    error
	// deadly says that the request ends its servers.
	deadly bool
}

// callers send requests over connections that they keep.
type callers struct {
	fronts []string
	mu     sync.Mutex
	calls  []call
	next   int
}

// callerWait is how long a caller waits.
const callerWait = 6 * time.Second

func (c *callers) run(ctx context.Context, seed uint64, n int, keys func() []string) {
	var all sync.WaitGroup
	for i := range n {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
		all.Go(func() {
			for ctx.Err() == nil {
				known := keys()
				c.one(client, c.fronts[rng.IntN(len(c.fronts))], kind(rng.IntN(int(kindsOfRequest))), known[rng.IntN(len(known))])
				time.Sleep(time.Duration(5+rng.IntN(40)) * time.Millisecond)
			}
			client.CloseIdleConnections()
		})
	}
	all.Wait()
}

// harm sends a request that ends its servers again and again, to any daemon, until the
// context ends.
func (c *callers) harm(ctx context.Context, seed uint64, keys func() []string) {
	rng := rand.New(rand.NewPCG(seed, harmStream))
	client := &http.Client{}
	var all sync.WaitGroup
	for ctx.Err() == nil {
		front, known := c.fronts[rng.IntN(len(c.fronts))], keys()
		all.Go(func() { c.send(client, front, talk, known[len(known)-1], standin.CrashMarker) })
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
	all.Wait()
	client.CloseIdleConnections()
}

// harmStream is the random stream of the deadly request's caller.
const harmStream = 1 << 32

func (c *callers) one(client *http.Client, front string, k kind, key string) call {
	return c.send(client, front, k, key, harmless)
}

func (c *callers) send(client *http.Client, front string, k kind, key, text string) call {
	c.mu.Lock()
	c.next++
	out := call{id: fmt.Sprintf("%08x", c.next), front: front, kind: k, key: key, sent: time.Now(), deadly: text != harmless}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+paths[k], strings.NewReader(text))
	if err != nil {
		panic(err) // the soak's own address
	}
	req.Host = "h.example"
	req.GetBody = nil // or net/http sends it again by itself
	req.Header.Set("X-Damaskrudder-Attempt-Id", out.id)
	req.Header.Set("X-Damaskrudder-Deadline-Ms", fmt.Sprint(callerWait.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	if k == talk {
		req.Header.Set("X-Damaskrudder-Model", "*")
		req.Header.Set("X-Damaskrudder-Token-Count", "300,20")
	}
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
	} else {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // read to its end, or broken
		out.status, out.body, out.seal, out.err = resp.StatusCode, string(body), resp.Header.Get("X-Damaskrudder-Server-Seal"), err
	}
	out.ended = time.Now()
	c.mu.Lock()
	c.calls = append(c.calls, out)
	c.mu.Unlock()
	return out
}
