package gossip

import (
	"context"
	"errors"
	"testing"
)

// addressTransport answers requests for records by the address.
type addressTransport func(address string, req RecordsRequest) (RecordsResponse, error)

func (t addressTransport) Exchange(context.Context, string, Message) (Message, error) {
	return Message{}, errors.New("not used")
}

func (t addressTransport) FetchRecords(_ context.Context, address string, req RecordsRequest) (RecordsResponse, error) {
	return t(address, req)
}

// Guards against a daemon that asks nobody but the one daemon of its failure domain that is ahead,
// although that one is busy or does not answer.
func TestRecordsAreFetchedElsewhereIfLocalDaemonDoesNotSend(t *testing.T) {
	for name, local := range map[string]func() (RecordsResponse, error){
		"busy":   func() (RecordsResponse, error) { return RecordsResponse{Busy: true}, nil },
		"silent": func() (RecordsResponse, error) { return RecordsResponse{}, context.DeadlineExceeded },
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMembers()
			m.Receive("near:1", Message{Incarnation: "near/1", Name: "near"})
			m.Receive("far:1", Message{Incarnation: "far/1", Name: "far", FailureDomain: "other"})
			m.transport = addressTransport(func(address string, _ RecordsRequest) (RecordsResponse, error) {
				if address == "near:1" {
					return local()
				}
				return RecordsResponse{Next: 8, End: 8}, nil
			})
			for range 50 {
				tail, err := m.FetchRecords(t.Context(), "op", 3, func(Message) bool { return true })
				if err == nil && tail.Next == 8 {
					return
				}
			}
			t.Error("50 fetches brought nothing")
		})
	}
}
