package hostile

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/standin"
)

const (
	// headBytes and bodyBytes are the limits of clients in the configuration.
	headBytes = 16 << 10
	bodyBytes = 4 << 20
	// streamEvents and eventBytes are the events of a stream: more than the sockets on the way hold.
	streamEvents = 24
	eventBytes   = 16 << 10
)

var configuration = fmt.Sprintf(`{"version":3,"routes":[
 {"name":"talk","host":"h.example","path_prefix":"/talk/","kind":"streaming","timeout_ms":20000,"latency_target_ms":10000,"priority":1,"service":"app","attempts":1,"gap_target_ms":10000},
 {"name":"ask","host":"h.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":20000,"latency_target_ms":10000,"priority":1,"service":"lm","attempts":2,"gap_target_ms":10000},
 {"name":"look","host":"h.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":10000,"latency_target_ms":3000,"priority":2,"service":"app","attempts":2}],
 "services":[{"name":"app","health_path":"/healthz","max_conns":2000},{"name":"lm","health_path":"/healthz","max_conns":2000,"engine":{"slots":1000,"kv_capacity":10000000,"models":[{"name":"small","cost":0.02}]}}],
 "limits":{"header_bytes":%d,"body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"acme","keys":["k1"]}]}`, headBytes, bodyBytes)

const settingsFormat = `node_name = "d1"
zone = "z1"
seeds = [%q]
[bind]
front = %q
control = %q
ready = %q
directory = %q
[limits]
memory_mb = %d
max_fds = %d
[bounds]
grace_s = 8
budget_ratio = 0.9
budget_window_s = 10
budget_extra = 52
session_s = 5
ttl_max_s = 5
[platform]
addr = %q
`

// platformDaemon is a daemon of the users' platform with its store and its servers.
type platformDaemon struct {
	*process
	store *standin.MetadataStore
	// settings is the path of the settings file.
	settings string

	callers, control, ready, directory, metrics string
}

func startPlatformDaemon(t *testing.T) *platformDaemon {
	t.Helper()
	store := standin.NewMetadataStore()
	store.Put("keyed.op", "config", []byte(configuration))
	for _, service := range []string{"app", "lm"} {
		for i := range 4 {
			id := fmt.Sprint(service, i)
			server := serve(t, backendServer(id))
			store.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":"z1","version":"v1","slots":1000,"state":"ready","sequence":1}`, service, server))
		}
	}
	a := freeAddresses(t, 5)
	d := &platformDaemon{store: store, callers: a[0], control: a[1], ready: a[2], directory: a[3], metrics: a[4]}
	file := filepath.Join(t.TempDir(), "node.toml")
	text := fmt.Sprintf(settingsFormat, d.control, d.callers, d.control, d.ready, d.directory, memoryMB, maxFiles, serve(t, store))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d.settings = file
	d.start(t)
	return d
}

// start starts the process and waits until the daemon is ready.
func (d *platformDaemon) start(t *testing.T) {
	t.Helper()
	_, metricsPort, _ := net.SplitHostPort(d.metrics) // an address of freeAddresses
	d.process = startProcess(t, []string{"DAMASKRUDDER_BOOT=" + d.settings}, "platform", "-metrics-port", metricsPort)
	awaitStatus(t, "http://"+d.ready+"/-/readyz", http.StatusOK)
}

// serve serves a handler until the test ends, and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// Daemons listen below the ephemeral port range, and apart from the ports of lab/soak. Otherwise an outgoing
// connection could take a port before the daemon has it.
const (
	basePort, portCount = 30000, 2700
	// portsPerProcess is coprime with portCount, so that test processes beside each other use other ports.
	portsPerProcess = 83
)

// portIndex is the position of the search for a free port.
var portIndex = os.Getpid() * portsPerProcess

// freeAddresses returns loopback addresses whose ports were free when checked.
func freeAddresses(t *testing.T, n int) (out []string) {
	t.Helper()
	for tries := 0; len(out) < n; tries++ {
		portIndex++
		l, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(basePort+portIndex%portCount)))
		switch {
		case err == nil:
			defer func() { _ = l.Close() }() // only checks that the port is free
			out = append(out, l.Addr().String())
		case tries > portCount:
			t.Fatalf("no free port: %v", err)
		}
	}
	return out
}

// backendServer is a server that answers calls at once, with a long stream below /talk/ and a short one
// below /ask/.
func backendServer(id string) http.Handler {
	event := strings.Repeat("x", eventBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("X-Damaskrudder-Attempt-Id", r.Header.Get("X-Damaskrudder-Attempt-Id"))
		h.Set("X-Damaskrudder-Instance-Id", id)
		if r.URL.Path == "/-/report" {
			_, _ = fmt.Fprint(w, `{"running":0,"waiting":0,"kv_used":0,"kv_total":10000000}`) // fails only if the daemon has left
			return
		}
		if r.URL.Path != "/healthz" && r.Header.Get("X-Damaskrudder-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		h.Set("X-Damaskrudder-Server-Seal", "seal-"+id)
		if strings.HasPrefix(r.URL.Path, "/ask/") {
			h.Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprint(w, "id: 1\ndata: x\n\n") // fails only if the daemon has left
			return
		}
		if !strings.HasPrefix(r.URL.Path, "/talk/") {
			_, _ = fmt.Fprintf(w, "answer to %s", r.Header.Get("X-Damaskrudder-Attempt-Id")) // fails only if the daemon has left
			return
		}
		h.Set("Content-Type", "text/event-stream")
		for n := range streamEvents {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, event); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush() // the next write reports the error
		}
	})
}

// requestHead is the head of a request to the daemon, without its last empty line.
func requestHead(method, path string, id int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Damaskrudder-Attempt-Id: r%d\r\nX-Damaskrudder-Deadline-Ms: 20000\r\nAuthorization: Bearer k1\r\n", method, path, id)
}
