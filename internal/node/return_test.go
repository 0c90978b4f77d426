package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/feedtest"
)

// comesBack has the store be silent for a moment and come back from an older copy, which then
// takes some records, before anybody can read.
func (f *fleet) comesBack(c *feedtest.Copy, then func()) {
	f.store.Set(feedtest.Silent)
	time.Sleep(800 * time.Millisecond)
	f.store.Return(c)
	then()
	f.store.Set(feedtest.Serving)
}

// Symptom: a server that had said that it leaves got requests for good.
// Sequence: the store comes back from a copy some seconds old, and its offsets go back; the
// server writes that it leaves, others write theirs, until the topic is as long as before.
// Cause: a daemon went on reading at its old offset, and took what stood before it for read.
func TestWordAtAnOffsetThatCameAgainIsRead(t *testing.T) {
	for _, daemons := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, daemons)
			time.Sleep(4 * time.Second)
			copied := f.store.Copy()
			for i := range 6 {
				f.store.Put("servers", fmt.Sprint("c", i), []byte("ready"))
			}
			time.Sleep(2 * time.Second)
			f.comesBack(copied, func() {
				f.store.Put("servers", "a", []byte("leaving"))
				for i := range 6 {
					f.store.Put("servers", fmt.Sprint("c", i), []byte("ready"))
				}
			})
			within(t, f.bound, "a server that left is not used", func() bool { return f.using("a") == 0 })
			if n := f.using("b"); n != daemons {
				t.Errorf("%d of %d daemons use a server that lives", n, daemons)
			}
		})
	}
}
