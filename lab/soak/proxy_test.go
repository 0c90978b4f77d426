package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
)

// Guards against a silent server that is played by dropping, reordering or passing on what it is sent.
func TestSilentProxyForwardsHeldData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newUnboundProxy("")
		p.setMode(modeSilent)
		sent := [][]string{{"request ", "and its rest"}, {"response"}}
		received := make([]strings.Builder, len(sent))
		ended := make([]bool, len(sent))
		for i, parts := range sent {
			sender, src := net.Pipe()
			dst, receiver := net.Pipe()
			go func() {
				p.copy(dst, src, modeBlackhole, modeDropResponses)
				_ = dst.Close() // as the proxy does once both directions have ended
			}()
			go func() {
				_, _ = io.Copy(&received[i], receiver) // an error shows in the data
				ended[i] = true
			}()
			go func() {
				for _, part := range parts {
					_, _ = io.WriteString(sender, part) // an error shows in the data
				}
				_ = sender.Close()
			}()
		}
		synctest.Wait()
		for i := range sent {
			if received[i].Len() != 0 || ended[i] {
				t.Errorf("%q was forwarded while the server is silent, ended: %t", received[i].String(), ended[i])
			}
		}
		p.setMode(modeForward)
		synctest.Wait()
		for i, parts := range sent {
			if got, want := received[i].String(), strings.Join(parts, ""); got != want || !ended[i] {
				t.Errorf("received %q of %q, ended: %t", got, want, ended[i])
			}
		}
	})
}
