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

	"github.com/damaskrudder/damaskrudder/internal/checkedconn"
	"github.com/damaskrudder/damaskrudder/internal/fault"
)

const (
	// maxMessageBytes is the maximum size of a message in bytes.
	maxMessageBytes = 8 << 20
	// maxClockSkew is the maximum age of a signature.
	maxClockSkew = 60 * time.Second
	// endpointPath is the HTTP path of the peer endpoint.
	endpointPath = "/peer"
	// idleTimeout closes unused connections. Probes reach the whole fleet over time, and
	// would otherwise keep a connection to every daemon.
	idleTimeout = 10 * time.Second
)

// envelope is the encoding of a request or response. Seq matches a response to its request. More
// is set in all messages of a stream but the last, which is empty.
type envelope struct {
	Seq   uint64          `cbor:"1,keyasint"`
	Kind  string          `cbor:"2,keyasint,omitempty"`
	Error string          `cbor:"3,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	More  bool            `cbor:"5,keyasint,omitempty"`
}

// decMode limits the memory that decoding a peer's message may use.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// sign returns a header value with an ID, a time and their HMAC under the key.
func sign(key, id string, now time.Time) string {
	timestamp := strconv.FormatInt(now.Unix(), 10)
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(id + "\n" + timestamp))
	return id + " " + timestamp + " " + hex.EncodeToString(mac.Sum(nil))
}

// verify returns the ID of the signer, and whether the signature is valid and recent. Without
// a key the network is trusted, and neither the signature nor its time is checked.
func verify(key, header string, now time.Time) (string, bool) {
	parts := strings.Split(header, " ")
	if len(parts) != 3 {
		return "", false
	}
	if key == "" {
		return parts[0], true
	}
	timestamp, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || now.Sub(time.Unix(timestamp, 0)).Abs() > maxClockSkew {
		return "", false
	}
	want := sign(key, parts[0], time.Unix(timestamp, 0))
	return parts[0], hmac.Equal([]byte(want), []byte(header))
}

// Client makes calls to other daemons, over one connection per peer address.
type Client struct {
	self, key string
	tls       *tls.Config
	// httpClient opens connections, which are upgraded.
	httpClient *http.Client
	mu         sync.Mutex
	conns      map[string]*clientConn
	streams    streamPool
	// OnBytes is called with the size of each message sent or received.
	OnBytes func(n int)
}

// NewClient returns a client that signs with the peer key. If the TLS config is nil,
// connections are not encrypted.
func NewClient(self, key string, t *tls.Config) *Client {
	transport := checkedconn.Transport(t)
	transport.Proxy = nil // daemons reach each other by address
	return &Client{self: self, key: key, tls: t, httpClient: &http.Client{Transport: transport}, conns: map[string]*clientConn{}, OnBytes: func(int) {}}
}

// clientConn is a connection to one peer, shared by concurrent calls.
type clientConn struct {
	ws        *websocket.Conn
	writeMu   sync.Mutex
	mu        sync.Mutex
	seq       uint64
	pending   map[uint64]chan envelope
	closed    bool
	idleTimer *time.Timer
}

// Call sends a request to a peer and decodes its response. A failed or timed-out call closes
// the connection, since a dead one would block the following calls too.
func Call[Q, A any](ctx context.Context, c *Client, address, kind string, req Q) (A, error) {
	var resp A
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, oops.In("peer").Wrapf(err, "encode %s", kind)
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return resp, err
	}
	reply, err := conn.roundTrip(ctx, c, kind, body)
	if err != nil {
		c.closeConn(address, conn)
		return resp, oops.In("peer").With("kind", kind, "peer", address).Wrap(err)
	}
	if reply.Error != "" {
		return resp, oops.In("peer").With("kind", kind).Errorf("peer %s refused: %s", address, reply.Error)
	}
	return resp, oops.In("peer").Wrapf(decMode.Unmarshal(reply.Body, &resp), "decode %s", kind)
}

func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	ws, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	fresh := &clientConn{ws: ws, pending: map[uint64]chan envelope{}}
	fresh.idleTimer = time.AfterFunc(idleTimeout, func() { c.closeConn(address, fresh) })
	c.mu.Lock()
	if conn = c.conns[address]; conn == nil {
		c.conns[address] = fresh
	}
	c.mu.Unlock()
	if conn != nil {
		fresh.idleTimer.Stop()
		_ = ws.CloseNow()
		return conn, nil
	}
	go c.readLoop(address, fresh)
	return fresh, nil
}

// dial opens a connection to a peer.
func (c *Client) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	scheme := "ws://"
	if c.tls != nil {
		scheme = "wss://"
	}
	ws, _, err := websocket.Dial(ctx, scheme+address+endpointPath, &websocket.DialOptions{
		HTTPClient: c.httpClient,
		HTTPHeader: http.Header{"Authorization": {sign(c.key, c.self, time.Now())}},
	})
	if err != nil {
		return nil, oops.In("peer").Wrapf(err, "dial %s", address)
	}
	ws.SetReadLimit(maxMessageBytes)
	return ws, nil
}

func (c *Client) readLoop(address string, conn *clientConn) {
	for {
		_, data, err := conn.ws.Read(context.Background())
		if err != nil {
			c.closeConn(address, conn)
			return
		}
		c.OnBytes(len(data))
		var reply envelope
		if decMode.Unmarshal(data, &reply) != nil {
			c.closeConn(address, conn)
			return
		}
		conn.mu.Lock()
		ch := conn.pending[reply.Seq]
		delete(conn.pending, reply.Seq)
		conn.mu.Unlock()
		if ch != nil {
			ch <- reply
		}
	}
}

func (c *Client) closeConn(address string, conn *clientConn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	conn.idleTimer.Stop()
	_ = conn.ws.CloseNow()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		return
	}
	conn.closed = true
	for _, ch := range conn.pending {
		close(ch)
	}
	conn.pending = map[uint64]chan envelope{}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.conns
	c.conns = map[string]*clientConn{}
	c.mu.Unlock()
	for address, conn := range all {
		c.closeConn(address, conn)
	}
	c.streams.closeAll()
}

func (conn *clientConn) roundTrip(ctx context.Context, c *Client, kind string, body []byte) (envelope, error) {
	ch := make(chan envelope, 1)
	conn.idleTimer.Reset(idleTimeout)
	conn.mu.Lock()
	if conn.closed {
		conn.mu.Unlock()
		return envelope{}, fault.New(fault.Internal, "the connection closed")
	}
	conn.seq++
	seq := conn.seq
	conn.pending[seq] = ch
	conn.mu.Unlock()
	data, err := cbor.Marshal(envelope{Seq: seq, Kind: kind, Body: body})
	if err != nil {
		return envelope{}, err
	}
	conn.writeMu.Lock()
	err = conn.ws.Write(ctx, websocket.MessageBinary, data)
	conn.writeMu.Unlock()
	if err != nil {
		return envelope{}, err
	}
	c.OnBytes(len(data))
	select {
	case reply, ok := <-ch:
		if !ok {
			return envelope{}, fault.New(fault.Internal, "the connection closed")
		}
		return reply, nil
	case <-ctx.Done():
		return envelope{}, ctx.Err()
	}
}
