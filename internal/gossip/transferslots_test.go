package gossip

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against daemons that ask for the same part for ever, so that the others get no long records.
func TestRepeatedRequestsDoNotKeepTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newRecordServer(longRecord())
		request := RecordsRequest{Topic: "op", AcceptsPacked: true, AcceptsParts: true}
		var held []RecordsResponse
		for range maxTransfers {
			held = append(held, server.Handle(request))
		}
		for range 60 {
			time.Sleep(partTimeout / 2)
			for _, h := range held {
				server.Handle(RecordsRequest{PartOf: h.PartOf, Transfer: h.Transfer})
			}
		}
		if server.Handle(request).Busy {
			t.Error("busy after 27 s")
		}
	})
}

// Guards against requests for parts that are not kept and that end other daemons' transfers.
func TestUnknownPartDoesNotEndTransfer(t *testing.T) {
	server := newRecordServer(longRecord())
	request := RecordsRequest{Topic: "op", AcceptsPacked: true, AcceptsParts: true}
	for range maxTransfers {
		server.Handle(request)
	}
	server.Handle(RecordsRequest{PartOf: 1, Transfer: 1})
	if !server.Handle(request).Busy {
		t.Error("admitted beyond the limit")
	}
}
