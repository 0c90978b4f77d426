package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/peer"
)

// HandleRecords returns the records that a daemon asks for, or as many of the first of them as
// one message takes. A first record that is too long, and all keys there are, are not divided.
func HandleRecords(q RecordsRequest, since func(topic string, from feed.Position) feed.Tail) RecordsResponse {
	t := since(q.Topic, q.From)
	page := firstPage(t.Records)
	switch {
	case len(page) == len(t.Records):
		return RecordsResponse{Records: t.Records, Next: t.Next, Whole: t.Snapshot}
	case len(page) == 0 || t.Snapshot:
		return RecordsResponse{Next: t.Next, TooLong: true}
	}
	return RecordsResponse{Records: page, Next: page[len(page)-1].At.Next()}
}

// Transport calls other daemons at their addresses.
type Transport interface {
	// Pulse tells a daemon this one's pulse and returns its own.
	Pulse(ctx context.Context, address string, p Message) (Message, error)
	// Records asks a daemon for records.
	Records(ctx context.Context, address string, q RecordsRequest) (RecordsResponse, error)
}

// PeerTransport calls daemons over peer links. It implements Caller.
type PeerTransport struct{ *peer.Client }

// Pulse implements Caller.
func (l PeerTransport) Pulse(ctx context.Context, address string, p Message) (Message, error) {
	return peer.Call[Message, Message](ctx, l.Client, address, kind, p)
}

// Records implements Caller.
func (l PeerTransport) Records(ctx context.Context, address string, q RecordsRequest) (RecordsResponse, error) {
	return peer.Call[RecordsRequest, RecordsResponse](ctx, l.Client, address, recordsKind, q)
}

const kind = "pulse"

// maxRecordBytes bounds, in bytes, the records that a daemon passes on. A configuration of
// some hundred routes is 250 KB: fifty daemons that fetch it at once from one whose
// link has 10 Mbit/s wait ten seconds. The log serves all in a fraction of one.
const maxRecordBytes = 16 << 10

// firstPage returns the first records that one message takes.
func firstPage(records []feed.Record) []feed.Record {
	size := 0
	for i, r := range records {
		if size += len(r.Key) + len(r.Value); size > maxRecordBytes {
			return records[:i]
		}
	}
	return records
}

// FetchRecords asks one of the daemons that live and have read further for records. Which
// one is drawn, so that those that are behind do not all ask the same. The error is
// feed.ErrTooLong if the records are longer than daemons pass on.
func (m *Members) FetchRecords(ctx context.Context, topic string, from feed.Position, ahead func(p Message) bool) (feed.Tail, error) {
	list := slices.DeleteFunc(m.Alive(), func(p Message) bool { return !ahead(p) })
	if len(list) == 0 {
		return feed.Tail{}, errNobody
	}
	p := list[rand.IntN(len(list))]
	a, err := m.peers.Records(ctx, p.Address, RecordsRequest{topic, from})
	if err != nil {
		return feed.Tail{}, err
	}
	if a.TooLong {
		return feed.Tail{}, feed.ErrTooLong
	}
	return feed.Tail{Records: a.Records, Next: a.Next, Snapshot: a.Whole}, nil
}

var errNobody = errors.New("no daemon that lives has read further")

// RecordsRequest asks for the records of a topic from a position on.
type RecordsRequest struct {
	Topic string        `cbor:"1,keyasint"`
	From  feed.Position `cbor:"2,keyasint"`
}

// RecordsResponse is the answer: the newest of each key, and how far the daemon has read.
type RecordsResponse struct {
	Records []feed.Record `cbor:"1,keyasint"`
	Next    feed.Position `cbor:"2,keyasint"`
	// TooLong says that the records are left out: the log has to be read.
	TooLong bool `cbor:"3,keyasint,omitempty"`
	// Whole says that these are all keys there are.
	Whole bool `cbor:"4,keyasint,omitempty"`
}

const recordsKind = "records"
