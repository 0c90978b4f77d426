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

// RecordServer answers requests for records with as many of the first ones as fit into one message.
// A first record that does not fit is sent in parts. It is safe for concurrent use.
type RecordServer struct {
	source    TailSource
	packed    packCache
	transfers transferLimit
}

// NewRecordServer returns a server of records from a source.
func NewRecordServer(source TailSource) *RecordServer { return &RecordServer{source: source} }

// Handle answers a request.
func (s *RecordServer) Handle(req RecordsRequest) RecordsResponse {
	if req.PartOf != 0 {
		resp := s.packed.part(req.PartOf, req.Offset)
		s.transfers.advance(req.Transfer, req.Offset, resp, time.Now())
		return resp
	}
	tail := s.source(req.Topic, req.From, req.Snapshot, maxRecordsBytes)
	resp := RecordsResponse{Next: tail.Next, End: tail.End, Snapshot: tail.Snapshot, More: tail.More}
	if !req.AcceptsPacked || recordsSize(tail.Records) < minPackedBytes {
		resp.Records = tail.Records
		return resp
	}
	packed := s.packed.pack(req.Topic, tail)
	switch {
	case packed == nil:
		resp.Records = tail.Records
	case len(packed.data) <= maxRecordsBytes:
		resp.Packed = packed.data
	case !req.AcceptsParts:
		return RecordsResponse{Next: req.From, TooLong: true}
	default:
		transfer, admitted := s.transfers.begin(packed.id, time.Now())
		if !admitted {
			return RecordsResponse{Next: req.From, Busy: true}
		}
		resp.Transfer = transfer
		resp.Packed, resp.PartOf, resp.Size = packed.data[:maxRecordsBytes:maxRecordsBytes], packed.id, len(packed.data)
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

const (
	// maxRecordsBytes bounds the size of the records in one response, in bytes, compressed if the
	// requester accepts that. Longer ones are sent in parts, so that each arrives within its timeout
	// over a slow link.
	maxRecordsBytes = 16 << 10
	// partTimeout bounds the call for one response.
	partTimeout = 900 * time.Millisecond
)

// FetchRecords fetches records from one of the live daemons for which ahead reports that
// they have read further. It is picked at random to spread the load, if possible among those that
// did not fail to send records lately and in the own failure domain, where traffic is cheap. The error is feed.ErrTooLong if the daemon does not
// send long records in parts.
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

// fetchPage requests records from a daemon, with all parts, and unpacks them.
func (m *Members) fetchPage(ctx context.Context, address string, req RecordsRequest) (resp RecordsResponse, err error) {
	defer func() {
		if err != nil {
			m.recordFetchFailure(address)
		}
	}()
	req.AcceptsPacked, req.AcceptsParts = true, true
	resp, err = m.fetchPart(ctx, address, req)
	if err != nil {
		return RecordsResponse{}, err
	}
	switch {
	case resp.TooLong:
		return RecordsResponse{}, feed.ErrTooLong
	case resp.Busy:
		return RecordsResponse{}, errBusy
	}
	if resp.PartOf != 0 {
		resp.Packed, err = m.fetchParts(ctx, address, req.Topic, resp)
	}
	if err == nil && len(resp.Packed) > 0 {
		resp.Records, err = unpackRecords(resp.Packed)
	}
	return resp, err
}

// fetchParts fetches the parts of a packed response after the first one, and returns all of it.
func (m *Members) fetchParts(ctx context.Context, address, topic string, first RecordsResponse) ([]byte, error) {
	if first.Size > maxUnpackedBytes {
		return nil, errInvalidPart
	}
	packed := first.Packed
	for len(packed) < first.Size {
		resp, err := m.fetchPart(ctx, address, RecordsRequest{Topic: topic, PartOf: first.PartOf, Offset: len(packed), Transfer: first.Transfer})
		if err != nil {
			return nil, err
		}
		if resp.PartOf != first.PartOf || len(resp.Packed) == 0 {
			return nil, errInvalidPart
		}
		packed = append(packed, resp.Packed...)
	}
	return packed, nil
}

// fetchPart makes one call for records.
func (m *Members) fetchPart(ctx context.Context, address string, req RecordsRequest) (RecordsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	return m.transport.FetchRecords(ctx, address, req)
}

// fetchRetryDelay is the time in which a daemon that did not send records is asked only if there is
// no other one.
const fetchRetryDelay = 500 * time.Millisecond

// pickSource returns the address of a live daemon that ahead accepts.
func (m *Members) pickSource(ahead func(target Message) bool) (address string, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.expireSilent(now)
	domain := m.table.Self().FailureDomain
	var local, remote, failed sample
	for address, other := range m.members {
		switch {
		case !m.live.Contains(address) || other.lastCallFailed || !ahead(other.latest):
		case now.Sub(other.fetchFailedAt) < fetchRetryDelay:
			failed.add(address)
		case other.latest.FailureDomain == domain:
			local.add(address)
		default:
			remote.add(address)
		}
	}
	for _, s := range []sample{local, remote, failed} {
		if s.seen > 0 {
			return s.picked, true
		}
	}
	return "", false
}

// recordFetchFailure records that a daemon did not send records.
func (m *Members) recordFetchFailure(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if other := m.members[address]; other != nil {
		other.fetchFailedAt = time.Now()
	}
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
	errBusy        = errors.New("the daemon sends long records to others")
	errInvalidPart = errors.New("the daemon does not have the rest of a long record")
)

// RecordsRequest requests the records of a topic from a position on.
type RecordsRequest struct {
	Topic string        `cbor:"1,keyasint"`
	From  feed.Position `cbor:"2,keyasint"`
	// Snapshot requests all records in parts, of which From is the position of the next.
	Snapshot bool `cbor:"3,keyasint,omitempty"`
	// AcceptsPacked reports that the sender reads RecordsResponse.Packed.
	AcceptsPacked bool `cbor:"4,keyasint,omitempty"`
	// AcceptsParts reports that the sender reads RecordsResponse.PartOf.
	AcceptsParts bool `cbor:"5,keyasint,omitempty"`
	// PartOf requests the part of a packed response from the byte Offset on.
	PartOf uint64 `cbor:"6,keyasint,omitempty"`
	Offset int    `cbor:"7,keyasint,omitempty"`
	// Transfer is that of the response with the first part.
	Transfer uint64 `cbor:"8,keyasint,omitempty"`
}

// RecordsResponse holds the newest record of each key, and the next position to read.
type RecordsResponse struct {
	Records []feed.Record `cbor:"1,keyasint"`
	Next    feed.Position `cbor:"2,keyasint"`
	// TooLong reports that the records do not fit, and that the requester does not accept parts.
	TooLong bool `cbor:"3,keyasint,omitempty"`
	// Snapshot reports that the records are all keys of the topic, or a part of them.
	Snapshot bool `cbor:"4,keyasint,omitempty"`
	// More reports that further records follow, up to the position End.
	More bool          `cbor:"5,keyasint,omitempty"`
	End  feed.Position `cbor:"6,keyasint,omitempty"`
	// Packed replaces Records: see packRecords.
	Packed []byte `cbor:"7,keyasint,omitempty"`
	// PartOf identifies a packed response of Size bytes of which Packed is a part; zero if Packed is
	// all of it.
	PartOf uint64 `cbor:"8,keyasint,omitempty"`
	Size   int    `cbor:"9,keyasint,omitempty"`
	// Transfer identifies the transfer of the parts to this requester.
	Transfer uint64 `cbor:"10,keyasint,omitempty"`
	// Busy reports that the daemon sends long records to as many others as it may.
	Busy bool `cbor:"11,keyasint,omitempty"`
}

func (r RecordsResponse) tail() feed.Tail {
	return feed.Tail{Records: r.Records, Next: r.Next, End: r.End, Snapshot: r.Snapshot, More: r.More}
}

const recordsKind = "records"
