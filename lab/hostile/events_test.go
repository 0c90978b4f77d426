package hostile

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a daemon that does not end while clients keep connections open.
func TestDaemonEndsBesideACrowd(t *testing.T) {
	for name, send := range map[string]client{
		"silent":             silent,
		"one byte of a head": func(c net.Conn, _ int) { write(c, "G") },
		"heads of short lines": func(c net.Conn, n int) {
			write(c, legalHead(http.MethodPost, "/look/1", n, "Content-Length: 100\r\n"))
		},
		"unread streams": func(c net.Conn, n int) { write(c, requestHead(http.MethodGet, "/talk/1", n)+"\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			d := startPlatformDaemon(t)
			r := playAccepted(t, d.callers, requestCrowd, send)
			defer r.leave()
			d.look()
			d.end(syscall.SIGTERM)
		})
	}
}

// Guards against limits that are lost or not followed when the settings are read again and the
// configuration changes beside a crowd.
func TestConfigurationChangesBesideACrowd(t *testing.T) {
	d := startPlatformDaemon(t)
	r := playAccepted(t, d.callers, requestCrowd, func(c net.Conn, n int) {
		write(c, legalHead(http.MethodPost, "/look/1", n, "Content-Length: 100\r\n"))
	})
	if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	const shorter = 4 << 10
	d.store.Put("keyed.op", "config", []byte(strings.Replace(strings.Replace(configuration, `"version":3`, `"version":4`, 1), fmt.Sprintf(`"header_bytes":%d`, headBytes), fmt.Sprintf(`"header_bytes":%d`, shorter), 1)))
	expectAnswer(t, d.callers, "beside the crowd")
	for end := time.Now().Add(waitLimit); ; time.Sleep(callPause) {
		c, err := net.Dial("tcp4", d.callers)
		if err != nil {
			t.Fatal(err)
		}
		write(c, legalHead(http.MethodGet, "/look/1", 1, "Connection: close\r\n"))
		if got := readAll(c); strings.HasPrefix(got, "HTTP/1.1 431 ") {
			break
		} else if time.Now().After(end) {
			t.Fatalf("a head over the new limit got %q", got)
		}
	}
	again := playAccepted(t, d.callers, headCrowd, endless(unfinishedHead, shortLines(chunkBytes)))
	expectAnswer(t, d.callers, "beside both crowds")
	r.leave()
	again.leave()
	expectAnswer(t, d.callers, "after the crowds")
	d.check()
}

// upgradeRequest opens a WebSocket connection to control.
const upgradeRequest = "GET /peer HTTP/1.1\r\nHost: h\r\nAuthorization: a 1 b\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"

// Guards against connections that become WebSocket connections at control and shut out the readiness and
// the callers.
func TestUpgradedConnectionsAtControl(t *testing.T) {
	d := startPlatformDaemon(t)
	playBeside(t, d, d.control, silentCrowd, func(c net.Conn, _ int) {
		write(c, upgradeRequest)
	})
}

// Guards against messages at control that are announced as long, or never end.
func TestLongMessagesAtControl(t *testing.T) {
	d := startPlatformDaemon(t)
	const frame = "\x82\xff\x00\x00\x00\x00\x00\x7f\xff\xff\x00\x00\x00\x00" // binary, masked, 8 MB
	playBeside(t, d, d.control, headCrowd, endless(func(int) string { return upgradeRequest + frame }, "x"))
}
