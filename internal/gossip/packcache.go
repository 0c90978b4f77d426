package gossip

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskrudder/damaskrudder/internal/feed"
)

// maxCachedPacks bounds the packed responses that are kept. Several are in use at the same time
// while a topic changes faster than its records spread.
const maxCachedPacks = 8

// packCache keeps the packed forms of the latest long responses, so that daemons that fetch the
// same records get the same parts, and the records are compressed once. It is safe for concurrent
// use.
type packCache struct {
	mu sync.Mutex
	// packs are ordered by their last use, the latest last.
	packs []*pack
}

// pack is a packed response.
type pack struct {
	id   uint64
	data []byte
}

// pack returns the packed form of records, or nil if they cannot be packed. It compresses one response
// at a time, so that daemons that ask for the same records at the same moment do not each cost a
// compression.
func (c *packCache) pack(topic string, tail feed.Tail) *pack {
	id := packID(topic, tail.Records)
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.find(id); p != nil {
		return p
	}
	data := packRecords(tail.Records)
	if data == nil {
		return nil
	}
	p := &pack{id, data}
	if len(data) > maxRecordsBytes {
		c.add(p)
	}
	return p
}

// part returns the part of a packed response from an offset on, or an empty response if it is not
// kept any more.
func (c *packCache) part(id uint64, offset int) RecordsResponse {
	c.mu.Lock()
	p := c.find(id)
	c.mu.Unlock()
	if p == nil || offset < 0 || offset >= len(p.data) {
		return RecordsResponse{}
	}
	end := min(offset+maxRecordsBytes, len(p.data))
	return RecordsResponse{Packed: p.data[offset:end:end], PartOf: id, Size: len(p.data)}
}

// find returns a kept response and marks it as used. Callers hold mu.
func (c *packCache) find(id uint64) *pack {
	i := slices.IndexFunc(c.packs, func(p *pack) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	p := c.packs[i]
	c.packs = append(slices.Delete(c.packs, i, i+1), p)
	return p
}

// add keeps a response. Callers hold mu.
func (c *packCache) add(p *pack) {
	if len(c.packs) == maxCachedPacks {
		c.packs = slices.Delete(c.packs, 0, 1)
	}
	c.packs = append(c.packs, p)
}

// packID identifies records by their topic, positions and content. It is not zero.
func packID(topic string, records []feed.Record) uint64 {
	h := xxhash.New()
	write := func(field []byte) {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(field)))) // never fails
		_, _ = h.Write(field)                                         // never fails
	}
	write([]byte(topic))
	for _, r := range records {
		write([]byte(r.Key))
		write(binary.BigEndian.AppendUint64(nil, uint64(r.At)))
		write(r.Value)
	}
	return max(h.Sum64(), 1)
}
