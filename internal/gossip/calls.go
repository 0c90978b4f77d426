package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/peer"
)

// HandleRecords answers a request for records with as many of the first ones as fit into
// one message. A snapshot is not divided: if it, or the first record, does not fit, the
// response is marked TooLong.
func HandleRecords(req RecordsRequest, tailFrom func(topic string, from feed.Position) feed.Tail) RecordsResponse {
	tail := tailFrom(req.Topic, req.From)
	page := firstPage(tail.Records)
	switch {
	case len(page) == len(tail.Records):
		return RecordsResponse{Records: tail.Records, Next: tail.Next, Snapshot: tail.Snapshot}
	case len(page) == 0 || tail.Snapshot:
		return RecordsResponse{Next: tail.Next, TooLong: true}
	}
	return RecordsResponse{Records: page, Next: page[len(page)-1].At.Next()}
}

// Transport calls other daemons by their peer addresses.
type Transport interface {
	// Exchange sends a message to a daemon and returns its message.
	Exchange(ctx context.Context, address string, msg Message) (Message, error)
	// FetchRecords fetches records from a daemon.
	FetchRecords(ctx context.Context, address string, req RecordsRequest) (RecordsResponse, error)
}

// PeerTransport implements Transport over peer connections.
type PeerTransport struct{ *peer.Client }

// Exchange implements Transport.
func (t PeerTransport) Exchange(ctx context.Context, address string, msg Message) (Message, error) {
	return peer.Call[Message, Message](ctx, t.Client, address, exchangeKind, msg)
}

// FetchRecords implements Transport.
func (t PeerTransport) FetchRecords(ctx context.Context, address string, req RecordsRequest) (RecordsResponse, error) {
	return peer.Call[RecordsRequest, RecordsResponse](ctx, t.Client, address, recordsKind, req)
}

const exchangeKind = "pulse"

// maxRecordsBytes bounds the size of the records in one response, in bytes. Longer ones
// are read from the log, since many daemons that fetch them from one peer at the same time
// would saturate its link.
const maxRecordsBytes = 16 << 10

// firstPage returns the longest prefix of records within maxRecordsBytes.
func firstPage(records []feed.Record) []feed.Record {
	size := 0
	for i, r := range records {
		if size += len(r.Key) + len(r.Value); size > maxRecordsBytes {
			return records[:i]
		}
	}
	return records
}

// FetchRecords fetches records from one of the live daemons for which ahead reports that
// they have read further. It is picked at random to spread the load. The error is
// feed.ErrTooLong if the records do not fit into one message.
func (m *Members) FetchRecords(ctx context.Context, topic string, from feed.Position, ahead func(target Message) bool) (feed.Tail, error) {
	candidates := slices.DeleteFunc(m.LiveMessages(), func(target Message) bool { return !ahead(target) })
	if len(candidates) == 0 {
		return feed.Tail{}, errNoPeerAhead
	}
	target := candidates[rand.IntN(len(candidates))]
	resp, err := m.transport.FetchRecords(ctx, target.Address, RecordsRequest{topic, from})
	if err != nil {
		return feed.Tail{}, err
	}
	if resp.TooLong {
		return feed.Tail{}, feed.ErrTooLong
	}
	return feed.Tail{Records: resp.Records, Next: resp.Next, Snapshot: resp.Snapshot}, nil
}

var errNoPeerAhead = errors.New("no live daemon has read further")

// RecordsRequest requests the records of a topic from a position on.
type RecordsRequest struct {
	Topic string        `cbor:"1,keyasint"`
	From  feed.Position `cbor:"2,keyasint"`
}

// RecordsResponse holds the newest record of each key, and the next position to read.
type RecordsResponse struct {
	Records []feed.Record `cbor:"1,keyasint"`
	Next    feed.Position `cbor:"2,keyasint"`
	// TooLong reports that the records do not fit and have to be read from the log.
	TooLong bool `cbor:"3,keyasint,omitempty"`
	// Snapshot reports that Records holds all keys of the topic.
	Snapshot bool `cbor:"4,keyasint,omitempty"`
}

const recordsKind = "records"
