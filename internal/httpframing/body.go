package httpframing

import (
	"bytes"
	"math"
	"strconv"
)

// framing is how the end of a body is found.
type framing uint8

const (
	// byLength is a body of a stated number of bytes; zero means none.
	byLength framing = iota
	// byChunks is a chunked body with its trailer.
	byChunks
	// unknown is a body whose end cannot be found.
	unknown
)

// Body follows the body of a request through the bytes of a connection.
type Body struct {
	framing framing
	// remaining is the number of bytes left of the body, or of the present chunk.
	remaining int64
	chunk     chunkState
	// digits is the number of digits of the present chunk's size.
	digits int
	// trailer follows the trailer. Its first line is never empty: the last chunk's size is counted as one.
	trailer Head
}

// chunkState is a position in a chunked body.
type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkDataCR
	chunkDataLF
	chunkTrailer
)

// maxChunkDigits is the largest number of digits of a chunk's size in net/http.
const maxChunkDigits = 16

// ParseBody returns the body that follows a complete head.
func ParseBody(head []byte) Body {
	var b Body
	requestLine, fields, _ := bytes.Cut(head, []byte{'\n'})
	for len(bytes.TrimSpace(requestLine)) == 0 && len(fields) > 0 { // empty lines before the request
		requestLine, fields, _ = bytes.Cut(fields, []byte{'\n'})
	}
	http10 := bytes.HasSuffix(bytes.TrimSpace(requestLine), []byte("HTTP/1.0"))
	stated, framed := int64(-1), false // framed is set after a field that frames the body
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, []byte{'\n'})
		name, value, _ := bytes.Cut(line, []byte{':'})
		switch {
		case framed && len(line) > 0 && (line[0] == ' ' || line[0] == '\t'):
			return Body{framing: unknown} // the field's value goes on
		case bytes.EqualFold(name, []byte("content-length")):
			length, ok := parseLength(value)
			if !ok || stated >= 0 && stated != length {
				return Body{framing: unknown}
			}
			stated, framed = length, true
		case bytes.EqualFold(name, []byte("transfer-encoding")) && !http10:
			if b.framing == byChunks || !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return Body{framing: unknown}
			}
			b.framing, framed = byChunks, true
		default:
			framed = false
		}
	}
	if b.framing == byLength {
		b.remaining = max(0, stated)
	}
	b.trailer.Lines = 1
	return b
}

func parseLength(value []byte) (int64, bool) {
	n, err := strconv.ParseUint(string(bytes.Trim(value, " \t\r")), 10, 63)
	return int64(n), err == nil
}

// Done reports whether the body has ended.
func (b *Body) Done() bool { return b.framing == byLength && b.remaining == 0 }

// Known reports whether the end of the body can be found.
func (b *Body) Known() bool { return b.framing != unknown }

// Remaining returns the number of bytes that are left of the body; if that is not known, the largest
// number.
func (b *Body) Remaining() int64 {
	if b.framing == byLength {
		return b.remaining
	}
	return math.MaxInt64
}

// Scan returns the number of bytes of p that belong to the body. It is all of them once the end of the
// body cannot be found.
func (b *Body) Scan(p []byte) (n int) {
	for n < len(p) && !b.Done() {
		if b.inTrailer() {
			read, done := b.trailer.Scan(p[n:])
			n += read
			if done {
				*b = Body{}
			}
			continue
		}
		n += b.step(p[n:])
	}
	return n
}

// inTrailer reports whether the next bytes belong to the trailer.
func (b *Body) inTrailer() bool { return b.framing == byChunks && b.chunk == chunkTrailer }

// step returns the number of bytes of p, which precede the trailer, that belong to the next part of the body.
func (b *Body) step(p []byte) int {
	switch {
	case b.framing == unknown:
		return len(p)
	case b.framing == byLength, b.chunk == chunkData:
		return b.skip(len(p))
	}
	b.scanChunk(p[0])
	return 1
}

// skip passes over at most n bytes of the body or the present chunk, and returns their number.
func (b *Body) skip(n int) int {
	skipped := min(int64(n), b.remaining)
	b.remaining -= skipped
	if b.framing == byChunks && b.remaining == 0 {
		b.chunk = chunkDataCR
	}
	return int(skipped)
}

// scanChunk applies a byte outside of a chunk's data.
func (b *Body) scanChunk(c byte) {
	switch b.chunk {
	case chunkSize:
		b.scanSize(c)
	case chunkExtension:
		if c == '\n' {
			b.endSize()
		}
	case chunkDataCR:
		b.expect(c, '\r', chunkDataLF)
	case chunkDataLF:
		b.expect(c, '\n', chunkSize)
	}
}

// scanSize applies a byte of a chunk's size.
func (b *Body) scanSize(c byte) {
	digit, err := strconv.ParseUint(string(c), 16, 8)
	switch {
	case err == nil && b.digits < maxChunkDigits && b.remaining <= math.MaxInt64>>4:
		b.remaining, b.digits = b.remaining<<4|int64(digit), b.digits+1
	case err == nil || b.digits == 0:
		b.framing = unknown
	case c == '\n':
		b.endSize()
	default:
		b.chunk = chunkExtension // net/http rejects what is neither white space nor an extension
	}
}

func (b *Body) endSize() {
	b.digits, b.chunk = 0, chunkData
	if b.remaining == 0 {
		b.chunk = chunkTrailer
	}
}

// expect goes on to the next state if a byte is the one that is due.
func (b *Body) expect(c, due byte, next chunkState) {
	b.chunk = next
	if c != due {
		b.framing = unknown
	}
}
