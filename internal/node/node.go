// Package node runs one daemon: it connects the relay, the followers of the platform's
// log and gossip with other daemons. It decides readiness, assigns this daemon's roles by
// rank, advances roll-outs and drains on shutdown. A Codec decodes the log's records.
package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/clientconns"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/logs"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/recovery"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// Config configures one daemon.
type Config struct {
	// Name is stable across restarts.
	Name          string
	FailureDomain string
	// ClientAddress is the address for clients, ControlAddress the one for other daemons.
	ClientAddress, ControlAddress string
	// Seeds are control addresses of other daemons; they may be stale.
	Seeds []string
	// GracePeriod is the time between the shutdown signal and SIGKILL.
	GracePeriod time.Duration
	// ConfigPropagationLimit is the time within which every daemon must apply a new configuration.
	ConfigPropagationLimit time.Duration
	// ServerDrainLimit is the time within which every daemon must stop sending to a backend
	// server that is leaving or whose entry was removed.
	ServerDrainLimit time.Duration
	RelayOptions     relay.Options
}

// Topics holds the names of the log's topics.
type Topics struct {
	// Operator holds configurations, roll-out orders and evacuations, Servers the entries
	// of backend servers, Status the phases of roll-outs, and Daemons the control
	// addresses of daemons and the held requests.
	Operator, Servers, Status, Daemons string
}

// OperatorRecord is a decoded record of the operator topic. Both fields are nil for a record
// of another kind.
type OperatorRecord struct {
	Table *route.Table
	Order *rollout.Order
}

// Evacuation is an operator's order to send no new requests to a failure domain.
type Evacuation struct {
	FailureDomain string
	// Revoked reports that the order's record was removed.
	Revoked bool
}

// RolloutStatus is the recorded phase of a roll-out.
type RolloutStatus struct {
	Service string
	// OrderOffset is the offset of the order's record, Target the version to roll out.
	OrderOffset uint64
	Target      string
	Phase       rollout.Phase
	// OrderAge is the age of the order when the phase was written.
	OrderAge time.Duration
}

// Codec encodes and decodes the platform's records.
type Codec interface {
	Topics() Topics
	DecodeOperator(r feed.Record) (OperatorRecord, error)
	// DecodeEvacuation returns false for a record of another kind.
	DecodeEvacuation(r feed.Record) (Evacuation, bool)
	// DecodeServer returns the server of an entry. The error is a *backend.InvalidEntryError.
	DecodeServer(r feed.Record) (backend.Server, error)
	// DecodeStatus returns false for a record of another kind.
	DecodeStatus(r feed.Record) (RolloutStatus, bool, error)
	// DecodeDaemon returns the control address in a daemon's entry.
	DecodeDaemon(r feed.Record) (string, error)
	EncodeStatus(o rollout.Order, p rollout.Phase, age time.Duration) (key string, value []byte, err error)
	EncodeDaemon(control string) ([]byte, error)
	// DecodeHold returns false for a record of another kind.
	DecodeHold(r feed.Record) (HoldRecord, bool, error)
	// EncodeHold returns a nil value for a released hold, which removes the record.
	EncodeHold(h HoldRecord) (key string, value []byte, err error)
}

// Dependencies are the external services that a Node uses.
type Dependencies struct {
	Log     feed.Log
	Codec   Codec
	Backend relay.Backend
	Metrics *relay.Metrics
	Logger  *log.Logger
	// Clients tracks the connections of clients; nil if there are none.
	Clients *clientconns.Tracker
	// BootTime reads a clock that keeps counting while the VM is suspended.
	BootTime func() time.Duration
	// PeerTransport calls other daemons; nil selects gossip.PeerTransport.
	PeerTransport gossip.Transport
	// CallForwarder forwards calls to other daemons; nil selects peer streams.
	CallForwarder CallForwarder
	// VerdictTransport asks other daemons about servers; nil selects peer calls.
	VerdictTransport VerdictTransport
	// PermitTransport asks other daemons for permits; nil selects peer calls.
	PermitTransport PermitTransport
}

// Node is one running daemon.
type Node struct {
	Relay *relay.Relay

	config      Config
	deps        Dependencies
	log         *log.Logger
	incarnation string
	topics      Topics
	state       *relay.State
	members     *gossip.Members
	// records answers other daemons' requests for records of the store.
	records    *gossip.RecordServer
	peerClient *peer.Client
	clients    *clientconns.Tracker
	peerServer *peer.Server
	// followers read the topics. Their order is that of gossip.Message.NextPositions.
	followers        []*feed.Follower
	operatorFollower *feed.Follower
	statusFollower   *feed.Follower
	daemonFollower   *feed.Follower
	placements       gossip.Placements
	// broadcast sends a message to some peers at once.
	broadcast func()
	// serversChanged reports that known servers changed in the entries applied last.
	serversChanged atomic.Bool
	// invalidEntries holds the server entries that could not be used.
	invalidEntries invalidEntries
	registered     atomic.Bool
	leaving        atomic.Bool
	// lastStoreContact is the boot time, in ns, at which this daemon sent its last read that
	// the store itself confirmed as current.
	lastStoreContact atomic.Int64
	// unansweredSince is the boot time, in ns, of the first unanswered call to the store;
	// zero once a call is answered.
	unansweredSince atomic.Int64
	// partitioned is set while the store responds to other daemons but not to this one.
	partitioned atomic.Bool
	// lastFallbackRead is the boot time, in ns, at which the store last confirmed a configuration whose
	// confirmation was overdue; zero if it never did.
	lastFallbackRead atomic.Int64
	// invalidReportLoggedAt is the boot time, in ns, of the last log line on an invalid report of load.
	invalidReportLoggedAt atomic.Int64
	// startedAt is the boot time at the start.
	startedAt time.Duration
	checkPlan freshness.Plan
	// roles holds the last logged roles; only maintainFreshness uses it.
	roles roles
	// eraChanges marks the subjects whose next records come from a restored store.
	eraChanges eraChanges
	// unlistedEvacuations are the evacuated failure domains that a restored store lacks. Only the
	// operator topic's follower uses it.
	unlistedEvacuations map[string]bool
	// newerConfig is the newest configuration that peers have and the store lacks.
	newerConfig newerConfig
	// storedHolds are the holds recorded in the store.
	storedHolds *storedHolds
	// deferred are confirmations by peers that have read further.
	deferred deferredConfirmations
	// behind holds the subject whose last check found unread records; only maintainFreshness
	// uses it.
	behind []freshness.Subject
	// nextCheckAt is the earliest time of the next store check; only maintainFreshness uses it.
	nextCheckAt time.Time
}

// New returns a daemon that is not running yet.
func New(ctx context.Context, config Config, deps Dependencies) *Node {
	n := &Node{config: config, deps: deps, log: deps.Logger, topics: deps.Codec.Topics(), checkPlan: newCheckPlan(config.ConfigPropagationLimit, config.ServerDrainLimit), invalidEntries: invalidEntries{}, startedAt: deps.BootTime(), storedHolds: newStoredHolds(), unlistedEvacuations: map[string]bool{}}
	n.incarnation = config.Name + "/" + strconv.FormatUint(rand.Uint64(), 36)
	n.state = relay.NewState(config.Name, config.FailureDomain, deps.BootTime)
	config.RelayOptions.ConfigPropagationLimit = config.ConfigPropagationLimit
	n.state.SetMaxFirstAge(config.ConfigPropagationLimit)
	n.Relay = relay.New(n.state, deps.Backend, config.RelayOptions, deps.Metrics, deps.Logger)
	n.peerClient = peer.NewClient(config.Name, "", nil)
	if n.clients = deps.Clients; n.clients == nil {
		n.clients = clientconns.New(tally.NoopScope, deps.Logger, func(*http.Request) string { return "" })
	}
	var peers gossip.Transport = gossip.PeerTransport{Client: n.peerClient}
	if deps.PeerTransport != nil {
		peers = deps.PeerTransport
	}
	self := gossip.Self{Name: config.Name, FailureDomain: config.FailureDomain, Address: config.ControlAddress, ClientAddress: config.ClientAddress, Incarnation: n.incarnation}
	n.members = gossip.New(self, n.buildMessage, peers, deps.BootTime, deps.Logger)
	n.members.OnMessage, n.members.OnWorkChanged = n.handleMessage, n.state.AddPeerWork
	n.members.QuarantineUpdate = n.Relay.Guard.Update
	n.members.ServerLimits = n.state.ServerLimits
	n.members.Departures = n.state.Departures
	n.members.TerminatedServers = n.state.TerminatedServers
	n.members.EngineSpeeds = n.state.EngineSpeedReport
	n.members.ModelLoad = n.Relay.OwnModelLoad
	n.members.EvidenceState = func() gossip.Evidence {
		active, alarms := n.Relay.Rollouts.Alarms()
		return gossip.Evidence{Active: active, Alarms: alarms}
	}
	n.records = gossip.NewRecordServer(n.recordsSince)
	n.Relay.ConfigOutdated = n.configOutdated
	n.Relay.Forwarder = n.newForwarder()
	n.Relay.Verdicts, n.Relay.Permits = n, n
	n.members.AddAddresses(config.Seeds...)
	n.broadcast = func() { n.members.Broadcast(ctx) }
	n.peerServer = peer.NewServer("")
	n.peerServer.Memory = n.Relay
	overloads := logs.NewLimiter()
	n.peerServer.OnOverload = func(from string) {
		deps.Metrics.RefusedForMemory.Inc(1)
		if allowed, omitted := overloads.Allow(); allowed {
			n.log.Warn("message of a daemon refused", "from", logs.Bounded(from), "why", "no memory", "omitted", omitted)
		}
	}
	n.peerServer.OnPanic = func(kind string, recovered any) {
		recovery.Report(recovered, n.deps.Metrics.Panics, n.log, "call", kind)
	}
	n.members.RegisterHandlers(n.peerServer, n.records)
	n.registerForwarding(n.peerServer)
	n.initFollowers()
	return n
}

// PeerServer returns the handler for calls from other daemons.
func (n *Node) PeerServer() *peer.Server { return n.peerServer }

// HandleExchange processes the gossip message of another daemon, and returns the response.
func (n *Node) HandleExchange(msg gossip.Message) gossip.Message {
	return n.members.HandleExchange(msg)
}

// HandleRecords answers another daemon's request for records of the store.
func (n *Node) HandleRecords(req gossip.RecordsRequest) gossip.RecordsResponse {
	return n.records.Handle(req)
}

// Run starts the daemon's loops, which stop with the context, and returns.
func (n *Node) Run(ctx context.Context) {
	for _, f := range n.followers {
		go f.Run(ctx)
	}
	for _, loop := range []func(context.Context){n.Relay.Run, n.members.Run, n.runRollouts, n.maintainFreshness, n.maintainRegistration, n.broadcastHolds, n.broadcastLimits, n.syncHolds, n.refreshSlowStartView, n.refreshEngineSpeeds} {
		go loop(ctx)
	}
	n.log.Info("started", "daemon", n.config.Name, "incarnation", n.incarnation, "front", n.config.ClientAddress, "control", n.config.ControlAddress)
}

// Leaving reports whether the daemon is shutting down.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// AddPeerAddresses adds possible control addresses of other daemons.
func (n *Node) AddPeerAddresses(addresses ...string) { n.members.AddAddresses(addresses...) }

// EachServer calls f for every usable server of a service.
func (n *Node) EachServer(service string, f func(id string)) { n.state.EachServer(service, f) }

// buildMessage returns this daemon's gossip message, optionally with roll-out evidence.
func (n *Node) buildMessage(evidence bool) gossip.Message {
	evaluator := n.isEvaluator()
	message := gossip.Message{
		Incarnation: n.incarnation, Name: n.config.Name, Address: n.config.ControlAddress, ClientAddress: n.config.ClientAddress,
		FailureDomain: n.config.FailureDomain, Ready: n.Ready(), Leaving: n.leaving.Load(), Eligible: n.eligible(),
		Orders: n.Relay.Rollouts.Reports(n.state.InFlightOnOtherVersions, evidence, evaluator), Ages: n.confirmationAges(), WantsEvidence: evaluator,
		OutOfReach: n.state.OutOfReach(), Terminations: n.state.Terminations(), ConcurrencyLimits: n.state.ConcurrencyLimits(),
	}
	for _, f := range n.followers {
		message.NextPositions = append(message.NextPositions, f.Next())
	}
	if !n.members.InOverlay() {
		// The work and the placements of few others say nothing of a large fleet's servers.
		message.Work = n.state.OwnWork()
		message.Placed, message.PlacedRound = n.placements.CurrentRound(n.state.DrainPlacements, time.Now())
	}
	message.WorkspaceWork = n.Relay.WorkspaceReport()
	message.ConfigVersion = n.configVersion()
	return message
}

// confirmationAges returns the age of each subject's newest confirmation in milliseconds, rounded up,
// so that a confirmation does not appear younger to the daemons that it is passed on to.
func (n *Node) confirmationAges() []int64 {
	out := make([]int64, freshness.Subjects)
	for subject := range freshness.Subjects {
		out[subject] = gossip.AgeUnknown
		if age, known := n.state.ConfirmationAge(subject); known {
			out[subject] = (age + time.Millisecond - 1).Milliseconds()
		}
	}
	return out
}

// handleMessage applies another daemon's message. After is a boot time before which the
// message was not built, or zero if that is unknown.
func (n *Node) handleMessage(message gossip.Message, after time.Duration) {
	for i, f := range n.followers {
		f.ObservePeerPosition(message.NextPosition(i))
	}
	n.observeConfigVersion(message)
	if after != 0 {
		n.applyPeerConfirmations(message, after)
	}
	n.Relay.Rollouts.ApplyReports(message.Incarnation, message.Orders)
	n.Relay.Guard.Merge(message.Quarantine)
	n.Relay.MergeServerLimits(message.ServerLimits)
	n.Relay.MergeDepartures(message.Departures)
	n.state.AddTerminatedServers(message.TerminatedServers)
	n.Relay.MergeTerminations(message.Terminations)
	n.Relay.MergeConcurrencyLimits(message.ConcurrencyLimits)
	n.Relay.MergeEngineSpeeds(message.Name, message.EngineSpeeds)
	if n.placements.MarkSeen(message.Incarnation, message.PlacedRound) {
		n.state.ApplyPlacements(message.Placed)
	}
	if !n.members.InOverlay() {
		n.state.RecordPeerReport()
	}
	n.applyModelLoad(message)
	n.state.SetDaemons(n.liveDaemons())
	n.Relay.MergeWorkspaceReport(message.Name, message.WorkspaceWork)
	n.Relay.Rollouts.ObserveDaemons(n.liveDaemons())
}

// SelectEndpoints returns up to limit addresses at which a client should connect.
func (n *Node) SelectEndpoints(c membership.Client, limit int) []string {
	own := membership.Endpoint{Address: n.config.ClientAddress, FailureDomain: n.config.FailureDomain, Ready: n.Ready(), Leaving: n.leaving.Load()}
	return membership.SelectEndpoints(append(n.members.Endpoints(), own), c, limit)
}
