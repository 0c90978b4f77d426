package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/damaskrudder/damaskrudder/internal/ctl"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/fleet"
	"github.com/damaskrudder/damaskrudder/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"damaskrudder": main,
		"rudderctl":    func() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

// TestDaemonProcesses runs daemons as separate processes against fake services in the test
// process.
func TestDaemonProcesses(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/processes",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ready":   waitReady,
			"inforce": waitConfiguration,
			"chat":    sendChat,
		},
	})
}

const apiKey = "key-of-the-test"

func setup(env *testscript.Env) error {
	log, err := standin.Serve(standin.NewLog(0))
	if err != nil {
		return err
	}
	env.Defer(log.Close)
	engine, err := standin.Serve(standin.NewEngine(demo.EngineConfig, "m@v1"))
	if err != nil {
		return err
	}
	env.Defer(engine.Close)
	var addresses []string
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	env.Setenv("A", addresses[0])
	env.Setenv("B", addresses[1])
	env.Setenv("RUDDERCTL_ADDRESS", addresses[1]+","+addresses[0])
	env.Setenv("RUDDERCTL_KEY", "operator-key-0123456789")
	env.Setenv("DAMASKRUDDER_SECRETS", `{"peer_key":"peer-key-0123456789","operator_key":"operator-key-0123456789","session_current":"k","session_keys":{"k":"session-key-0123456789"}}`)
	for i, id := range []string{"a", "b"} {
		s := fmt.Sprintf(`{"id":%q,"region":"r","failure_domain":"hall-%s","listen":%q,"peer_listen":%q,"peers":[%q,%q],"log":%q,"endpoint_ttl":"200ms","drain_grace":"2s"}`,
			id, id, addresses[i], addresses[i+2], addresses[2], addresses[3], log.URL)
		if err := os.WriteFile(filepath.Join(env.WorkDir, id+".jsonc"), []byte(s), 0o600); err != nil {
			return err
		}
	}
	config := fmt.Sprintf(`{"pools":{"p":{"servers":[{"id":"s","address":%q,"failure_domain":"hall-a"}]}},
		"models":{"m":{"stable":"v1","versions":{"v1":{"pool":"p","micros_per_1k_tokens":7}}}},
		"workspaces":{"w":{"key_hashes":[%q],"models":["m"]}}}`, engine.Address, fleet.HashAPIKey(apiKey))
	if err := os.Mkdir(filepath.Join(env.WorkDir, "fleet"), 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(env.WorkDir, "fleet", "all.jsonc"), []byte(config), 0o600)
}

// waitReady waits until the health check of a daemon succeeds.
func waitReady(ts *testscript.TestScript, _ bool, args []string) {
	for range 600 {
		resp, err := http.Get("http://" + args[0] + "/healthz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusNoContent {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("daemon at %s is not ready", args[0])
}

// waitConfiguration waits until a configuration number is in force at a daemon. It is needed
// after rudderctl apply, which waits only for the daemon that accepted the patch.
func waitConfiguration(ts *testscript.TestScript, _ bool, args []string) {
	for range 600 {
		if configNumber(ts, args[0]) == args[1] {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("configuration %s is not in force at %s", args[1], args[0])
}

// configNumber returns the configuration number in force at a daemon.
func configNumber(ts *testscript.TestScript, address string) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/operator/v1/config", nil)
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+ts.Getenv("RUDDERCTL_KEY"))
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	var c struct {
		Number int64 `json:"number"`
	}
	ts.Check(json.NewDecoder(resp.Body).Decode(&c))
	return strconv.FormatInt(c.Number, 10)
}

// sendChat sends a chat request to a daemon and fails unless the response is 200 OK.
func sendChat(ts *testscript.TestScript, _ bool, args []string) {
	body := `{"model":"m","messages":[{"role":"user","content":"status of bib 7"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+args[0]+"/v1/chat/completions", strings.NewReader(body))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("daemon at %s responded with %s", args[0], resp.Status)
	}
}
