package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against keep-alive settings other than the kernel's, and a user timeout that overrides them.
func TestKeepAliveSettingsReachTheSocket(t *testing.T) {
	address := startServer(t, func(int, *http.Request, io.Writer) bool { return false })
	c, err := dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for name, option := range map[string]struct{ level, option, want int }{
		"keep-alive":   {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		"idle":         {unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(tcpKeepAliveIdle.Seconds())},
		"interval":     {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(tcpKeepAliveInterval.Seconds())},
		"count":        {unix.IPPROTO_TCP, unix.TCP_KEEPCNT, tcpKeepAliveCount},
		"user timeout": {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0},
	} {
		var got int
		controlErr := raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), option.level, option.option) })
		if controlErr != nil || err != nil || got != option.want {
			t.Errorf("%s is %d, want %d: %v, %v", name, got, option.want, controlErr, err)
		}
	}
}

// Guards against connections that are opened for a request that must use an open one.
func TestReuseOnlyOpensNoConnection(t *testing.T) {
	address := startServer(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeResponse(w, r.Header.Get("Id"), "x")
		return true
	})
	p := NewPool()
	dials := countDials(p)
	req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Do(t.Context(), Call{Address: address, Request: req, ReuseOnly: true}); err == nil || *dials != 0 {
		t.Fatalf("%d connections were opened, %v", *dials, err)
	}
	if _, err := do(p, address, "a"); err != nil {
		t.Fatal(err)
	}
	resp, err := p.Do(t.Context(), Call{Address: address, Request: req, ReuseOnly: true})
	if err != nil || *dials != 1 {
		t.Fatalf("%d connections were opened, %v", *dials, err)
	}
	_ = resp.Body.Close()
}
