package httplimit

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/connlimit"
	"github.com/damaskrudder/damaskrudder/internal/fault"
)

// account is an account with a limit.
type account struct {
	mu          sync.Mutex
	held, limit int64
}

func (a *account) GrowHeads(_, n int64) *fault.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held+n > a.limit {
		return fault.New(fault.Overloaded, "no room for %d bytes", n)
	}
	a.held += n
	return nil
}

func (a *account) ReleaseHeads(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= n
}

func (a *account) get() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// awaitRelease waits until nothing is held: the server has then seen the last connection close. The test's
// timeout bounds it.
func (a *account) awaitRelease() {
	for a.get() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// bounded is a bounded server with its limits.
type bounded struct {
	*Group
	account *account
	server  *http.Server
	address string

	mu     sync.Mutex
	limits Limits
	lines  bytes.Buffer
}

func newBounded(t *testing.T, maxConnections int, h http.Handler) *bounded {
	t.Helper()
	b := &bounded{account: &account{limit: 1 << 20}, limits: Limits{HeadBytes: 8 << 10, HeadTimeout: time.Minute}}
	b.Group = New(Config{
		MaxConnections: maxConnections, Account: b.account, IDHeader: "Id", Scope: tally.NoopScope, Logger: log.New(b),
		Limits: func() Limits {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.limits
		},
		Refusal: func(id string, e *fault.Error) *http.Response {
			return &http.Response{StatusCode: fault.Lookup(e.Kind).Status, Header: http.Header{"Id": {id}}}
		},
	})
	b.server = &http.Server{Handler: h}
	b.Attach(b.server)
	b.address = serveOn(t, b.server, func(l net.Listener) net.Listener { return b.Listen("test", l) })
	return b
}

// Write implements io.Writer for log lines.
func (b *bounded) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *bounded) setLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

func serveOn(t *testing.T, s *http.Server, wrap func(net.Listener) net.Listener) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(wrap(l)) }() // ends when the server is closed
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends the parts of a text and returns all that is answered until the connection closes.
func exchange(t *testing.T, address string, parts ...string) string {
	t.Helper()
	c := dial(t, address)
	go func() {
		for _, p := range parts {
			if _, err := io.WriteString(c, p); err != nil {
				return // the server has closed the connection
			}
		}
	}()
	out, _ := io.ReadAll(c) // what was read tells
	return string(out)
}

// echo answers with what it has read of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %d fields %x %v trailers %d\n", r.Method, r.RequestURI, len(r.Header), sha256.Sum256(body), err, len(r.Trailer)) // fails only if the client has left
}

// randomRequest returns a well-formed request.
func randomRequest(rng *rand.Rand, n int) string {
	fields := "Host: h\r\n"
	for i := range rng.IntN(8) {
		fields += fmt.Sprintf("F%d: %s\r\n", i, strings.Repeat("v", rng.IntN(300)))
	}
	body := make([]byte, rng.IntN(3)*rng.IntN(6000))
	for i := range body {
		body[i] = "\r\n:0aGET "[rng.IntN(9)]
	}
	switch rng.IntN(4) {
	case 0:
		return fmt.Sprintf("GET /%d HTTP/1.1\r\n%s\r\n", n, fields)
	case 1:
		return fmt.Sprintf("POST /%d HTTP/1.1\r\n%scontent-length:  %d \r\n\r\n%s", n, fields, len(body), body)
	case 2:
		return fmt.Sprintf("POST /%d HTTP/1.0\r\n%sConnection: keep-alive\r\nContent-Length: %d\r\n\r\n%s", n, fields, len(body), body)
	}
	out := fmt.Sprintf("PUT /%d HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n", n, fields)
	for len(body) > 0 {
		size := 1 + rng.IntN(len(body))
		out += fmt.Sprintf("%x%s\r\n%s\r\n", size, []string{"", ";a=b", " "}[rng.IntN(3)], body[:size])
		body = body[size:]
	}
	return out + "0\r\n" + []string{"", "T: 1\r\n"}[rng.IntN(2)] + "\r\n"
}

var dates = regexp.MustCompile(`Date: [^\r]*\r\n`)

// Guards against a bounded server that finds other requests on a connection than net/http does.
func TestBoundedServerAnswersAsAnUnboundedOne(t *testing.T) {
	b := newBounded(t, 100, http.HandlerFunc(echo))
	plain := serveOn(t, &http.Server{Handler: http.HandlerFunc(echo)}, func(l net.Listener) net.Listener { return l })
	for seed := range uint64(120) {
		rng := rand.New(rand.NewPCG(seed, 87))
		text := ""
		for n := range 1 + rng.IntN(8) {
			text += randomRequest(rng, n)
		}
		text += "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
		var parts []string
		for rest := text; len(rest) > 0; {
			n := min(len(rest), 1+rng.IntN(1<<rng.IntN(14)))
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		want, got := dates.ReplaceAllString(exchange(t, plain, text), ""), dates.ReplaceAllString(exchange(t, b.address, parts...), "")
		if want != got || !strings.Contains(got, "GET /last") {
			t.Fatalf("seed %d: sent %q, got\n%s\nwant\n%s", seed, text, got, want)
		}
	}
	b.account.awaitRelease()
}

// Guards against requests that are hidden in the body of one whose end is not clear.
func TestRequestsAfterAnUnclearEndAreNotServed(t *testing.T) {
	b := newBounded(t, 100, http.HandlerFunc(echo))
	for _, fields := range []string{
		"Content-Length: 5\r\nContent-Length: 6", "Content-Length: x", "Transfer-Encoding: gzip", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding:\r\n chunked", "Content-Length: 2\r\n 3", "Transfer-Encoding: chunked", "Content-Length : 5",
	} {
		got := exchange(t, b.address, "POST /first HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n\r\nzz\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		if strings.Contains(got, "/hidden") || strings.Count(got, "HTTP/1.1 ") > 1 {
			t.Errorf("%q: got %q", fields, got)
		}
	}
}

func TestHeadsOverTheLimitsAreRefused(t *testing.T) {
	served := 0
	b := newBounded(t, 100, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	line := "A: " + strings.Repeat("x", 100) + "\r\n"
	for name, tt := range map[string]struct{ text, want string }{
		"many lines":   {"GET / HTTP/1.1\r\nId: r7\r\n" + strings.Repeat(line, 200), "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nId: r7\r\n"},
		"one line":     {"GET /" + strings.Repeat("x", 20<<10), "HTTP/1.1 431 "},
		"empty lines":  {strings.Repeat("\r\n", 9000), "HTTP/1.1 400 "},
		"after others": {"\r\nGET /" + strings.Repeat("x", 20<<10), "HTTP/1.1 431 "},
	} {
		if got := exchange(t, b.address, tt.text); !strings.HasPrefix(got, tt.want) {
			t.Errorf("%s: got %q", name, got)
		}
	}
	if served != 0 {
		t.Errorf("%d requests were served", served)
	}
}

func TestHeadsForWhichThereIsNoMemoryAreRefused(t *testing.T) {
	reached, release := make(chan bool), make(chan bool)
	b := newBounded(t, 100, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		reached <- true
		<-release
	}))
	b.account.limit = 40 << 10
	head := "GET / HTTP/1.1\r\nHost: h\r\nId: r9\r\nConnection: close\r\n" + strings.Repeat("a:\r\n", 200) + "\r\n"
	first := dial(t, b.address)
	_, _ = io.WriteString(first, head) // a failure shows below
	<-reached
	if got := exchange(t, b.address, head); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "Id: r9\r\n") {
		t.Errorf("beside a head of the same size: got %q", got)
	}
	close(release)
	if got, _ := io.ReadAll(first); !strings.HasPrefix(string(got), "HTTP/1.1 200 ") {
		t.Errorf("the first one got %q", got)
	}
	b.account.awaitRelease()
	go func() { <-reached }()
	if got := exchange(t, b.address, head); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("afterwards: got %q", got)
	}
}

// Guards against a head that is charged for each of its parts.
func TestHeadInSmallPartsIsServed(t *testing.T) {
	b := newBounded(t, 100, http.HandlerFunc(echo))
	b.account.limit = 16 << 10
	head := "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nA: " + strings.Repeat("x", 6<<10) + "\r\n\r\n"
	if got := exchange(t, b.address, strings.Split(head, "")...); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("got %q", got)
	}
}

// Guards against limits that are fixed at the start.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	b := newBounded(t, 100, http.HandlerFunc(echo))
	head := "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nA: " + strings.Repeat("x", 14<<10) + "\r\n\r\n"
	if got := exchange(t, b.address, head); !strings.HasPrefix(got, "HTTP/1.1 431 ") {
		t.Errorf("over the limit: got %q", got)
	}
	b.setLimits(Limits{HeadBytes: 16 << 10})
	if got := exchange(t, b.address, head); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("within the new limit: got %q", got)
	}
}

func TestHeadThatComesTooSlowlyIsRefused(t *testing.T) {
	b := newBounded(t, 100, http.HandlerFunc(echo))
	b.setLimits(Limits{HeadTimeout: time.Millisecond})
	if got := exchange(t, b.address, "GET / HTTP/1.1\r\nHost: h\r\n"); !strings.HasPrefix(got, "HTTP/1.1 408 ") {
		t.Errorf("got %q", got)
	}
}

// Guards against idle connections that shut out those with requests.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	b := newBounded(t, 20, http.HandlerFunc(echo))
	var idle []net.Conn
	for range 60 {
		idle = append(idle, dial(t, b.address))
	}
	if got := exchange(t, b.address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("beside idle connections: got %q", got)
	}
	_ = idle[0].SetReadDeadline(time.Now().Add(time.Minute)) // fails only on a closed connection
	if n, err := idle[0].Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the first idle connection got %d bytes, %v", n, err)
	}
}

// Guards against requests that are ended for new connections while they are being handled.
func TestConnectionsWithRequestsAreNotEvicted(t *testing.T) {
	reached, release := make(chan bool), make(chan bool)
	b := newBounded(t, 4, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		reached <- true
		<-release
	}))
	var busy []net.Conn
	for range 4 {
		c := dial(t, b.address)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") // a failure shows below
		<-reached
		busy = append(busy, c)
	}
	if got := exchange(t, b.address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); got != "" {
		t.Errorf("one more got %q", got)
	}
	close(release)
	for i, c := range busy {
		if got, _ := io.ReadAll(c); !strings.HasPrefix(string(got), "HTTP/1.1 200 ") {
			t.Errorf("request %d got %q", i, got)
		}
	}
}

// Guards against a body that is due and shuts out others: its request is answered before its place is taken.
func TestRequestWithIncompleteBodyIsEvicted(t *testing.T) {
	reading := make(chan bool, 10)
	b := newBounded(t, 2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reading <- true
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	}))
	var uploads []net.Conn
	for range 2 {
		c := dial(t, b.address)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc") // a failure shows below
		<-reading
		uploads = append(uploads, c)
	}
	if got := exchange(t, b.address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("beside bodies that are due: got %q", got)
	}
	if got, _ := io.ReadAll(uploads[0]); !strings.HasPrefix(string(got), "HTTP/1.1 408 ") {
		t.Errorf("the first upload got %q", got)
	}
}

// Guards against upgraded connections that are counted after they are closed, or shut out others.
func TestUpgradedConnectionsAreEvicted(t *testing.T) {
	upgraded := make(chan bool, 100)
	b := newBounded(t, 4, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upgrade") == "" {
			echo(w, r)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		upgraded <- true
		_, _ = io.Copy(io.Discard, c) // ends with the connection
		_ = c.Close()                 // it has ended
	}))
	for range 12 {
		_, _ = io.WriteString(dial(t, b.address), "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\n\r\n") // a failure shows below
		<-upgraded
	}
	if got := exchange(t, b.address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("beside upgraded connections: got %q", got)
	}
}

// Guards against bodies that take more than the account has, or stay in it.
func TestBodiesAreAccountedFor(t *testing.T) {
	account := NewMemoryAccount(100 << 10)
	h := account.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(fault.Lookup(fault.BodyError(err).Kind).Status)
		}
	}))
	for size, want := range map[int]int{10 << 10: http.StatusOK, 40 << 10: http.StatusOK, 60 << 10: http.StatusServiceUnavailable} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size))))
		if w.Code != want {
			t.Errorf("%d bytes: got %d, want %d", size, w.Code, want)
		}
	}
	if held := account.ledger.Held(); held != 0 {
		t.Errorf("%d bytes are held afterwards", held)
	}
}

// only returns the one connection of a group.
func (b *bounded) only(t *testing.T) *conn {
	t.Helper()
	b.Group.mu.Lock()
	defer b.Group.mu.Unlock()
	if len(b.conns) != 1 {
		t.Fatalf("%d connections", len(b.conns))
	}
	for c := range b.conns {
		return c
	}
	return nil
}

// Guards against a request that is ended for another connection because its body was incomplete when that was
// judged.
func TestRequestThatIsCompleteMeanwhileIsNotEvicted(t *testing.T) {
	reading, release := make(chan bool), make(chan bool)
	b := newBounded(t, 10, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		reading <- true
		_, _ = io.ReadAll(r.Body) // the response tells
		reading <- true
		<-release
	}))
	c := dial(t, b.address)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 6\r\n\r\nabc") // a failure shows below
	<-reading
	judged := b.only(t)
	if got := judged.state().Activity; got != connlimit.ReadingBody {
		t.Fatalf("activity %d", got)
	}
	_, _ = io.WriteString(c, "def") // a failure shows below
	<-reading
	if judged.claim(connlimit.ReadingBody) {
		t.Error("a request that is being handled was claimed")
	}
	close(release)
	if got, _ := io.ReadAll(c); !strings.HasPrefix(string(got), "HTTP/1.1 200 ") {
		t.Errorf("got %q", got)
	}
}

// Guards against a request that is handled although its connection was claimed before its body was complete.
func TestRequestThatIsCompleteAfterItsEvictionIsRefused(t *testing.T) {
	reading, claimed := make(chan bool), make(chan bool)
	errs := make(chan error, 1)
	b := newBounded(t, 10, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		reading <- true
		<-claimed
		_, err := io.ReadAll(r.Body)
		errs <- err
	}))
	c := dial(t, b.address)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc") // a failure shows below
	<-reading
	if !b.only(t).claim(connlimit.ReadingBody) {
		t.Fatal("not claimed")
	}
	_, _ = io.WriteString(c, "def") // a failure shows below
	close(claimed)
	if err := <-errs; fault.BodyError(err).Kind != fault.BodyTimeout {
		t.Errorf("the body was read: %v", err)
	}
}
