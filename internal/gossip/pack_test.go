package gossip

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/damaskrudder/damaskrudder/internal/feed"
)

// Guards against records that a compressed response changes, and against one that does not shrink.
func TestPackedRecordsAreUnpacked(t *testing.T) {
	var records []feed.Record
	size := 0
	for i := range 80 {
		r := feed.Record{Key: fmt.Sprintf("server-%05d", i), Value: fmt.Appendf(nil, `{"service":"lm","addr":"10.0.0.%d:80","zone":"east","slots":12,"state":"ready"}`, i), At: feed.Position(i)}
		if i%7 == 0 {
			r.Value = nil
		}
		size += len(r.Key) + len(r.Value)
		records = append(records, r)
	}
	packed := packRecords(records)
	got, err := unpackRecords(packed)
	if err != nil || !reflect.DeepEqual(got, records) {
		t.Fatalf("%d records, err %v", len(got), err)
	}
	if len(packed) > size/3 {
		t.Errorf("%d bytes packed, %d before", len(packed), size)
	}
	if _, err := unpackRecords([]byte("no records")); err == nil {
		t.Error("invalid bytes are accepted")
	}
}

// Guards against buffers of a megabyte for each compressed response.
func BenchmarkPackRecords(b *testing.B) {
	records := []feed.Record{{Key: "server-00001", Value: make([]byte, 8<<10)}}
	b.ReportAllocs()
	for b.Loop() {
		packRecords(records)
	}
}
