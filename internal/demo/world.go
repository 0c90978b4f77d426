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

// domains are the failure domains of the smaller deployment.
var domains = []string{"kalgoorlie-hall", "perth-east", "perth-west", "bunbury-hall"}

// World is the platform, the backend servers and the daemons.
type World struct {
	Log      *standin.Log
	VMs      *standin.VMList
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	// Ended counts engines that a run has ended; they stay away.
	Ended     atomic.Int64
	Nodes     []Node
	Addresses []string
	Settings  []settings.Settings
	servers   []*standin.Server
	start     StartFunc
	http      *http.Client
}

// versions are loaded on every engine of the demo.
var versions = []string{"bib-lookup@v1", "bib-lookup@v2", "warrant-reader@v1"}

// NewWorld starts stand-ins and count daemons and applies the demo's
// configuration. A failed start leaves nothing running.
func NewWorld(count int, start StartFunc) (*World, error) {
	w := &World{
		Log: standin.NewLog(0), VMs: standin.NewVMList(0), Engines: map[string]*standin.Engine{},
		Services: map[string]*standin.Service{}, start: start, http: &http.Client{Timeout: 30 * time.Second},
	}
	if err := w.begin(count); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) begin(count int) error {
	var urls []string
	for _, h := range []http.Handler{w.Log, standin.NewRater(time.Second), w.VMs} {
		s, err := w.serve(h)
		if err != nil {
			return err
		}
		urls = append(urls, s.URL)
	}
	config, err := w.backends()
	if err != nil {
		return err
	}
	if err := w.daemons(count, urls); err != nil {
		return err
	}
	return w.Apply(config)
}

func (w *World) serve(h http.Handler) (*standin.Server, error) {
	s, err := standin.Serve(h)
	if err == nil {
		w.servers = append(w.servers, s)
	}
	return s, err
}

// EngineModel is the service-time model of the demo's engines.
var EngineModel = standin.EngineConfig{
	Slots: 8, PrefillPerToken: 40 * time.Microsecond, DecodePerToken: 2 * time.Millisecond,
	AnswerTokens: 24, ChecksFencing: true, LoadReportLag: 500 * time.Millisecond, CacheBlocks: 512,
}

const (
	// demoRatingShare is above the default, so that a short run gets ratings.
	demoRatingShare = 0.2
	engineCount     = 10
	serviceCount    = 4
	// enginePool and servicePool are the pools of the demo.
	enginePool, servicePool = "lm-desk", "trade-apps"
)

// backends starts the backend servers and returns the configuration that names them.
func (w *World) backends() (fleet.Patch, error) {
	var engines, services []fleet.Server
	for i := range engineCount {
		id := fmt.Sprintf("%s-%d", enginePool, i)
		w.Engines[id] = standin.NewEngine(EngineModel, versions...)
		s, err := w.serve(w.Engines[id])
		if err != nil {
			return fleet.Patch{}, err
		}
		w.Engines[id].OnCrash(func() {
			w.Ended.Add(1)
			s.Close()
		})
		engines = append(engines, fleet.Server{ID: id, Address: s.Address, FailureDomain: domains[i%len(domains)], Slots: EngineModel.Slots, ChecksFencing: true})
	}
	for i := range serviceCount {
		id := fmt.Sprintf("%s-%d", servicePool, i)
		w.Services[id] = standin.NewService()
		s, err := w.serve(w.Services[id])
		if err != nil {
			return fleet.Patch{}, err
		}
		services = append(services, fleet.Server{ID: id, Address: s.Address, FailureDomain: domains[i%len(domains)], Slots: 16})
	}
	return patch(engines, services), nil
}

func raw(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func patch(engines, services []fleet.Server) fleet.Patch {
	goal := fleet.Objectives{Availability: 0.999, FirstTokenMillis: 1500, FirstTokenFraction: 0.95}
	workspace := func(key string) fleet.Workspace {
		return fleet.Workspace{
			KeyHashes: []string{fleet.HashAPIKey(key)}, Models: []string{"bib-lookup", "warrant-reader"},
			Cascades: []string{"desk"}, Services: []string{"confirm"}, TokensPerMinute: 10_000_000, Objectives: goal,
		}
	}
	return fleet.Patch{
		Pools: map[string]json.RawMessage{enginePool: raw(fleet.Pool{Servers: engines}), servicePool: raw(fleet.Pool{Servers: services})},
		Models: map[string]json.RawMessage{
			"bib-lookup": raw(fleet.Model{Stable: "v1", Versions: map[string]fleet.Version{
				"v1": {Pool: enginePool, MicrosPerKiloToken: 100}, "v2": {Pool: enginePool, MicrosPerKiloToken: 80},
			}}),
			"warrant-reader": raw(fleet.Model{Stable: "v1", Versions: map[string]fleet.Version{"v1": {Pool: enginePool, MicrosPerKiloToken: 1500}}}),
		},
		Cascades: map[string]json.RawMessage{"desk": raw(fleet.Cascade{Steps: []string{"bib-lookup", "warrant-reader"}, QualityTarget: 0.9})},
		Services: map[string]json.RawMessage{"confirm": raw(fleet.Service{Pool: servicePool, NonRepeatable: true, Micros: 50})},
		Workspaces: map[string]json.RawMessage{
			Goldfields: raw(workspace(Key(Goldfields))), Largada: raw(workspace(Key(Largada))),
		},
	}
}

// Names of the demo's workspaces.
const (
	Goldfields = "goldfields-desk"
	Largada    = "largada-sul"
)

// Key returns the API key of one of the demo's workspaces.
func Key(workspace string) string { return "key-of-" + workspace }

func (w *World) daemons(count int, urls []string) error {
	free, err := freeAddresses(2 * count)
	if err != nil {
		return err
	}
	callers, peers := free[:count], free[count:]
	for i := range count {
		s := settings.Defaults()
		s.ID, s.Region, s.FailureDomain = fmt.Sprintf("router-%d", i), "wa-south", domains[i%len(domains)]
		s.Listen, s.PeerListen, s.Peers = callers[i], peers[i], peers
		s.Log, s.Rating, s.VMList, s.RatingShare = urls[0], urls[1], urls[2], demoRatingShare
		s.EndpointTTL, s.DrainGrace = settings.Duration(500*time.Millisecond), settings.Duration(2*time.Second)
		s.Silence = settings.Duration(time.Second)
		w.Settings = append(w.Settings, s)
		w.Addresses = append(w.Addresses, s.Listen)
		n, err := w.start(s, Secrets)
		if err != nil {
			return err
		}
		w.Nodes = append(w.Nodes, n)
	}
	return w.ready()
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

// ready waits until every daemon serves.
func (w *World) ready() error {
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

// Apply sends a patch against the number in force and waits until every daemon
// has it.
func (w *World) Apply(p fleet.Patch) error {
	var c fleet.Config
	if err := w.Operator(http.MethodGet, "/config", nil, &c); err != nil {
		return err
	}
	rec := fleet.Record{PatchID: daemon.NewRequestID(), Base: c.Number, Author: "demo", Patch: raw(p)}
	if err := w.Operator(http.MethodPost, "/patches", rec, nil); err != nil {
		return err
	}
	for tries := range 100 {
		if w.lowest() > c.Number {
			return nil
		}
		time.Sleep(time.Duration(tries) * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not in force everywhere", c.Number+1)
}

func (w *World) lowest() uint64 {
	low := ^uint64(0)
	for _, a := range w.Addresses {
		var c fleet.Config
		if w.operatorAt(a, http.MethodGet, "/config", nil, &c) == nil {
			low = min(low, c.Number)
		}
	}
	return low
}

// Operator calls an operators' resource of the first daemon.
func (w *World) Operator(method, path string, in, out any) error {
	return w.operatorAt(w.Addresses[0], method, path, in, out)
}

func (w *World) operatorAt(address, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		body = bytes.NewReader(raw(in))
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
func (w *World) Restart(ctx context.Context, i int) error {
	if err := w.Nodes[i].Shutdown(ctx); err != nil {
		return err
	}
	return w.Revive(i)
}

// Kill ends a daemon at once, as the loss of its VM does.
func (w *World) Kill(i int) { w.Nodes[i].Kill() }

// Revive starts a fresh daemon in the place of a killed one and waits until it
// serves.
func (w *World) Revive(i int) error {
	n, err := w.start(w.Settings[i], Secrets)
	if err != nil {
		return err
	}
	w.Nodes[i] = n
	return w.ready()
}

// OperatorAt calls an operators' resource of one daemon.
func (w *World) OperatorAt(i int, method, path string, in, out any) error {
	return w.operatorAt(w.Addresses[i], method, path, in, out)
}

// Close ends everything.
func (w *World) Close() {
	for _, n := range w.Nodes {
		n.Kill()
	}
	for _, s := range w.servers {
		s.Close()
	}
}
