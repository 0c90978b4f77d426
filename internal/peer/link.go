package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/damaskrudder/damaskrudder/internal/fault"
)

const (
	// maxMessage bounds one message in bytes.
	maxMessage = 8 << 20
	// authSkew bounds the age of a peer's signature.
	authSkew = 60 * time.Second
	// path is where daemons accept each other.
	path = "/peer"
	// idleLimit closes a link that was not used for so long. Probes go through
	// the whole fleet; keeping a link to everybody would cost hundreds of
	// sockets on both sides for one message in minutes.
	idleLimit = 30 * time.Second
)

type envelope struct {
	Seq   uint64          `cbor:"1,keyasint"`
	Kind  string          `cbor:"2,keyasint,omitempty"`
	Error string          `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
}

// decoder bounds what a peer may make us allocate.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func sign(key, id string, now time.Time) string {
	stamp := strconv.FormatInt(now.Unix(), 10)
	m := hmac.New(sha256.New, []byte(key))
	m.Write([]byte(id + "\n" + stamp))
	return id + " " + stamp + " " + hex.EncodeToString(m.Sum(nil))
}

// verify returns who signed. Without a key the network itself is trusted, and
// only the name is read: a signature's time would then lock out daemons whose
// clocks jumped, and guard nothing.
func verify(key, header string, now time.Time) (string, bool) {
	parts := strings.Split(header, " ")
	if len(parts) != 3 {
		return "", false
	}
	if key == "" {
		return parts[0], true
	}
	stamp, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || now.Sub(time.Unix(stamp, 0)).Abs() > authSkew {
		return "", false
	}
	want := sign(key, parts[0], time.Unix(stamp, 0))
	return parts[0], hmac.Equal([]byte(want), []byte(header))
}

// Client holds the outgoing connections of one daemon, one for each peer address.
type Client struct {
	self, key string
	tls       *tls.Config
	mu        sync.Mutex
	links     map[string]*link
	// OnBytes counts what was sent and received, for the control budget.
	OnBytes func(n int)
}

// NewClient returns links for a daemon that knows the peer key. A nil tls config
// uses plain connections.
func NewClient(self, key string, t *tls.Config) *Client {
	return &Client{self: self, key: key, tls: t, links: map[string]*link{}, OnBytes: func(int) {}}
}

type link struct {
	conn    *websocket.Conn
	writing sync.Mutex
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan envelope
	broken  bool
	idle    *time.Timer
}

// Call sends a message to a peer and decodes its answer. A call that times out
// closes the connection: open connections can go silent for good while new ones
// work, and the next call would hang on the same one.
func Call[Q, A any](ctx context.Context, l *Client, address, kind string, q Q) (A, error) {
	var answer A
	body, err := cbor.Marshal(q)
	if err != nil {
		return answer, oops.In("peer").Wrapf(err, "encode %s", kind)
	}
	c, err := l.open(ctx, address)
	if err != nil {
		return answer, err
	}
	reply, err := c.call(ctx, l, kind, body)
	if err != nil {
		l.drop(address, c)
		return answer, oops.In("peer").With("kind", kind, "peer", address).Wrap(err)
	}
	if reply.Error != "" {
		return answer, oops.In("peer").With("kind", kind).Errorf("peer %s refused: %s", address, reply.Error)
	}
	return answer, oops.In("peer").Wrapf(decoder.Unmarshal(reply.Body, &answer), "decode %s", kind)
}

func (l *Client) open(ctx context.Context, address string) (*link, error) {
	l.mu.Lock()
	c := l.links[address]
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	scheme, client := "ws://", &http.Client{}
	if l.tls != nil {
		scheme = "wss://"
		client.Transport = &http.Transport{TLSClientConfig: l.tls}
	}
	conn, _, err := websocket.Dial(ctx, scheme+address+path, &websocket.DialOptions{
		HTTPClient: client,
		HTTPHeader: http.Header{"Authorization": {sign(l.key, l.self, time.Now())}},
	})
	if err != nil {
		return nil, oops.In("peer").Wrapf(err, "dial %s", address)
	}
	conn.SetReadLimit(maxMessage)
	fresh := &link{conn: conn, waiting: map[uint64]chan envelope{}}
	fresh.idle = time.AfterFunc(idleLimit, func() { l.drop(address, fresh) })
	l.mu.Lock()
	if c = l.links[address]; c == nil {
		l.links[address] = fresh
	}
	l.mu.Unlock()
	if c != nil {
		fresh.idle.Stop()
		_ = conn.CloseNow()
		return c, nil
	}
	go l.receive(address, fresh)
	return fresh, nil
}

func (l *Client) receive(address string, c *link) {
	for {
		_, data, err := c.conn.Read(context.Background())
		if err != nil {
			l.drop(address, c)
			return
		}
		l.OnBytes(len(data))
		var e envelope
		if decoder.Unmarshal(data, &e) != nil {
			l.drop(address, c)
			return
		}
		c.mu.Lock()
		ch := c.waiting[e.Seq]
		delete(c.waiting, e.Seq)
		c.mu.Unlock()
		if ch != nil {
			ch <- e
		}
	}
}

func (l *Client) drop(address string, c *link) {
	l.mu.Lock()
	if l.links[address] == c {
		delete(l.links, address)
	}
	l.mu.Unlock()
	c.idle.Stop()
	_ = c.conn.CloseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return
	}
	c.broken = true
	for _, ch := range c.waiting {
		close(ch)
	}
	c.waiting = map[uint64]chan envelope{}
}

// Close ends all connections.
func (l *Client) Close() {
	l.mu.Lock()
	all := l.links
	l.links = map[string]*link{}
	l.mu.Unlock()
	for address, c := range all {
		l.drop(address, c)
	}
}

func (c *link) call(ctx context.Context, l *Client, kind string, body []byte) (envelope, error) {
	ch := make(chan envelope, 1)
	c.idle.Reset(idleLimit)
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return envelope{}, fault.New(fault.Internal, "the connection closed")
	}
	c.seq++
	seq := c.seq
	c.waiting[seq] = ch
	c.mu.Unlock()
	data, err := cbor.Marshal(envelope{Seq: seq, Kind: kind, Body: body})
	if err != nil {
		return envelope{}, err
	}
	c.writing.Lock()
	err = c.conn.Write(ctx, websocket.MessageBinary, data)
	c.writing.Unlock()
	if err != nil {
		return envelope{}, err
	}
	l.OnBytes(len(data))
	select {
	case e, ok := <-ch:
		if !ok {
			return envelope{}, fault.New(fault.Internal, "the connection closed")
		}
		return e, nil
	case <-ctx.Done():
		return envelope{}, ctx.Err()
	}
}
