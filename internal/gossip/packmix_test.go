package gossip

import (
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/feed"
)

// Guards against records of a store that was restored without an era and answers with other content at
// the same positions.
func TestPackedRecordsOfOtherContentAreNotMixedUp(t *testing.T) {
	var c packCache
	old, other := longRecord(), longRecord()
	other.Value[0]++
	c.pack("op", feed.Tail{Records: []feed.Record{old}})
	p := c.pack("op", feed.Tail{Records: []feed.Record{other}})
	records, err := unpackRecords(p.data)
	if err != nil || records[0].Value[0] != other.Value[0] {
		t.Errorf("got the earlier record, err %v", err)
	}
}
