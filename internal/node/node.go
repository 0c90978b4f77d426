// Package node is one daemon that serves opaque requests: it joins the relay, the
// reading of the platform's log and the word of other daemons, and decides when it is
// ready, who reads the log for all, when roll-outs go on, and how it leaves. What the
// log's records mean is the platform's to say, through a Translator.
package node

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/damaskrudder/damaskrudder/internal/backend"
	"github.com/damaskrudder/damaskrudder/internal/feed"
	"github.com/damaskrudder/damaskrudder/internal/freshness"
	"github.com/damaskrudder/damaskrudder/internal/gossip"
	"github.com/damaskrudder/damaskrudder/internal/membership"
	"github.com/damaskrudder/damaskrudder/internal/peer"
	"github.com/damaskrudder/damaskrudder/internal/relay"
	"github.com/damaskrudder/damaskrudder/internal/rollout"
	"github.com/damaskrudder/damaskrudder/internal/route"
)

// Config is what the deployment says of one daemon.
type Config struct {
	// Name stays the same over restarts.
	Name          string
	FailureDomain string
	// ClientAddress is where callers connect, and Control where other daemons do.
	ClientAddress, ControlAddress string
	// Seeds are control addresses of other daemons; they may be stale.
	Seeds []string
	// GracePeriod is the time from the word to leave to the end of the process.
	GracePeriod time.Duration
	// ConfigPropagationLimit is the time within which a configuration must be in force everywhere.
	ConfigPropagationLimit time.Duration
	// ServerDrainLimit is the time within which a backend server that has said that it leaves, or
	// whose entry is gone, must get nothing new.
	ServerDrainLimit time.Duration
	RelayOptions     relay.Options
}

// Topics name the log's topics.
type Topics struct {
	// Operator holds configurations and roll-out orders, Servers the backend
	// servers, Status how far roll-outs are, Daemons where daemons are and which
	// requests are held.
	Operator, Servers, Status, Daemons string
}

// OperatorRecord is what one of the operator's records says; both fields are nil for a
// record that is about something else.
type OperatorRecord struct {
	Table *route.Table
	Order *rollout.Order
}

// Evacuation is the operator's order that the servers of a failure domain get nothing new.
type Evacuation struct {
	FailureDomain string
	// Revoked says that the order was taken back: its record was removed.
	Revoked bool
}

// RolloutStatus is how far an order had come when it was written.
type RolloutStatus struct {
	Service string
	// OrderOffset is the position of the order, and Target the version that it names.
	OrderOffset uint64
	Target      string
	Phase       rollout.Phase
	// OrderAge is the time from the order to the writing.
	OrderAge time.Duration
}

// Translator knows how the platform writes records.
type Translator interface {
	Topics() Topics
	Operator(r feed.Record) (OperatorRecord, error)
	// Evacuation returns false for a record that is about something else.
	Evacuation(r feed.Record) (Evacuation, bool)
	// Server returns what a server says of itself, or a *backend.BadEntry.
	Server(r feed.Record) (backend.Server, error)
	// Status returns false for a record that is about something else.
	Status(r feed.Record) (RolloutStatus, bool, error)
	// Daemon returns the control address that a daemon's entry holds.
	Daemon(r feed.Record) (string, error)
	EncodeStatus(o rollout.Order, p rollout.Phase, since time.Duration) (key string, value []byte, err error)
	EncodeDaemon(control string) ([]byte, error)
	// Held returns false for a record that is about something else.
	Held(r feed.Record) (HoldRecord, bool, error)
	// EncodeHeld returns no value for a request that is released: the record is removed.
	EncodeHeld(h HoldRecord) (key string, value []byte, err error)
}

// Dependencies are the daemon's connections to its surroundings.
type Dependencies struct {
	Log     feed.Log
	Codec   Translator
	Backend relay.Backend
	Metrics *relay.Metrics
	Logger  *log.Logger
	// BootTime reads a clock that counts while the VM is suspended.
	BootTime func() time.Duration
	// Peers calls other daemons; nil calls them over the network.
	Peers gossip.Transport
}

// Node is one daemon.
type Node struct {
	Relay *relay.Relay

	config      Config
	ports       Dependencies
	log         *log.Logger
	incarnation string
	topics      Topics
	state       *relay.State
	members     *gossip.Members
	links       *peer.Client
	// followers read the topics, in the order in which pulses tell how far.
	followers  []*feed.Follower
	operators  *feed.Follower
	statuses   *feed.Follower
	others     *feed.Follower
	placements gossip.Placements
	// faults are the entries of servers that cannot be used.
	faults   faults
	enrolled atomic.Bool
	leaving  atomic.Bool
	// ownContact is the boot clock's reading when the newest read was sent that
	// the log itself answered and that found this daemon current.
	ownContact atomic.Int64
	// unanswered is the boot clock's reading when the store first did not answer a call
	// of this daemon, or zero since it has answered one.
	unanswered atomic.Int64
	// cutOff says that the store did not answer this daemon while it answered another.
	cutOff atomic.Bool
	// stoodIn is the boot clock's reading when the store last answered this daemon after
	// nobody had confirmed configurations for too long, or zero.
	stoodIn atomic.Int64
	// born is the boot clock's reading at the start.
	born time.Duration
	plan freshness.Plan
	// roles are those that were logged last; only lookAfter uses them.
	roles roles
	// returned says which subjects a store that came back from an older copy tells next.
	returned returned
	// outdated is the newest configuration that others have and the store does not.
	outdated outdated
	// stored are the held requests that the store tells of.
	stored *storedHolds
	// lookFrom is when the store may be looked at again; only lookAfter uses it.
	lookFrom time.Time
}

// New returns a daemon that is not running yet.
func New(ctx context.Context, c Config, p Dependencies) *Node {
	n := &Node{config: c, ports: p, log: p.Logger, topics: p.Codec.Topics(), plan: upkeep(c.ConfigPropagationLimit, c.ServerDrainLimit), faults: faults{}, born: p.BootTime(), stored: newStoredHolds()}
	n.incarnation = c.Name + "/" + strconv.FormatUint(rand.Uint64(), 36)
	n.state = relay.NewState(c.Name, c.FailureDomain, p.BootTime)
	n.Relay = relay.New(n.state, p.Backend, c.RelayOptions, p.Metrics, p.Logger)
	n.links = peer.NewClient(c.Name, "", nil)
	var peers gossip.Transport = gossip.PeerTransport{Client: n.links}
	if p.Peers != nil {
		peers = p.Peers
	}
	n.members = gossip.New(c.Name, c.ControlAddress, n.incarnation, n.pulse, peers, p.BootTime, p.Logger)
	n.members.OnMessage, n.members.OnWorkChanged = n.onPulse, n.state.AddPeerWork
	n.members.QuarantineUpdate = n.Relay.Guard.Update
	n.Relay.ConfigOutdated = n.isOutdated
	n.members.AddAddresses(c.Seeds...)
	n.prepare(ctx)
	return n
}

// PeerServer returns the handler for other daemons.
func (n *Node) PeerServer() *peer.Server {
	s := peer.NewServer("")
	n.members.RegisterHandlers(s, n.recordsSince)
	return s
}

// Run starts the daemon's loops; they end with the context.
func (n *Node) Run(ctx context.Context) {
	for _, f := range n.followers {
		go f.Run(ctx)
	}
	for _, loop := range []func(context.Context){n.Relay.Run, n.members.Run, n.decide, n.lookAfter, n.enroll, n.broadcastHolds, n.keepHolds, n.viewPeers} {
		go loop(ctx)
	}
	n.log.Info("started", "daemon", n.config.Name, "incarnation", n.incarnation, "front", n.config.ClientAddress, "control", n.config.ControlAddress)
}

// Leaving reports whether the daemon is leaving.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// AddPeerAddresses adds addresses at which daemons may be.
func (n *Node) AddPeerAddresses(addresses ...string) { n.members.AddAddresses(addresses...) }

// EachServer calls f for every server of a service that may get requests.
func (n *Node) EachServer(service string, f func(id string)) { n.state.EachServer(service, f) }

// pulse is what this daemon tells another, with its evidence on new versions or without.
func (n *Node) pulse(evidence bool) gossip.Message {
	judge := n.judges()
	p := gossip.Message{
		Incarnation: n.incarnation, Name: n.config.Name, Address: n.config.ControlAddress, ClientAddress: n.config.ClientAddress,
		FailureDomain: n.config.FailureDomain, Ready: n.Ready(), Leaving: n.leaving.Load(), Eligible: n.able(),
		Work: n.state.OwnWork(), Orders: n.Relay.Rollouts.Reports(n.state.InFlightOnOtherVersions, evidence, judge), Ages: n.ages(), WantsEvidence: judge,
	}
	for _, f := range n.followers {
		p.NextPositions = append(p.NextPositions, f.Next())
	}
	p.Placed, p.PlacedRound = n.placements.CurrentRound(n.state.DrainPlacements, time.Now())
	p.ConfigVersion = n.version()
	return p
}

// ages returns the ages of the newest confirmations in milliseconds, for other daemons.
func (n *Node) ages() []int64 {
	out := make([]int64, freshness.Subjects)
	for about := range freshness.Subjects {
		out[about] = gossip.AgeUnknown
		if age, known := n.state.ConfirmationAge(about); known {
			out[about] = age.Milliseconds()
		}
	}
	return out
}

// onPulse takes another daemon's pulse, made after a reading of the boot clock, or
// zero if none is known.
func (n *Node) onPulse(p gossip.Message, after time.Duration) {
	for i, f := range n.followers {
		f.ObservePeerPosition(p.NextPosition(i))
	}
	n.noteNewer(p)
	if after != 0 {
		n.confirmedBy(p, after)
	}
	n.Relay.Rollouts.ApplyReports(p.Incarnation, p.Orders)
	n.Relay.Guard.Merge(p.Quarantine)
	if n.placements.MarkSeen(p.Incarnation, p.PlacedRound) {
		n.state.ApplyPlacements(p.Placed)
	}
	n.state.SetDaemons(n.daemons())
}

// SelectEndpoints lists up to most addresses at which a caller should connect.
func (n *Node) SelectEndpoints(c membership.Client, most int) []string {
	own := membership.Endpoint{Address: n.config.ClientAddress, FailureDomain: n.config.FailureDomain, Ready: n.Ready(), Leaving: n.leaving.Load()}
	return membership.SelectEndpoints(append(n.members.Endpoints(), own), c, most)
}
