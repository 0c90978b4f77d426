package peer

import (
	"context"
	"crypto/sha1"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
	"github.com/damaskrudder/damaskrudder/internal/standin"
)

type echoMessage struct {
	Text string `cbor:"1,keyasint"`
}

func startServer(t *testing.T) (*Server, string) {
	t.Helper()
	s := NewServer("right-key")
	Handle(s, "echo", func(_ context.Context, from string, req echoMessage) (echoMessage, error) {
		if req.Text == "fail" {
			return req, fault.New(fault.BadRequest, "refused")
		}
		return echoMessage{from + ":" + req.Text}, nil
	})
	httpServer := httptest.NewServer(s)
	t.Cleanup(httpServer.Close)
	return s, strings.TrimPrefix(httpServer.URL, "http://")
}

func TestCall(t *testing.T) {
	s, address := startServer(t)
	client := NewClient("d1", "right-key", nil)
	defer client.Close()
	for range 3 {
		if resp, err := Call[echoMessage, echoMessage](t.Context(), client, address, "echo", echoMessage{"x"}); err != nil || resp.Text != "d1:x" {
			t.Fatal(resp, err)
		}
	}
	if _, err := Call[echoMessage, echoMessage](t.Context(), client, address, "echo", echoMessage{"fail"}); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Fatal(err)
	}
	if _, err := Call[echoMessage, echoMessage](t.Context(), client, address, "none", echoMessage{}); err == nil {
		t.Fatal("an unknown call was answered")
	}
	refused := 0
	s.OnRefused = func() { refused++ }
	unauthorized := NewClient("d1", "wrong-key", nil)
	if _, err := Call[echoMessage, echoMessage](t.Context(), unauthorized, address, "echo", echoMessage{"x"}); err == nil || refused != 1 {
		t.Fatalf("a wrong key was accepted: %v, %d refused", err, refused)
	}
	if _, ok := verify("right-key", sign("right-key", "d1", time.Now().Add(-2*maxClockSkew)), time.Now()); ok {
		t.Fatal("an expired signature was accepted")
	}
}

// A call that times out must close its connection, or all later calls would hang on a
// connection that went silent.
func TestTimeoutReplacesConnection(t *testing.T) {
	_, address := startServer(t)
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	silent := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			in, err := proxy.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(out, in) }()
			go func() {
				buf := make([]byte, 4096)
				for {
					k, err := out.Read(buf)
					if err != nil {
						return
					}
					if n == 0 {
						select {
						case <-silent:
							continue
						default:
						}
					}
					_, _ = in.Write(buf[:k])
				}
			}()
		}
	}()
	client := NewClient("d1", "right-key", nil)
	defer client.Close()
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := Call[echoMessage, echoMessage](ctx, client, proxy.Addr().String(), "echo", echoMessage{"x"})
		return err
	}
	if err := call(time.Minute); err != nil {
		t.Fatal(err)
	}
	close(silent)
	if call(50*time.Millisecond) == nil {
		t.Fatal("the silent connection returned a response")
	}
	if err := call(time.Minute); err != nil {
		t.Fatalf("the next call: %v", err)
	}
}

func FuzzEnvelope(f *testing.F) {
	s := NewServer("k")
	Handle(s, "heartbeat", func(_ context.Context, _ string, req Heartbeat) (Heartbeat, error) { return req, nil })
	f.Add([]byte{0xa0}, "heartbeat")
	f.Add([]byte{0x9f, 0xff}, "none")
	f.Fuzz(func(t *testing.T, body []byte, kind string) {
		if len(s.dispatch(context.Background(), "d", envelope{Seq: 1, Kind: kind, Body: body})) == 0 {
			t.Fatal("no response")
		}
	})
}

func TestUnsignedRequestIsRefused(t *testing.T) {
	_, address := startServer(t)
	resp, err := http.Get("http://" + address + "/peer")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized {
		t.Fatal(resp.Status)
	}
}

// Guards against a connection to a daemon that is upgraded by a response with a malformed head.
func TestUpgradeByAMalformedHeadIsRefused(t *testing.T) {
	for name, fields := range map[string]string{"sound": "A: b", "blank in a name": "A B: c", "blank before a colon": "A : b"} {
		server := &standin.RawServer{Answer: func(r *http.Request) string {
			accept := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"))
			return "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: " + base64.StdEncoding.EncodeToString(accept[:]) + "\r\n" + fields + "\r\n\r\n"
		}}
		address, err := server.Start(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		client := NewClient("d1", "k", nil)
		if ws, err := client.dial(t.Context(), address); (err == nil) != (name == "sound") {
			t.Errorf("%s: %v", name, err)
		} else if err == nil {
			_ = ws.CloseNow()
		}
	}
}
