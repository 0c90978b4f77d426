package app

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/damaskrudder/damaskrudder/internal/cli"
	"github.com/damaskrudder/damaskrudder/internal/demo"
	"github.com/damaskrudder/damaskrudder/internal/settings"
	"github.com/damaskrudder/damaskrudder/platform"
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Main(newCommand(stdout, stderr), "DAMASKRUDDER", args, stdout, stderr)
}

func newCommand(stdout, stderr io.Writer) *ff.Command {
	var settingsFile string
	var metricsPort int
	var platformFile string
	var demoOptions demo.Options
	addConfigFlag := func(f *flag.FlagSet) { f.StringVar(&settingsFile, "config", "", "settings file, JSON with comments") }
	root := &ff.Command{
		Name: "damaskrudder", Usage: "damaskrudder <run|check|demo> [flags]",
		ShortHelp: "model-aware router for versions and cascades",
	}
	root.Subcommands = []*ff.Command{
		{
			Name: "run", Usage: "damaskrudder run -config FILE", ShortHelp: "run one daemon until SIGTERM",
			LongHelp: "Secrets come from the file that secrets_file names or from " + settings.SecretsEnvVar + ".\nThe first SIGTERM or SIGINT drains, the second cuts what still runs.\nSIGHUP reads the session keys again.\n\nExample:\n  damaskrudder run -config /etc/damaskrudder/kalgoorlie-1.jsonc",
			Flags:    cli.NewFlagSet("run", nil, addConfigFlag),
			Exec:     func(context.Context, []string) error { return run(settingsFile, stderr) },
		},
		{
			Name: "platform", Usage: "damaskrudder platform [-metrics-port N]", ShortHelp: "run one daemon on the platform until SIGTERM",
			LongHelp: "The settings file, in the platform's format, is the one that " + platform.SettingsVariable + " names.\nSIGTERM drains within the grace period; SIGHUP reads the file again.",
			Flags: cli.NewFlagSet("platform", nil, func(f *flag.FlagSet) {
				f.IntVar(&metricsPort, "metrics-port", 0, "port on the control address's IP for metrics, 0 for none")
			}),
			Exec: func(context.Context, []string) error { return platform.Main(metricsPort, stdout) },
		},
		{
			Name: "check", Usage: "damaskrudder check -config FILE | -platform FILE", ShortHelp: "check a settings file",
			LongHelp: "Examples:\n  damaskrudder check -config docs/settings.sample.jsonc\n  damaskrudder check -platform node.toml",
			Flags: cli.NewFlagSet("check", nil, func(f *flag.FlagSet) {
				addConfigFlag(f)
				f.StringVar(&platformFile, "platform", "", "settings file of the users' platform, TOML")
			}),
			Exec: func(context.Context, []string) error {
				if platformFile != "" {
					return checkPlatformSettings(platformFile, stdout)
				}
				return checkSettings(settingsFile, stdout)
			},
		},
		{
			Name: "demo", Usage: "damaskrudder demo [-for 12s]", ShortHelp: "run daemons, stand-ins and traffic in one process",
			LongHelp: "Example:\n  damaskrudder demo -for 20s",
			Flags: cli.NewFlagSet("demo", nil, func(f *flag.FlagSet) {
				f.DurationVar(&demoOptions.Duration, "for", 12*time.Second, "how long to send traffic")
				f.Uint64Var(&demoOptions.Seed, "seed", 1, "seed of the traffic")
			}),
			Exec: func(ctx context.Context, _ []string) error {
				demoOptions.Start = startDemoNode
				return demo.Run(ctx, demoOptions, stdout)
			},
		},
	}
	return root
}

func loadSettings(file string) (settings.Settings, error) {
	if file == "" {
		return settings.Settings{}, cli.UsageError(errors.New("-config is needed"))
	}
	s, err := settings.Load(file)
	if err != nil {
		return s, cli.UsageError(err)
	}
	return s, nil
}

func checkSettings(file string, stdout io.Writer) error {
	s, err := loadSettings(file)
	if err == nil {
		fmt.Fprintf(stdout, "%s: settings of daemon %s in %s are valid\n", file, s.ID, s.FailureDomain)
	}
	return err
}

func checkPlatformSettings(file string, stdout io.Writer) error {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return cli.UsageError(err)
	}
	fmt.Fprintf(stdout, "%s: settings of daemon %s in %s are valid\n", file, s.Name, s.FailureDomain)
	return nil
}

func run(file string, stderr io.Writer) error {
	s, err := loadSettings(file)
	if err != nil {
		return err
	}
	secrets, err := settings.LoadSecrets(s)
	if err != nil {
		return cli.UsageError(err)
	}
	vmLimits(s).Detect().LimitHeap()
	logger := NewLogger(stderr, s.ID, s.LogLevel)
	node, err := Start(s, secrets, logger)
	if err != nil {
		return err
	}
	logger.Info("serving", "callers", s.ListenAddress, "peers", s.PeerListenAddress, "failure_domain", s.FailureDomain)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		node.reloadSecrets(s)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				cancel(errSecondSignal)
			}
		}
	}()
	return node.Shutdown(ctx)
}

// reloadSecrets loads the secrets again and applies the session keys. If loading fails, the
// previous ones stay in effect.
func (n *Node) reloadSecrets(s settings.Settings) {
	secrets, err := settings.LoadSecrets(s)
	if err != nil {
		n.logger.Error("cannot reload secrets, previous ones stay in effect", "err", err)
		return
	}
	n.Daemon.SetSecrets(secrets)
	n.logger.Info("session keys reloaded", "current", secrets.SessionCurrent)
}

func startDemoNode(s settings.Settings, secrets settings.Secrets) (demo.Node, error) {
	return Start(s, secrets, NewLogger(io.Discard, s.ID, s.LogLevel))
}
