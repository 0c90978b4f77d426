package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

func serve(t *testing.T) (*Server, string) {
	t.Helper()
	s := NewServer("right-key")
	Handle(s, "echo", func(_ context.Context, from string, q echo) (echo, error) {
		if q.Text == "fail" {
			return q, fault.New(fault.BadRequest, "refused")
		}
		return echo{from + ":" + q.Text}, nil
	})
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return s, strings.TrimPrefix(h.URL, "http://")
}

func TestCallAndRefusal(t *testing.T) {
	s, address := serve(t)
	l := NewClient("d1", "right-key", nil)
	defer l.Close()
	for range 3 {
		if a, err := Call[echo, echo](t.Context(), l, address, "echo", echo{"x"}); err != nil || a.Text != "d1:x" {
			t.Fatal(a, err)
		}
	}
	if _, err := Call[echo, echo](t.Context(), l, address, "echo", echo{"fail"}); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Fatal(err)
	}
	if _, err := Call[echo, echo](t.Context(), l, address, "none", echo{}); err == nil {
		t.Fatal("an unknown call was answered")
	}
	refused := 0
	s.OnRefused = func() { refused++ }
	stranger := NewClient("d1", "wrong-key", nil)
	if _, err := Call[echo, echo](t.Context(), stranger, address, "echo", echo{"x"}); err == nil || refused != 1 {
		t.Fatalf("a wrong key got in: %v, %d refused", err, refused)
	}
	if _, ok := verify("right-key", sign("right-key", "d1", time.Now().Add(-2*authSkew)), time.Now()); ok {
		t.Fatal("an old signature counts")
	}
}

// Symptom: calls to a healthy daemon fail for ever.
// Sequence: something between the two ends forgets an open connection: writes
// succeed and nothing comes back; new connections work.
// Cause: a call that times out must close its connection, so that the next one
// opens a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, address := serve(t)
	gate, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer gate.Close()
	silence := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			in, err := gate.Accept()
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
						case <-silence:
							continue
						default:
						}
					}
					_, _ = in.Write(buf[:k])
				}
			}()
		}
	}()
	l := NewClient("d1", "right-key", nil)
	defer l.Close()
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := Call[echo, echo](ctx, l, gate.Addr().String(), "echo", echo{"x"})
		return err
	}
	if err := call(time.Minute); err != nil {
		t.Fatal(err)
	}
	close(silence)
	if call(50*time.Millisecond) == nil {
		t.Fatal("the silent connection answered")
	}
	if err := call(time.Minute); err != nil {
		t.Fatalf("the next call: %v", err)
	}
}

func FuzzEnvelope(f *testing.F) {
	s := NewServer("k")
	Handle(s, "heartbeat", func(_ context.Context, _ string, q Heartbeat) (Heartbeat, error) { return q, nil })
	f.Add([]byte{0xa0}, "heartbeat")
	f.Add([]byte{0x9f, 0xff}, "none")
	f.Fuzz(func(t *testing.T, body []byte, kind string) {
		if len(s.answer(context.Background(), "d", envelope{Seq: 1, Kind: kind, Body: body})) == 0 {
			t.Fatal("no answer")
		}
	})
}

func TestPlainHTTPIsRefused(t *testing.T) {
	_, address := serve(t)
	resp, err := http.Get("http://" + address + "/peer")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized {
		t.Fatal(resp.Status)
	}
}
