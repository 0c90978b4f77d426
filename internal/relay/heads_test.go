package relay

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// Guards against heads that take more memory than is reserved for them.
func TestReservationCoversHeads(t *testing.T) {
	const headBytes, heads = 32 << 10, 100
	for name, field := range map[string]func(i int) string{
		"short names":     func(i int) string { return fmt.Sprintf("%X:\n", i) },
		"one name":        func(int) string { return "A:\n" },
		"short values":    func(i int) string { return fmt.Sprintf("%x:b\n", i) },
		"ordinary fields": func(i int) string { return fmt.Sprintf("X-Field-%d: value of it\r\n", i) },
		"long value":      func(i int) string { return fmt.Sprintf("X-Field-%d: %s\r\n", i, strings.Repeat("b", 8<<10)) },
	} {
		head := "HTTP/1.1 200 OK\r\n"
		for i := 0x1000; len(head) < headBytes-100; i++ {
			f := field(i)
			head += f[:min(len(f), headBytes)]
		}
		kept := make([]*http.Response, heads)
		before := heapBytes()
		for i := range kept {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n")), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body = nil
			kept[i] = resp
		}
		perByte := float64(heapBytes()-before) / float64(heads*len(head))
		t.Logf("%s: %.1f bytes for each of %d", name, perByte, len(head))
		if perByte > heldPerHeadByte {
			t.Errorf("%s: %.1f bytes for each byte, %d are reserved", name, perByte, heldPerHeadByte)
		}
		runtime.KeepAlive(kept)
	}
}

// heapBytes returns the number of bytes in use after a collection.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
