// Package demo runs daemons, stand-ins for the platform and the backend servers, and
// client traffic in one process. The demo rolls out a model version that starts to
// fail, and prints a report.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/damaskrudder/damaskrudder/internal/daemon"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/settings"
	"github.com/damaskrudder/damaskrudder/internal/standin"
)

// Node is a running daemon.
type Node interface {
	Shutdown(ctx context.Context) error
	Kill()
}

// StartFunc starts a daemon.
type StartFunc func(s settings.Settings, secrets settings.Secrets) (Node, error)

// Secrets holds fixed keys for the demo and for tests.
var Secrets = settings.Secrets{
	PeerKey: "demo-peer-key-0123456789", OperatorKey: "demo-operator-key-0123456789",
	SessionCurrent: "k1", SessionKeys: map[string]string{"k1": "demo-session-key-0123456789"},
}

// failureDomains lists the failure domains; daemons and servers alternate between them.
var failureDomains = []string{"kalgoorlie-hall", "perth-east", "perth-west", "bunbury-hall"}

// Cluster runs daemons with stand-ins for the platform and the backend servers.
type Cluster struct {
	Log      *standin.Log
	VMs      *standin.VMList
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	// CrashedEngines counts the engines that a request has crashed. They are not
	// restarted.
	CrashedEngines atomic.Int64
	Nodes          []Node
	Addresses      []string
	Settings       []settings.Settings
	servers        []*standin.Server
	startNode      StartFunc
	http           *http.Client
}

// loadedVersions lists the model versions that are loaded on every engine.
var loadedVersions = []string{"bib-lookup@v1", "bib-lookup@v2", "warrant-reader@v1"}

// NewCluster starts the stand-ins and count daemons and applies the demo's
// configuration. On an error it stops what it has started.
func NewCluster(count int, start StartFunc) (*Cluster, error) {
	c := &Cluster{
		Log: standin.NewLog(0), VMs: standin.NewVMList(0), Engines: map[string]*standin.Engine{},
		Services: map[string]*standin.Service{}, startNode: start, http: &http.Client{Timeout: 30 * time.Second},
	}
	if err := c.startAll(count); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startAll(count int) error {
	var urls []string
	for _, h := range []http.Handler{c.Log, standin.NewRatingService(time.Second), c.VMs} {
		s, err := c.serve(h)
		if err != nil {
			return err
		}
		urls = append(urls, s.URL)
	}
	config, err := c.startBackends()
	if err != nil {
		return err
	}
	if err := c.startDaemons(count, urls); err != nil {
		return err
	}
	return c.ApplyPatch(config)
}

func (c *Cluster) serve(h http.Handler) (*standin.Server, error) {
	s, err := standin.Serve(h)
	if err == nil {
		c.servers = append(c.servers, s)
	}
	return s, err
}

// EngineConfig is the configuration of the demo's engines.
var EngineConfig = standin.EngineConfig{
	Slots: 8, PrefillPerToken: 40 * time.Microsecond, DecodePerToken: 2 * time.Millisecond,
	CompletionTokens: 24, ChecksFencing: true, LoadReportLag: 500 * time.Millisecond, CacheBlocks: 512,
}

const (
	// ratingShare is higher than the default so that a short demo receives ratings.
	ratingShare             = 0.2
	engineCount             = 10
	serviceCount            = 4
	enginePool, servicePool = "lm-desk", "trade-apps"
)

// startBackends starts the backend servers and returns the initial configuration.
func (c *Cluster) startBackends() (fleet.Patch, error) {
	var engines, services []fleet.Server
	for i := range engineCount {
		id := fmt.Sprintf("%s-%d", enginePool, i)
		c.Engines[id] = standin.NewEngine(EngineConfig, loadedVersions...)
		s, err := c.serve(c.Engines[id])
		if err != nil {
			return fleet.Patch{}, err
		}
		c.Engines[id].OnCrash(func() {
			c.CrashedEngines.Add(1)
			s.Close()
		})
		engines = append(engines, fleet.Server{ID: id, Address: s.Address, FailureDomain: failureDomains[i%len(failureDomains)], Slots: EngineConfig.Slots, ChecksFencing: true})
	}
	for i := range serviceCount {
		id := fmt.Sprintf("%s-%d", servicePool, i)
		c.Services[id] = standin.NewService()
		s, err := c.serve(c.Services[id])
		if err != nil {
			return fleet.Patch{}, err
		}
		services = append(services, fleet.Server{ID: id, Address: s.Address, FailureDomain: failureDomains[i%len(failureDomains)], Slots: 16})
	}
	return initialPatch(engines, services), nil
}

func mustMarshal(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func initialPatch(engines, services []fleet.Server) fleet.Patch {
	objectives := fleet.Objectives{Availability: 0.999, FirstTokenMillis: 1500, FirstTokenFraction: 0.95}
	workspace := func(key string) fleet.Workspace {
		return fleet.Workspace{
			KeyHashes: []string{fleet.HashAPIKey(key)}, Models: []string{"bib-lookup", "warrant-reader"},
			Cascades: []string{"desk"}, Services: []string{"confirm"}, TokensPerMinute: 10_000_000, Objectives: objectives,
		}
	}
	return fleet.Patch{
		Pools: map[string]json.RawMessage{enginePool: mustMarshal(fleet.Pool{Servers: engines}), servicePool: mustMarshal(fleet.Pool{Servers: services})},
		Models: map[string]json.RawMessage{
			"bib-lookup": mustMarshal(fleet.Model{Stable: "v1", Versions: map[string]fleet.Version{
				"v1": {Pool: enginePool, MicrosPerKiloToken: 100}, "v2": {Pool: enginePool, MicrosPerKiloToken: 80},
			}}),
			"warrant-reader": mustMarshal(fleet.Model{Stable: "v1", Versions: map[string]fleet.Version{"v1": {Pool: enginePool, MicrosPerKiloToken: 1500}}}),
		},
		Cascades: map[string]json.RawMessage{"desk": mustMarshal(fleet.Cascade{Steps: []string{"bib-lookup", "warrant-reader"}, QualityTarget: 0.9})},
		Services: map[string]json.RawMessage{"confirm": mustMarshal(fleet.Service{Pool: servicePool, NonRepeatable: true, Micros: 50})},
		Workspaces: map[string]json.RawMessage{
			Goldfields: mustMarshal(workspace(APIKey(Goldfields))), Largada: mustMarshal(workspace(APIKey(Largada))),
		},
	}
}

// The demo's workspaces.
const (
	Goldfields = "goldfields-desk"
	Largada    = "largada-sul"
)

// APIKey returns the API key of one of the demo's workspaces.
func APIKey(workspace string) string { return "key-of-" + workspace }

func (c *Cluster) startDaemons(count int, urls []string) error {
	addresses, err := freeAddresses(2 * count)
	if err != nil {
		return err
	}
	callers, peers := addresses[:count], addresses[count:]
	for i := range count {
		s := settings.Defaults()
		s.ID, s.Region, s.FailureDomain = fmt.Sprintf("router-%d", i), "wa-south", failureDomains[i%len(failureDomains)]
		s.ListenAddress, s.PeerListenAddress, s.Peers = callers[i], peers[i], peers
		s.LogURL, s.RatingURL, s.VMListURL, s.RatingShare = urls[0], urls[1], urls[2], ratingShare
		s.EndpointTTL, s.DrainGrace = settings.Duration(500*time.Millisecond), settings.Duration(2*time.Second)
		s.StreamIdleTimeout = settings.Duration(time.Second)
		c.Settings = append(c.Settings, s)
		c.Addresses = append(c.Addresses, s.ListenAddress)
		n, err := c.startNode(s, Secrets)
		if err != nil {
			return err
		}
		c.Nodes = append(c.Nodes, n)
	}
	return c.waitReady()
}

// freeAddresses returns n unused loopback addresses. It keeps all ports open until
// the last one is found, so that none is returned twice.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// waitReady waits until the health check of every daemon succeeds.
func (c *Cluster) waitReady() error {
	for _, a := range c.Addresses {
		for tries := 0; ; tries++ {
			resp, err := c.http.Get("http://" + a + "/healthz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusNoContent {
					break
				}
			}
			if tries > 200 {
				return fmt.Errorf("daemon at %s is not ready", a)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ApplyPatch submits a patch against the current configuration and waits until every
// daemon has applied it.
func (c *Cluster) ApplyPatch(p fleet.Patch) error {
	var config fleet.Config
	if err := c.CallOperator(http.MethodGet, "/config", nil, &config); err != nil {
		return err
	}
	rec := fleet.Record{PatchID: daemon.NewRequestID(), Base: config.Number, Author: "demo", Patch: mustMarshal(p)}
	if err := c.CallOperator(http.MethodPost, "/patches", rec, nil); err != nil {
		return err
	}
	for tries := range 100 {
		if c.lowestConfigNumber() > config.Number {
			return nil
		}
		time.Sleep(time.Duration(tries) * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not in force everywhere", config.Number+1)
}

// lowestConfigNumber returns the lowest configuration number of the reachable daemons.
func (c *Cluster) lowestConfigNumber() uint64 {
	lowest := ^uint64(0)
	for _, a := range c.Addresses {
		var config fleet.Config
		if c.callOperatorAPI(a, http.MethodGet, "/config", nil, &config) == nil {
			lowest = min(lowest, config.Number)
		}
	}
	return lowest
}

// CallOperator calls the operator API of the first daemon. It decodes the response
// into out unless out is nil.
func (c *Cluster) CallOperator(method, path string, in, out any) error {
	return c.callOperatorAPI(c.Addresses[0], method, path, in, out)
}

func (c *Cluster) callOperatorAPI(address, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		body = bytes.NewReader(mustMarshal(in))
	}
	req, err := http.NewRequest(method, "http://"+address+"/operator/v1"+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+Secrets.OperatorKey)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

// Restart shuts a daemon down gracefully and starts it again at the same addresses.
func (c *Cluster) Restart(ctx context.Context, i int) error {
	if err := c.Nodes[i].Shutdown(ctx); err != nil {
		return err
	}
	return c.Start(i)
}

// Kill stops a daemon without a graceful shutdown.
func (c *Cluster) Kill(i int) { c.Nodes[i].Kill() }

// Start starts a stopped daemon again at the same addresses and waits until all
// daemons are ready.
func (c *Cluster) Start(i int) error {
	n, err := c.startNode(c.Settings[i], Secrets)
	if err != nil {
		return err
	}
	c.Nodes[i] = n
	return c.waitReady()
}

// CallOperatorAt calls the operator API of daemon i like CallOperator.
func (c *Cluster) CallOperatorAt(i int, method, path string, in, out any) error {
	return c.callOperatorAPI(c.Addresses[i], method, path, in, out)
}

// Close kills the daemons and stops the stand-ins.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		n.Kill()
	}
	for _, s := range c.servers {
		s.Close()
	}
}
