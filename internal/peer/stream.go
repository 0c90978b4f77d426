package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// maxIdleStreams bounds the idle stream connections to one peer.
const maxIdleStreams = 16

// ErrRefused means that the peer received a stream's request and did not handle it.
var ErrRefused = errors.New("peer refused the stream")

// Stream is the response to a request, as a sequence of messages. It has a connection of its own,
// so that a slow receiver slows down the sender and no other call.
type Stream struct {
	client  *Client
	address string
	conn    *streamConn
	// complete is set once the last message has been received.
	complete bool
}

// streamConn is a connection that carries one stream at a time.
type streamConn struct {
	ws       *websocket.Conn
	received chan envelope
	// ended is closed when nothing more can be received.
	ended     chan struct{}
	endOnce   sync.Once
	idleTimer *time.Timer
}

// streamPool holds the idle stream connections of a client.
type streamPool struct {
	mu   sync.Mutex
	idle map[string][]*streamConn
}

// OpenStream sends a request to a peer that responds with a stream. If sent is false, the peer has
// not received the request. The context applies to opening only.
func (c *Client) OpenStream(ctx context.Context, address, kind string, req any) (stream *Stream, sent bool, err error) {
	body, err := cbor.Marshal(req)
	if err != nil {
		return nil, false, oops.In("peer").Wrapf(err, "encode %s", kind)
	}
	data, err := cbor.Marshal(envelope{Kind: kind, Body: body})
	if err != nil {
		return nil, false, oops.In("peer").Wrapf(err, "encode %s", kind)
	}
	if len(data) > maxMessageBytes {
		return nil, false, oops.In("peer").Errorf("%s of %d bytes is too long", kind, len(data))
	}
	conn, err := c.acquireStream(ctx, address)
	if err != nil {
		return nil, false, err
	}
	if err := conn.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		conn.close()
		return nil, true, oops.In("peer").With("kind", kind, "peer", address).Wrap(err)
	}
	c.OnBytes(len(data))
	return &Stream{client: c, address: address, conn: conn}, true, nil
}

// Receive decodes the next message into v. It returns false after the last one. The error is
// ErrRefused if the peer has not handled the request.
func (s *Stream) Receive(ctx context.Context, v any) (more bool, err error) {
	var message envelope
	select {
	case message = <-s.conn.received:
	case <-s.conn.ended:
		return false, oops.In("peer").With("peer", s.address).Errorf("the stream's connection ended")
	case <-ctx.Done():
		return false, context.Cause(ctx)
	}
	switch {
	case message.Error != "":
		s.complete = true
		return false, oops.In("peer").With("peer", s.address).Wrapf(ErrRefused, "%s", message.Error)
	case !message.More:
		s.complete = true
		return false, nil
	}
	return true, oops.In("peer").Wrapf(decMode.Unmarshal(message.Body, v), "decode message of a stream")
}

// Ping waits until the peer responds on the stream's connection. It must be called while a Receive
// waits, which reads the response.
func (s *Stream) Ping(ctx context.Context) error {
	return oops.In("peer").With("peer", s.address).Wrap(s.conn.ws.Ping(ctx))
}

// Close ends the stream. If it is not complete, the peer stops handling the request.
func (s *Stream) Close() {
	if s.complete {
		s.client.releaseStream(s.address, s.conn)
		return
	}
	s.conn.close()
}

// acquireStream returns an idle stream connection or opens one.
func (c *Client) acquireStream(ctx context.Context, address string) (*streamConn, error) {
	for {
		conn := c.streams.pop(address)
		if conn == nil {
			break
		}
		if conn.idleTimer.Stop() && conn.open() {
			return conn, nil
		}
	}
	ws, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := &streamConn{ws: ws, received: make(chan envelope), ended: make(chan struct{})}
	go conn.readLoop(c.OnBytes)
	return conn, nil
}

// releaseStream keeps a connection for the next stream.
func (c *Client) releaseStream(address string, conn *streamConn) {
	conn.idleTimer = time.AfterFunc(idleTimeout, func() {
		c.streams.remove(address, conn)
		conn.close()
	})
	if !c.streams.push(address, conn) {
		conn.idleTimer.Stop()
		conn.close()
	}
}

func (p *streamPool) pop(address string) *streamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	p.set(address, idle[:len(idle)-1])
	return conn
}

// push adds an idle connection and reports whether there is room for it.
func (p *streamPool) push(address string, conn *streamConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdleStreams {
		return false
	}
	p.set(address, append(p.idle[address], conn))
	return true
}

func (p *streamPool) remove(address string, conn *streamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var kept []*streamConn
	for _, other := range p.idle[address] {
		if other != conn {
			kept = append(kept, other)
		}
	}
	p.set(address, kept)
}

// set replaces the idle connections to an address. Callers hold mu.
func (p *streamPool) set(address string, idle []*streamConn) {
	if len(idle) == 0 {
		delete(p.idle, address)
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*streamConn{}
	}
	p.idle[address] = idle
}

// closeAll closes the idle connections.
func (p *streamPool) closeAll() {
	p.mu.Lock()
	all := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, idle := range all {
		for _, conn := range idle {
			conn.idleTimer.Stop()
			conn.close()
		}
	}
}

func (conn *streamConn) readLoop(onBytes func(int)) {
	defer conn.close()
	for {
		_, data, err := conn.ws.Read(context.Background())
		if err != nil {
			return
		}
		onBytes(len(data))
		var message envelope
		if decMode.Unmarshal(data, &message) != nil {
			return
		}
		select {
		case conn.received <- message:
		case <-conn.ended:
			return
		}
	}
}

func (conn *streamConn) open() bool {
	select {
	case <-conn.ended:
		return false
	default:
		return true
	}
}

func (conn *streamConn) close() {
	conn.endOnce.Do(func() {
		close(conn.ended)
		_ = conn.ws.CloseNow()
	})
}

// StreamHandler handles a request whose response is a stream. The context ends when the client
// closes the stream. Send blocks while the client does not read.
type StreamHandler[Q any] func(ctx context.Context, from string, req Q, send func(message any) error)

// HandleStream registers the handler of a kind of stream. It must not be called while serving.
func HandleStream[Q any](s *Server, kind string, handler StreamHandler[Q]) {
	s.streamHandlers[kind] = func(ctx context.Context, from string, body []byte, send func(envelope) error) {
		var req Q
		if err := decMode.Unmarshal(body, &req); err != nil {
			_ = send(envelope{Error: "undecodable " + kind}) // the client has disconnected
			return
		}
		handler(ctx, from, req, func(message any) error {
			data, err := cbor.Marshal(message)
			if err != nil {
				return oops.In("peer").Wrapf(err, "encode message of %s", kind)
			}
			return send(envelope{Body: data, More: true})
		})
		_ = send(envelope{}) // the client has disconnected
	}
}
