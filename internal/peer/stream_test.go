package peer

import (
	"context"
	"errors"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/listenqueue"
)

type numberMessage struct {
	N int `cbor:"1,keyasint"`
}

// startStreamServer serves the streams "count", which sends that many messages, and "endless", which
// sends until its context ends and then closes ended.
func startStreamServer(t *testing.T) (address string, ended chan struct{}) {
	s, address := startServer(t)
	ended = make(chan struct{})
	HandleStream(s, "count", func(_ context.Context, _ string, req numberMessage, send func(any) error) {
		for i := range req.N {
			if send(numberMessage{i}) != nil {
				return
			}
		}
	})
	HandleStream(s, "endless", func(ctx context.Context, _ string, _ numberMessage, send func(any) error) {
		defer close(ended)
		for send(numberMessage{}) == nil {
		}
		<-ctx.Done()
	})
	return address, ended
}

func TestStreamDeliversMessagesInOrderOnReusedConnection(t *testing.T) {
	address, _ := startStreamServer(t)
	client := NewClient("d1", "right-key", nil)
	defer client.Close()
	for range 3 {
		stream, sent, err := client.OpenStream(t.Context(), address, "count", numberMessage{5})
		if err != nil || !sent {
			t.Fatal(sent, err)
		}
		for want := range 5 {
			var got numberMessage
			if more, err := stream.Receive(t.Context(), &got); err != nil || !more || got.N != want {
				t.Fatalf("received %v, %t, %v, want %d", got, more, err, want)
			}
		}
		if more, err := stream.Receive(t.Context(), &numberMessage{}); err != nil || more {
			t.Fatalf("after the last message: %t, %v", more, err)
		}
		stream.Close()
		if n := len(client.streams.idle[address]); n != 1 {
			t.Fatalf("%d idle connections", n)
		}
	}
}

// Guards against a request that goes on at a peer after its client has closed the stream.
func TestClosedStreamEndsItsHandler(t *testing.T) {
	address, ended := startStreamServer(t)
	client := NewClient("d1", "right-key", nil)
	defer client.Close()
	stream, _, err := client.OpenStream(t.Context(), address, "endless", numberMessage{})
	if err != nil {
		t.Fatal(err)
	}
	stream.Close()
	select {
	case <-ended:
	case <-t.Context().Done():
		t.Fatal("the handler goes on")
	}
	if len(client.streams.idle) != 0 {
		t.Error("the connection of an incomplete stream is reused")
	}
}

// Guards against requests that count as unknown although the peer did not handle or receive them.
func TestRefusedAndUnsentStreamsAreToldApart(t *testing.T) {
	address, _ := startStreamServer(t)
	client := NewClient("d1", "right-key", nil)
	defer client.Close()
	stream, _, err := client.OpenStream(t.Context(), address, "unknown kind", numberMessage{})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if _, err := stream.Receive(t.Context(), &numberMessage{}); !errors.Is(err, ErrRefused) {
		t.Errorf("an unknown kind: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, sent, err := client.OpenStream(ctx, "127.0.0.1:1", "count", numberMessage{}); err == nil || sent {
		t.Errorf("an address where nobody listens: sent %t, %v", sent, err)
	}
}

// Guards against requests that count as sent although the connection for them was reset in the queue of a
// peer that ends.
func TestStreamResetInQueueIsUnsent(t *testing.T) {
	l, err := listenqueue.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := NewClient("d1", "right-key", nil)
	defer client.Close()
	failed := make(chan struct{})
	go func() {
		defer close(failed)
		if _, sent, err := client.OpenStream(t.Context(), l.Addr().String(), "count", numberMessage{}); err == nil || sent {
			t.Errorf("sent %t, %v", sent, err)
		}
	}()
	for waiting := false; !waiting; runtime.Gosched() {
		if waiting, err = listenqueue.Readable(l.(*net.TCPListener)); err != nil {
			t.Fatal(err)
		}
	}
	_ = l.Close() // resets the connection
	<-failed
}

// Guards against a panic in the handler of one request that ends the daemon with all others, and is
// reported as if the request had not been handled.
func TestPanicOfHandlerEndsOnlyItsRequest(t *testing.T) {
	s, address := startServer(t)
	kinds := make(chan string, 2)
	s.OnPanic = func(kind string, _ any) { kinds <- kind }
	Handle(s, "panic", func(context.Context, string, numberMessage) (numberMessage, error) { panic("broken") })
	HandleStream(s, "panic stream", func(_ context.Context, _ string, _ numberMessage, send func(any) error) {
		_ = send(numberMessage{7}) // fails only if the client has disconnected
		panic("broken")
	})
	client := NewClient("d1", "right-key", nil)
	defer client.Close()
	if _, err := Call[numberMessage, numberMessage](t.Context(), client, address, "panic", numberMessage{}); err == nil || <-kinds != "panic" {
		t.Errorf("call: %v", err)
	}
	stream, _, err := client.OpenStream(t.Context(), address, "panic stream", numberMessage{})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var got numberMessage
	if more, err := stream.Receive(t.Context(), &got); err != nil || !more || got.N != 7 {
		t.Errorf("before the panic: %v, %t, %v", got, more, err)
	}
	if more, err := stream.Receive(t.Context(), &got); err != nil || more || <-kinds != "panic stream" {
		t.Errorf("after the panic: %t, %v", more, err)
	}
	if resp, err := Call[echoMessage, echoMessage](t.Context(), client, address, "echo", echoMessage{"x"}); err != nil || resp.Text != "d1:x" {
		t.Errorf("later call: %v, %v", resp, err)
	}
}
