package operator

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v4"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/node"
	"balsamknot.org/balsamknot/settings"
	"balsamknot.org/fleet/timer"
)

func nodeCommand(parent *ff.FlagSet, s Streams) *ff.Command {
	flags := ff.NewFlagSet("node").SetParent(parent)
	file := flags.StringLong("settings", "", "settings file of this host (INI)")
	level := flags.StringEnumLong("log-level", "lowest level of log lines to write", "info", "debug", "warn", "error")
	return &ff.Command{
		Name: "node", Usage: "balsamknot node --settings FILE", ShortHelp: "run a node; on SIGTERM it drains and exits",
		LongHelp: "Example:\n  balsamknot node --settings host-1.ini",
		Flags:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *file == "" {
				return exitWith(ExitUsage, errors.New("required flag --settings is missing"))
			}
			return runNode(ctx, *file, *level, s)
		},
	}
}

func runNode(ctx context.Context, file, level string, s Streams) error {
	loaded, err := settings.Load(file)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	logLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	timers := timer.New()
	defer timers.Stop()
	n, err := node.New(node.Config{
		Settings: loaded, Timers: timers,
		Log: zerolog.New(s.Err).Level(logLevel).With().Timestamp().Logger(),
	})
	if err != nil {
		return exitWith(ExitFailed, err)
	}
	if err := n.Run(ctx); err != nil {
		return exitWith(ExitFailed, err)
	}
	return nil
}
