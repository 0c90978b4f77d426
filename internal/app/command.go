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
func Main(args []string, out, errw io.Writer) int {
	return cli.Main(command(out, errw), "DAMASKRUDDER", args, out, errw)
}

func command(out, errw io.Writer) *ff.Command {
	var config string
	var metricsPort int
	var platformFile string
	var options demo.Options
	configFlag := func(f *flag.FlagSet) { f.StringVar(&config, "config", "", "settings file, JSON with comments") }
	root := &ff.Command{
		Name: "damaskrudder", Usage: "damaskrudder <run|check|demo> [flags]",
		ShortHelp: "model-aware router for versions and cascades",
	}
	root.Subcommands = []*ff.Command{
		{
			Name: "run", Usage: "damaskrudder run -config FILE", ShortHelp: "run one daemon until SIGTERM",
			LongHelp: "Secrets come from the file that secrets_file names or from " + settings.SecretsEnvVar + ".\nThe first SIGTERM or SIGINT drains, the second cuts what still runs.\nSIGHUP reads the session keys again.\n\nExample:\n  damaskrudder run -config /etc/damaskrudder/kalgoorlie-1.jsonc",
			Flags:    cli.Flags("run", nil, configFlag),
			Exec:     func(context.Context, []string) error { return run(config, errw) },
		},
		{
			Name: "platform", Usage: "damaskrudder platform [-metrics-port N]", ShortHelp: "run one daemon on the platform until SIGTERM",
			LongHelp: "The settings file, in the platform's format, is the one that " + platform.SettingsVariable + " names.\nSIGTERM drains within the grace period; SIGHUP reads the file again.",
			Flags: cli.Flags("platform", nil, func(f *flag.FlagSet) {
				f.IntVar(&metricsPort, "metrics-port", 0, "port on the control address's IP for metrics, 0 for none")
			}),
			Exec: func(context.Context, []string) error { return platform.Main(metricsPort, out) },
		},
		{
			Name: "check", Usage: "damaskrudder check -config FILE | -platform FILE", ShortHelp: "check a settings file",
			LongHelp: "Examples:\n  damaskrudder check -config docs/settings.sample.jsonc\n  damaskrudder check -platform node.toml",
			Flags: cli.Flags("check", nil, func(f *flag.FlagSet) {
				configFlag(f)
				f.StringVar(&platformFile, "platform", "", "settings file of the users' platform, TOML")
			}),
			Exec: func(context.Context, []string) error {
				if platformFile != "" {
					return checkPlatform(platformFile, out)
				}
				return check(config, out)
			},
		},
		{
			Name: "demo", Usage: "damaskrudder demo [-for 12s]", ShortHelp: "run daemons, stand-ins and traffic in one process",
			LongHelp: "Example:\n  damaskrudder demo -for 20s",
			Flags: cli.Flags("demo", nil, func(f *flag.FlagSet) {
				f.DurationVar(&options.Duration, "for", 12*time.Second, "how long to send traffic")
				f.Uint64Var(&options.Seed, "seed", 1, "seed of the traffic")
			}),
			Exec: func(ctx context.Context, _ []string) error {
				options.Start = startForDemo
				return demo.Run(ctx, options, out)
			},
		},
	}
	return root
}

func load(file string) (settings.Settings, error) {
	if file == "" {
		return settings.Settings{}, cli.Usage(errors.New("-config is needed"))
	}
	s, err := settings.Load(file)
	if err != nil {
		return s, cli.Usage(err)
	}
	return s, nil
}

func check(file string, out io.Writer) error {
	s, err := load(file)
	if err == nil {
		fmt.Fprintf(out, "%s: settings of daemon %s in %s are valid\n", file, s.ID, s.FailureDomain)
	}
	return err
}

func checkPlatform(file string, out io.Writer) error {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return cli.Usage(err)
	}
	fmt.Fprintf(out, "%s: settings of daemon %s in %s are valid\n", file, s.Name, s.FailureDomain)
	return nil
}

func run(file string, errw io.Writer) error {
	s, err := load(file)
	if err != nil {
		return err
	}
	secrets, err := settings.LoadSecrets(s)
	if err != nil {
		return cli.Usage(err)
	}
	l := NewLogger(errw, s.ID, s.LogLevel)
	n, err := Start(s, secrets, l)
	if err != nil {
		return err
	}
	l.Info("serving", "callers", s.ListenAddress, "peers", s.PeerListenAddress, "failure_domain", s.FailureDomain)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		n.reloadSecrets(s)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				cancel(errSignal)
			}
		}
	}()
	return n.Shutdown(ctx)
}

// reloadSecrets takes new session keys after SIGHUP. Bad ones change nothing.
func (n *Node) reloadSecrets(s settings.Settings) {
	secrets, err := settings.LoadSecrets(s)
	if err != nil {
		n.log.Error("kept the old secrets", "err", err)
		return
	}
	n.Daemon.SetSecrets(secrets)
	n.log.Info("session keys reloaded", "current", secrets.SessionCurrent)
}

func startForDemo(s settings.Settings, secrets settings.Secrets) (demo.Node, error) {
	return Start(s, secrets, NewLogger(io.Discard, s.ID, s.LogLevel))
}
