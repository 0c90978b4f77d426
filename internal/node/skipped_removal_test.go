package node

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a daemon that ends an evacuation which a restored store lacks, because it was behind
// later and read the newest records only.
func TestSkippedRecordsDoNotEndEvacuationAfterRestore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(5 * time.Second)
		f.setEvacuated("east", true)
		time.Sleep(time.Second)
		f.restoreStore(f.snapshot, func() {})
		time.Sleep(5 * time.Second)
		if n := f.count(func(m *member) bool { return m.evacuated("east") }); n < 6 {
			t.Fatalf("%d of 6 daemons apply the evacuation before a daemon is behind", n)
		}
		f.isolate(5, true)
		for version := range 5 {
			f.store.Put("op", "config", []byte{byte('6' + version%4)})
			time.Sleep(changeInterval)
		}
		f.isolate(5, false)
		time.Sleep(5 * time.Second)
		if n := f.count(func(m *member) bool { return m.evacuated("east") }); n < 6 {
			t.Errorf("%d of 6 daemons apply the evacuation", n)
		}
	})
}
