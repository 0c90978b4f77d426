package peer

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/coder/websocket"
)

const (
	// readBytes is the size of the first read of a message.
	readBytes = 4 << 10
	// messageOverhead is the memory in bytes that a message takes beside its own bytes, while it is
	// handled.
	messageOverhead = 4 << 10
)

// errNoMemory means that there is no room for a message.
var errNoMemory = errors.New("no memory for a message")

// serverConn is a connection that the server has accepted.
type serverConn struct {
	server  *Server
	from    string
	ws      *websocket.Conn
	writeMu sync.Mutex
}

// heldMessage is a message with the memory that it takes.
type heldMessage struct {
	memory Memory
	data   []byte
	held   int64
}

// grow accounts for n more bytes, and reports whether there is room.
func (m *heldMessage) grow(n int64) bool {
	if m.memory == nil {
		return true
	}
	if !m.memory.GrowMessages(n) {
		return false
	}
	m.held += n
	return true
}

// release ends the account of the message.
func (m *heldMessage) release() {
	if m.memory != nil {
		m.memory.ReleaseMessages(m.held)
		m.held = 0
	}
}

// read reads a message. The caller must release it, also after an error.
func (c *serverConn) read(ctx context.Context) (*heldMessage, error) {
	m := &heldMessage{memory: c.server.Memory}
	_, in, err := c.ws.Reader(ctx)
	if err != nil {
		return m, err
	}
	if !m.grow(messageOverhead) {
		return m, c.overloaded()
	}
	for {
		if len(m.data) == cap(m.data) {
			more := max(readBytes, len(m.data))
			if !m.grow(int64(more)) {
				return m, c.overloaded()
			}
			m.data = append(make([]byte, 0, len(m.data)+more), m.data...)
		}
		n, err := in.Read(m.data[len(m.data):cap(m.data)])
		m.data = m.data[:len(m.data)+n]
		if err == io.EOF {
			return m, nil
		}
		if err != nil {
			return m, err
		}
	}
}

// write writes a message. It fails if the client reads nothing for too long, or there is no room.
func (c *serverConn) write(ctx context.Context, data []byte) error {
	m := &heldMessage{memory: c.server.Memory}
	defer m.release()
	if !m.grow(int64(len(data))) {
		_ = c.ws.CloseNow() // fails only if it is closed
		return c.overloaded()
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.ws.Write(ctx, websocket.MessageBinary, data)
	if err == nil {
		c.server.OnBytes(len(data))
	}
	return err
}

func (c *serverConn) overloaded() error {
	c.server.OnOverload(c.from)
	return errNoMemory
}
