// Package demo runs the whole system in one process: six daemons, stand-ins for
// the platform and the backend servers, and traffic of two operators' kinds,
// while a version goes bad. It ends with a report.
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

// Node is a started daemon.
type Node interface {
	Shutdown(ctx context.Context) error
	Kill()
}

// StartFunc starts a daemon from settings.
type StartFunc func(s settings.Settings, secrets settings.Secrets) (Node, error)

// Secrets are fixed keys for the demo and for tests; no deployment uses them.
var Secrets = settings.Secrets{
	PeerKey: "demo-peer-key-0123456789", OperatorKey: "demo-operator-key-0123456789",
	SessionCurrent: "k1", SessionKeys: map[string]string{"k1": "demo-session-key-0123456789"},
}

// failureDomains are the failure domains of the smaller deployment.
var failureDomains = []string{"kalgoorlie-hall", "perth-east", "perth-west", "bunbury-hall"}

// Cluster is the platform, the backend servers and the daemons.
type Cluster struct {
	Log      *standin.Log
	VMs      *standin.VMList
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Plain
	// CrashedEngines counts engines that a run has ended; they stay away.
	CrashedEngines atomic.Int64
	Nodes          []Node
	Addresses      []string
	Settings       []settings.Settings
	servers        []*standin.Server
	startNode      StartFunc
	http           *http.Client
}

// loadedVersions are loaded on every engine of the demo.
var loadedVersions = []string{"bib-lookup@v1", "bib-lookup@v2", "warrant-reader@v1"}

// NewCluster starts stand-ins and count daemons and applies the demo's
// configuration. A failed start leaves nothing running.
func NewCluster(count int, start StartFunc) (*Cluster, error) {
	w := &Cluster{
		Log: standin.NewLog(0), VMs: standin.NewVMList(0), Engines: map[string]*standin.Engine{},
		Services: map[string]*standin.Plain{}, startNode: start, http: &http.Client{Timeout: 30 * time.Second},
	}
	if err := w.startAll(count); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *Cluster) startAll(count int) error {
	var urls []string
	for _, h := range []http.Handler{w.Log, standin.NewRater(time.Second), w.VMs} {
		s, err := w.serve(h)
		if err != nil {
			return err
		}
		urls = append(urls, s.URL)
	}
	config, err := w.startBackends()
	if err != nil {
		return err
	}
	if err := w.startDaemons(count, urls); err != nil {
		return err
	}
	return w.ApplyPatch(config)
}

func (w *Cluster) serve(h http.Handler) (*standin.Server, error) {
	s, err := standin.Serve(h)
	if err == nil {
		w.servers = append(w.servers, s)
	}
	return s, err
}

// EngineConfig is the service-time model of the demo's engines.
var EngineConfig = standin.EngineConfig{
	Slots: 8, Prefill: 40 * time.Microsecond, PerToken: 2 * time.Millisecond,
	AnswerTokens: 24, ChecksFencing: true, Lag: 500 * time.Millisecond, CacheBlocks: 512,
}

const (
	// ratingShare is above the default, so that a short run gets ratings.
	ratingShare  = 0.2
	engineCount  = 10
	serviceCount = 4
	// enginePool and servicePool are the pools of the demo.
	enginePool, servicePool = "lm-desk", "trade-apps"
)

// startBackends starts the backend servers and returns the configuration that names them.
func (w *Cluster) startBackends() (fleet.Patch, error) {
	var engines, services []fleet.Server
	for i := range engineCount {
		id := fmt.Sprintf("%s-%d", enginePool, i)
		w.Engines[id] = standin.NewEngine(EngineConfig, loadedVersions...)
		s, err := w.serve(w.Engines[id])
		if err != nil {
			return fleet.Patch{}, err
		}
		w.Engines[id].OnDeadly(func() {
			w.CrashedEngines.Add(1)
			s.Close()
		})
		engines = append(engines, fleet.Server{ID: id, Address: s.Address, FailureDomain: failureDomains[i%len(failureDomains)], Slots: EngineConfig.Slots, ChecksFencing: true})
	}
	for i := range serviceCount {
		id := fmt.Sprintf("%s-%d", servicePool, i)
		w.Services[id] = standin.NewPlain()
		s, err := w.serve(w.Services[id])
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

// Names of the demo's workspaces.
const (
	Goldfields = "goldfields-desk"
	Largada    = "largada-sul"
)

// APIKey returns the API key of one of the demo's workspaces.
func APIKey(workspace string) string { return "key-of-" + workspace }

func (w *Cluster) startDaemons(count int, urls []string) error {
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
		w.Settings = append(w.Settings, s)
		w.Addresses = append(w.Addresses, s.ListenAddress)
		n, err := w.startNode(s, Secrets)
		if err != nil {
			return err
		}
		w.Nodes = append(w.Nodes, n)
	}
	return w.waitReady()
}

// freeAddresses finds loopback addresses that nothing listens on. All are held
// until the last is found, so that none is given twice.
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

// waitReady waits until every daemon serves.
func (w *Cluster) waitReady() error {
	for _, a := range w.Addresses {
		for tries := 0; ; tries++ {
			resp, err := w.http.Get("http://" + a + "/healthz")
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

// ApplyPatch sends a patch against the number in force and waits until every daemon
// has it.
func (w *Cluster) ApplyPatch(p fleet.Patch) error {
	var c fleet.Config
	if err := w.CallOperator(http.MethodGet, "/config", nil, &c); err != nil {
		return err
	}
	rec := fleet.Record{PatchID: daemon.NewRequestID(), Base: c.Number, Author: "demo", Patch: mustMarshal(p)}
	if err := w.CallOperator(http.MethodPost, "/patches", rec, nil); err != nil {
		return err
	}
	for tries := range 100 {
		if w.lowestConfigNumber() > c.Number {
			return nil
		}
		time.Sleep(time.Duration(tries) * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not in force everywhere", c.Number+1)
}

func (w *Cluster) lowestConfigNumber() uint64 {
	lowest := ^uint64(0)
	for _, a := range w.Addresses {
		var c fleet.Config
		if w.callOperator(a, http.MethodGet, "/config", nil, &c) == nil {
			lowest = min(lowest, c.Number)
		}
	}
	return lowest
}

// CallOperator calls an operators' resource of the first daemon.
func (w *Cluster) CallOperator(method, path string, in, out any) error {
	return w.callOperator(w.Addresses[0], method, path, in, out)
}

func (w *Cluster) callOperator(address, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		body = bytes.NewReader(mustMarshal(in))
	}
	req, err := http.NewRequest(method, "http://"+address+"/operator/v1"+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+Secrets.OperatorKey)
	resp, err := w.http.Do(req)
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

// Restart replaces a daemon gracefully at the same addresses.
func (w *Cluster) Restart(ctx context.Context, i int) error {
	if err := w.Nodes[i].Shutdown(ctx); err != nil {
		return err
	}
	return w.Start(i)
}

// Kill ends a daemon at once, as the loss of its VM does.
func (w *Cluster) Kill(i int) { w.Nodes[i].Kill() }

// Start starts a fresh daemon in the place of a killed one and waits until it
// serves.
func (w *Cluster) Start(i int) error {
	n, err := w.startNode(w.Settings[i], Secrets)
	if err != nil {
		return err
	}
	w.Nodes[i] = n
	return w.waitReady()
}

// CallOperatorAt calls an operators' resource of one daemon.
func (w *Cluster) CallOperatorAt(i int, method, path string, in, out any) error {
	return w.callOperator(w.Addresses[i], method, path, in, out)
}

// Close ends everything.
func (w *Cluster) Close() {
	for _, n := range w.Nodes {
		n.Kill()
	}
	for _, s := range w.servers {
		s.Close()
	}
}
