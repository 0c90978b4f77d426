package main

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/node"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

const (
	topicOperator = "operator"
	topicServers  = "servers"
	topicStatus   = "status"
	topicDaemons  = "daemons"
)

// codec decodes plain-text records: a configuration is its version, a server its state.
type codec struct{}

var errNoStatus = errors.New("the emulator has no roll-outs")

func (codec) Topics() node.Topics {
	return node.Topics{Operator: topicOperator, Servers: topicServers, Status: topicStatus, Daemons: topicDaemons}
}

func (codec) DecodeOperator(r feed.Record) (node.OperatorRecord, error) {
	first, _, _ := bytes.Cut(r.Value, []byte("\n"))
	version, err := strconv.ParseInt(string(first), 10, 64)
	if err != nil {
		return node.OperatorRecord{}, err
	}
	table, err := route.NewTable(route.Document{Version: version})
	return node.OperatorRecord{Table: table}, err
}

func (codec) DecodeEvacuation(feed.Record) (node.Evacuation, bool) { return node.Evacuation{}, false }

func (codec) DecodeServer(r feed.Record) (backend.Server, error) {
	return backend.Server{
		Incarnation: backend.Incarnation{Name: r.Key}, Service: "lm", Address: r.Key + ":80", FailureDomain: "domain-" + r.Key[len(r.Key)-1:],
		Version: "v1", Slots: 12, Leaving: string(r.Value) == "leaving",
	}, nil
}

func (codec) DecodeStatus(feed.Record) (node.RolloutStatus, bool, error) {
	return node.RolloutStatus{}, false, nil
}

func (codec) DecodeDaemon(r feed.Record) (string, error) { return string(r.Value), nil }

func (codec) EncodeStatus(rollout.Order, rollout.Phase, time.Duration) (string, []byte, error) {
	return "", nil, errNoStatus
}

func (codec) EncodeDaemon(control string) ([]byte, error) { return []byte(control), nil }

func (codec) DecodeHold(feed.Record) (node.HoldRecord, bool, error) {
	return node.HoldRecord{}, false, nil
}

func (codec) EncodeHold(node.HoldRecord) (string, []byte, error) { return "", nil, errNoStatus }
