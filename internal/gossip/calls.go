package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/peer"
)

// TailSource returns records of a topic for another daemon, see feed.Follower.TailPage.
type TailSource func(topic string, from feed.Position, snapshot bool, maxBytes int) feed.Tail

// HandleRecords answers a request for records with as many of the first ones as fit into
// one message. If the first record does not fit, even compressed, the response is marked TooLong.
func HandleRecords(req RecordsRequest, source TailSource) RecordsResponse {
	tail := source(req.Topic, req.From, req.Snapshot, maxRecordsBytes)
	if tail.TooLong && req.AcceptsPacked {
		tail = source(req.Topic, req.From, req.Snapshot, maxUnpackedBytes/2)
	}
	resp := RecordsResponse{Next: tail.Next, End: tail.End, Snapshot: tail.Snapshot, More: tail.More, TooLong: tail.TooLong}
	if req.AcceptsPacked && recordsSize(tail.Records) >= minPackedBytes {
		resp.Packed = packRecords(tail.Records)
	}
	switch {
	case len(resp.Packed) > maxRecordsBytes:
		return RecordsResponse{Next: req.From, TooLong: true}
	case resp.Packed == nil:
		resp.Records = tail.Records
	}
	return resp
}

// recordsSize returns the size of records in bytes.
func recordsSize(records []feed.Record) (size int) {
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
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

// maxRecordsBytes bounds the size of the records in one response, in bytes, compressed if the
// requester accepts that. Longer ones are read from the log, since many daemons that fetch them
// from one peer at the same time would saturate its link.
const maxRecordsBytes = 16 << 10

// FetchRecords fetches records from one of the live daemons for which ahead reports that
// they have read further. It is picked at random to spread the load, and in the own failure
// domain if possible, where traffic is cheap. The error is feed.ErrTooLong if the records do
// not fit into one message.
func (m *Members) FetchRecords(ctx context.Context, topic string, from feed.Position, ahead func(target Message) bool) (feed.Tail, error) {
	address, found := m.pickSource(ahead)
	if !found {
		return feed.Tail{}, errNoPeerAhead
	}
	resp, err := m.fetchPage(ctx, address, RecordsRequest{Topic: topic, From: from})
	if err != nil || !resp.Snapshot || !resp.More {
		return resp.tail(), err
	}
	return m.fetchRemaining(ctx, address, topic, resp)
}

// FetchSnapshot fetches all records of a topic from one of the live daemons that loaded accepts.
func (m *Members) FetchSnapshot(ctx context.Context, topic string, loaded func(target Message) bool) (feed.Tail, error) {
	address, found := m.pickSource(loaded)
	if !found {
		return feed.Tail{}, errNoPeerAhead
	}
	resp, err := m.fetchPage(ctx, address, RecordsRequest{Topic: topic, Snapshot: true})
	if err != nil {
		return feed.Tail{}, err
	}
	if !resp.Snapshot {
		return feed.Tail{}, errNoSnapshot
	}
	return m.fetchRemaining(ctx, address, topic, resp)
}

// fetchRemaining fetches the parts of a snapshot after the first one. The snapshot ends where the
// topic ended at the first part, so that later changes are fetched again.
func (m *Members) fetchRemaining(ctx context.Context, address, topic string, first RecordsResponse) (feed.Tail, error) {
	all, last := first.Records, first
	for last.More {
		resp, err := m.fetchPage(ctx, address, RecordsRequest{Topic: topic, From: last.Next, Snapshot: true})
		switch {
		case err != nil:
			return feed.Tail{}, err
		case !resp.Snapshot || resp.End.Era() != first.End.Era():
			return feed.Tail{}, errNoSnapshot
		}
		all, last = append(all, resp.Records...), resp
	}
	return feed.Tail{Records: all, Next: first.End, End: first.End, Snapshot: true}, nil
}

// fetchPage requests records from a daemon, and unpacks them.
func (m *Members) fetchPage(ctx context.Context, address string, req RecordsRequest) (RecordsResponse, error) {
	req.AcceptsPacked = true
	resp, err := m.transport.FetchRecords(ctx, address, req)
	switch {
	case err != nil:
		return RecordsResponse{}, err
	case resp.TooLong:
		return RecordsResponse{}, feed.ErrTooLong
	case len(resp.Packed) > 0:
		resp.Records, err = unpackRecords(resp.Packed)
	}
	return resp, err
}

// pickSource returns the address of a live daemon that ahead accepts.
func (m *Members) pickSource(ahead func(target Message) bool) (address string, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSilent(time.Now())
	domain := m.table.Self().FailureDomain
	var local, remote sample
	for address, other := range m.members {
		switch {
		case !m.live.Contains(address) || other.lastCallFailed || !ahead(other.latest):
		case other.latest.FailureDomain == domain:
			local.add(address)
		default:
			remote.add(address)
		}
	}
	if local.seen == 0 {
		local = remote
	}
	return local.picked, local.seen > 0
}

// sample picks one of the added addresses, each with the same probability.
type sample struct {
	picked string
	seen   int
}

func (s *sample) add(address string) {
	if s.seen++; rand.IntN(s.seen) == 0 {
		s.picked = address
	}
}

var (
	errNoPeerAhead = errors.New("no live daemon has read further")
	errNoSnapshot  = errors.New("the daemon has no snapshot of the topic")
)

// RecordsRequest requests the records of a topic from a position on.
type RecordsRequest struct {
	Topic string        `cbor:"1,keyasint"`
	From  feed.Position `cbor:"2,keyasint"`
	// Snapshot requests all records in parts, of which From is the position of the next.
	Snapshot bool `cbor:"3,keyasint,omitempty"`
	// AcceptsPacked reports that the sender reads RecordsResponse.Packed.
	AcceptsPacked bool `cbor:"4,keyasint,omitempty"`
}

// RecordsResponse holds the newest record of each key, and the next position to read.
type RecordsResponse struct {
	Records []feed.Record `cbor:"1,keyasint"`
	Next    feed.Position `cbor:"2,keyasint"`
	// TooLong reports that the records do not fit and have to be read from the log.
	TooLong bool `cbor:"3,keyasint,omitempty"`
	// Snapshot reports that the records are all keys of the topic, or a part of them.
	Snapshot bool `cbor:"4,keyasint,omitempty"`
	// More reports that further records follow, up to the position End.
	More bool          `cbor:"5,keyasint,omitempty"`
	End  feed.Position `cbor:"6,keyasint,omitempty"`
	// Packed replaces Records: see packRecords.
	Packed []byte `cbor:"7,keyasint,omitempty"`
}

func (r RecordsResponse) tail() feed.Tail {
	return feed.Tail{Records: r.Records, Next: r.Next, End: r.End, Snapshot: r.Snapshot, More: r.More}
}

const recordsKind = "records"
