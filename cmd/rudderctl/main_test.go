package main

import (
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/damaskrudder/damaskrudder/internal/app"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rudderctl": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

// TestFleetScripts runs the scripts that need daemons, each with daemons of its own.
func TestFleetScripts(t *testing.T) {
	start := func(s settings.Settings, secrets settings.Secrets) (demo.Node, error) {
		return app.Start(s, secrets, app.NewLogger(io.Discard, s.ID, s.LogLevel))
	}
	examples, err := filepath.Abs(filepath.Join("..", "..", "examples"))
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/fleet",
		Setup: func(env *testscript.Env) error {
			cluster, err := demo.NewCluster(2, start)
			if err != nil {
				return err
			}
			env.Defer(cluster.Close)
			env.Setenv("RUDDERCTL_ADDRESS", cluster.Addresses[0]+","+cluster.Addresses[1])
			env.Setenv("RUDDERCTL_KEY", demo.Secrets.OperatorKey)
			return os.CopyFS(filepath.Join(env.WorkDir, "examples"), os.DirFS(examples))
		},
	})
}
