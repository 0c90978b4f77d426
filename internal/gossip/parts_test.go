package gossip

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
)

// recordsTransport answers requests for records by a function.
type recordsTransport func(req RecordsRequest) RecordsResponse

func (t recordsTransport) Exchange(context.Context, string, Message) (Message, error) {
	return Message{}, errors.New("not used")
}

func (t recordsTransport) FetchRecords(_ context.Context, _ string, req RecordsRequest) (RecordsResponse, error) {
	return t(req), nil
}

// longRecord returns a record that does not compress into one message.
func longRecord() feed.Record {
	value := make([]byte, 5*maxRecordsBytes)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(value) // never fails
	return feed.Record{Key: "config", Value: value, At: 7}
}

func newRecordServer(records ...feed.Record) *RecordServer {
	return NewRecordServer(func(string, feed.Position, bool, int) feed.Tail {
		return feed.Tail{Records: records, Next: 8, End: 8}
	})
}

func TestLongRecordIsFetchedInParts(t *testing.T) {
	record := longRecord()
	server := newRecordServer(record)
	calls := 0
	m := newTestMembers()
	m.transport = recordsTransport(func(req RecordsRequest) RecordsResponse {
		calls++
		resp := server.Handle(req)
		if len(resp.Packed) > maxRecordsBytes {
			t.Errorf("a response has %d bytes", len(resp.Packed))
		}
		return resp
	})
	resp, err := m.fetchPage(t.Context(), "a:1", RecordsRequest{Topic: "op"})
	if err != nil || len(resp.Records) != 1 || !bytes.Equal(resp.Records[0].Value, record.Value) || resp.Next != 8 {
		t.Fatalf("%d records, next %d, err %v", len(resp.Records), resp.Next, err)
	}
	if calls < 5 {
		t.Errorf("%d calls", calls)
	}
}

func TestLongRecordIsRefusedWithoutParts(t *testing.T) {
	resp := newRecordServer(longRecord()).Handle(RecordsRequest{Topic: "op", From: 3, AcceptsPacked: true})
	if !resp.TooLong || resp.Next != 3 || len(resp.Packed) > 0 {
		t.Errorf("too long %t, next %d, %d bytes", resp.TooLong, resp.Next, len(resp.Packed))
	}
}

// Guards against a fetch that takes bytes that are not the rest of its record, or does not end.
func TestInvalidPartsAreRejected(t *testing.T) {
	first := RecordsResponse{Packed: []byte("first"), PartOf: 9, Size: 100}
	cases := map[string][]RecordsResponse{
		"no longer kept":          {first, {}},
		"of another record":       {first, {Packed: []byte("other"), PartOf: 8, Size: 100}},
		"empty":                   {first, {PartOf: 9, Size: 100}},
		"larger than the maximum": {{Packed: []byte("first"), PartOf: 9, Size: maxUnpackedBytes + 1}},
		"not packed records":      {{Packed: []byte("first"), PartOf: 9, Size: 5}},
	}
	for name, responses := range cases {
		t.Run(name, func(t *testing.T) {
			m := newTestMembers()
			m.transport = recordsTransport(func(RecordsRequest) RecordsResponse {
				resp := responses[0]
				responses = responses[1:]
				return resp
			})
			if _, err := m.fetchPage(t.Context(), "a:1", RecordsRequest{Topic: "op"}); err == nil {
				t.Error("no error")
			}
		})
	}
}

func TestOffsetOutsideOfRecordGetsNoPart(t *testing.T) {
	server := newRecordServer(longRecord())
	first := server.Handle(RecordsRequest{Topic: "op", AcceptsPacked: true, AcceptsParts: true})
	for _, offset := range []int{-1, first.Size, first.Size + 1} {
		if resp := server.Handle(RecordsRequest{PartOf: first.PartOf, Offset: offset}); resp.PartOf != 0 || len(resp.Packed) > 0 {
			t.Errorf("offset %d: %d bytes", offset, len(resp.Packed))
		}
	}
}

// Guards against many daemons that wait on the link of the first one that has a long record.
func TestTransfersOfLongRecordsAreBounded(t *testing.T) {
	const record, size = 9, 3 * maxRecordsBytes
	var l transferLimit
	now := time.Unix(50, 0)
	part := RecordsResponse{Packed: make([]byte, maxRecordsBytes), PartOf: record, Size: size}
	var ids []uint64
	for range maxTransfers {
		id, admitted := l.begin(record, now)
		if !admitted {
			t.Fatal("turned away below the limit")
		}
		ids = append(ids, id)
	}
	if _, admitted := l.begin(record, now); admitted {
		t.Error("admitted beyond the limit")
	}
	l.advance(ids[0], maxRecordsBytes, part, now)
	l.advance(ids[0], 2*maxRecordsBytes, part, now)
	if _, admitted := l.begin(record, now); !admitted {
		t.Error("turned away after a transfer has ended")
	}
	now = now.Add(partTimeout / 2)
	l.advance(ids[1], maxRecordsBytes, part, now)
	now = now.Add(partTimeout/2 + time.Millisecond)
	admittedLater := 0
	for range maxTransfers {
		if _, admitted := l.begin(record, now); admitted {
			admittedLater++
		}
	}
	if admittedLater != maxTransfers-1 {
		t.Errorf("%d transfers admitted after abandoned ones, want %d", admittedLater, maxTransfers-1)
	}
}

// Guards against compressing the same long record once for each daemon that asks for it at the same
// moment, which also pushes the other kept ones out.
func TestConcurrentRequestsShareOnePack(t *testing.T) {
	server := newRecordServer(longRecord())
	request := RecordsRequest{Topic: "op", AcceptsPacked: true, AcceptsParts: true}
	var wg sync.WaitGroup
	for range 4 * maxCachedPacks {
		wg.Go(func() { server.Handle(request) })
	}
	wg.Wait()
	if n := len(server.packed.packs); n != 1 {
		t.Errorf("%d packed responses are kept", n)
	}
}
