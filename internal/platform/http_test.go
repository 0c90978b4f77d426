package platform_test

import (
	"net/http"
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
