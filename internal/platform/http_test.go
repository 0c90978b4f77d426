package platform_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/platform"
	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Guards against responses of the platform with a malformed head, which are taken for what it states.
func TestMalformedHeadOfThePlatformIsRefused(t *testing.T) {
	for name, fields := range map[string]string{"sound": "A: b", "blank in a name": "A B: c", "blank before a colon": "A : b"} {
		answer := "HTTP/1.1 200 OK\r\n" + fields + "\r\nContent-Length: 2\r\n\r\n[]"
		address, err := (&standin.RawServer{Answer: func(*http.Request) string { return answer }}).Start(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := platform.NewClient("http://"+address, time.Minute).List(t.Context()); (err == nil) != (name == "sound") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a list of VMs that is not followed any more because of one odd entry in it.
func TestOddEntriesOfTheListAreLeftOut(t *testing.T) {
	const first, last = `{"id":"a]\\\"","state":"leaving"}`, `{"id":"b","more":[{"x":"}"}],"state":"live"}`
	for name, odd := range map[string]string{
		"nested deeply":      strings.Repeat(`{"a":[`, 30000) + strings.Repeat("]}", 30000),
		"number too large":   `{"id":"c","state":1e999}`,
		"other type":         `{"id":7}`,
		"null":               "null",
		"no JSON":            "nothing",
		"port out of range":  `{"id":"c","address":65536}`,
		"object for a state": `{"id":"c","state":{}}`,
	} {
		list := "[" + first + ", " + odd + "," + last + "]\n"
		address, err := (&standin.RawServer{Answer: func(*http.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}}).Start(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		vms, err := platform.NewClient("http://"+address, time.Minute).List(t.Context())
		var unreadable *platform.UnreadableEntriesError
		if !errors.As(err, &unreadable) || unreadable.Entries != 1 || len(vms) != 2 || vms[0].ID != `a]\"` || vms[1].ID != "b" {
			t.Errorf("%s: %+v, %.200v", name, vms, err)
		}
	}
}

func TestListsThatCannotBeReadAreErrors(t *testing.T) {
	for list, readable := range map[string]bool{"[]": true, " [ ] ": true, "null": true, "": false, "{}": false, "[": false, `["]`: false, "[{]": false} {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		address, err := (&standin.RawServer{Answer: func(*http.Request) string { return answer }}).Start(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if vms, err := platform.NewClient("http://"+address, time.Minute).List(t.Context()); (err == nil) != readable || len(vms) > 0 {
			t.Errorf("%q: %+v, %v", list, vms, err)
		}
	}
}
